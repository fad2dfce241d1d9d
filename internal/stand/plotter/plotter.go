// Package plotter plots the scores of each deployment, run by run, from the
// journal of the users' benchmark.
//
// # Usage
//
//	sites, err := plotter.Read("journal")
//	err = plotter.Draw("docs/plots", sites)
package plotter

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	shapes "gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	// The size of one plot.
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// trialPrefix is the prefix of the reason in an entry whose code was not kept.
	trialPrefix = "trial"
	// quietSlot is the slot of days without trouble or high load.
	quietSlot = "quiet"
)

type (
	// Score is the result of one benchmark run over a site's standard days.
	Score struct {
		At time.Time
		// Worth is the mean worth of the days with trouble or high load.
		Worth float64
		// Trial is true if the code of the run was not kept.
		Trial bool
	}

	// ScoresBySite are the scores of each site, in order of time.
	ScoresBySite map[string][]Score

	journalEntry struct {
		// At is the start time of the command and, unless it was interrupted, its
		// end time.
		At   []string `json:"at"`
		Cmd  string   `json:"cmd"`
		Why  string   `json:"why"`
		Site string   `json:"site"`
		Days []struct {
			Worth float64 `json:"G"`
			Slot  string  `json:"slot"`
			Name  string  `json:"name"`
		} `json:"days"`
	}
)

// ReadScores returns the scores in a journal. If an entry can't be read, the error
// names it. Entries of other commands than score are ignored.
func ReadScores(dir string) (ScoresBySite, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, errors.Wrap(err, "listing the journal")
	}
	sites := make(ScoresBySite)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "reading the journal")
		}
		var e journalEntry
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, errors.Wrapf(err, "decoding %s", filepath.Base(file))
		}
		score, ok, err := e.score()
		if err != nil {
			return nil, errors.Wrapf(err, "reading %s", filepath.Base(file))
		}
		if ok {
			sites[e.Site] = append(sites[e.Site], score)
		}
	}
	for _, scores := range sites {
		slices.SortFunc(scores, func(a, b Score) int { return a.At.Compare(b.At) })
	}
	return sites, nil
}

// Draw writes one SVG file for each site.
func Draw(dir string, sites ScoresBySite) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return errors.Wrap(err, "creating the plot directory")
	}
	for site, scores := range sites {
		if err := draw(filepath.Join(dir, site+".svg"), site, scores); err != nil {
			return errors.Wrapf(err, "drawing %s", site)
		}
	}
	return nil
}

// score returns the mean worth of an entry's days that are not quiet. It returns
// false if the entry is of another command, names no site or time, or has no such
// day.
func (e *journalEntry) score() (Score, bool, error) {
	if e.Cmd != "score" || e.Site == "" || len(e.At) == 0 {
		return Score{}, false, nil
	}
	at, err := time.Parse(time.RFC3339, e.At[0])
	if err != nil {
		return Score{}, false, errors.Wrap(err, "reading the time")
	}
	sum, n := 0.0, 0
	for _, d := range e.Days {
		if d.Slot != quietSlot && d.Slot != "" {
			sum += d.Worth
			n++
		}
	}
	if n == 0 {
		return Score{}, false, nil
	}
	return Score{At: at, Worth: sum / float64(n), Trial: strings.HasPrefix(e.Why, trialPrefix)}, true, nil
}

func draw(path, site string, scores []Score) error {
	p := plot.New()
	p.Title.Text = site + ": mean worth of the days with trouble"
	p.X.Label.Text = "score"
	p.Y.Label.Text = "worth"
	var kept, trials shapes.XYs
	for i, s := range scores {
		point := shapes.XY{X: float64(i + 1), Y: s.Worth}
		if s.Trial {
			trials = append(trials, point)
			continue
		}
		kept = append(kept, point)
	}
	line, points, err := shapes.NewLinePoints(kept)
	if err != nil {
		return errors.Wrap(err, "drawing the scores")
	}
	p.Add(shapes.NewGrid(), line, points)
	p.Legend.Add("code that was kept", line, points)
	if len(trials) > 0 {
		scatter, err := shapes.NewScatter(trials)
		if err != nil {
			return errors.Wrap(err, "drawing the trials")
		}
		p.Add(scatter)
		p.Legend.Add("trials", scatter)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "writing a plot")
}
