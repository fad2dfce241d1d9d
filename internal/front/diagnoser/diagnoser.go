// Package diagnoser tells whether this VM is ready for callers, and if it is not, what it lacks,
// since when and why. It logs that at the start, with each change, and at intervals for as long as
// it lasts. The number of its lines is limited.
//
// # Usage
//
//	d := diagnoser.New([]diagnoser.Check{{Need: "document", Find: findDocument}}, clock, log)
//	go d.Serve(ctx)
//	if lacks := d.Lacks(); len(lacks) > 0 {
//		// Answer that this VM is not ready, with lacks.String().
//	}
package diagnoser

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// checkInterval is the interval between checks of a VM that is not ready, and
	// readyCheckInterval that of one that is.
	checkInterval      = 100 * time.Millisecond
	readyCheckInterval = time.Second
	// repeatInterval is the interval at which a VM that is not ready says so again.
	repeatInterval = 10 * time.Second
	// Up to maxLineBurst lines are logged at once, and then one each minLineInterval. Errors may
	// differ from call to call.
	maxLineBurst    = 5
	minLineInterval = time.Second
	// maxReasonBytes limits a reason, which may list the faults of a whole document.
	maxReasonBytes = 500
)

type (
	// Need is the name of something that a VM needs to be ready, in logs and metrics.
	Need string

	// Check finds out whether a need is met.
	Check struct {
		Need Need
		// Find returns why the need is not met, or an empty text if it is.
		Find func() string
	}

	// Lack is a need that is not met, why, and since when.
	Lack struct {
		Need   Need
		Reason string
		Since  time.Time
	}

	// Lacks are all needs that are not met. A VM without any is ready.
	Lacks []Lack

	// State is what the metrics show.
	State struct {
		Ready bool
		Lacks Lacks
	}

	// Diagnoser checks what one VM needs. It is safe for concurrent use.
	Diagnoser struct {
		checks []Check
		clock  clockwork.Clock
		log    *slog.Logger
		lines  *rate.Limiter

		mu sync.Mutex
		// since has the time since when each need has not been met.
		since map[Need]time.Time
	}
)

// New returns a diagnoser of what the checks find.
func New(checks []Check, clock clockwork.Clock, log *slog.Logger) *Diagnoser {
	return &Diagnoser{
		checks: checks, clock: clock, log: log, since: make(map[Need]time.Time),
		lines: rate.NewLimiter(rate.Every(minLineInterval), maxLineBurst),
	}
}

// Lacks returns the needs that are not met now, in the order of the checks.
func (d *Diagnoser) Lacks() Lacks {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var lacks Lacks
	for _, c := range d.checks {
		reason := c.Find()
		if reason == "" {
			delete(d.since, c.Need)
			continue
		}
		if _, known := d.since[c.Need]; !known {
			d.since[c.Need] = now
		}
		lacks = append(lacks, Lack{Need: c.Need, Reason: shorten(reason), Since: d.since[c.Need]})
	}
	return lacks
}

// State returns what the metrics show.
func (d *Diagnoser) State() State {
	lacks := d.Lacks()
	return State{Ready: len(lacks) == 0, Lacks: lacks}
}

// Serve logs what this VM lacks until ctx ends.
func (d *Diagnoser) Serve(ctx context.Context) error {
	begun := d.clock.Now()
	logged, loggedAt := "", begun
	for first := true; ; first = false {
		lacks := d.Lacks()
		now := d.clock.Now()
		text, due := lacks.reasons(), len(lacks) > 0 && now.Sub(loggedAt) >= repeatInterval
		if (first || text != logged || due) && d.lines.AllowN(now, 1) {
			d.logState(lacks, now.Sub(begun))
			logged, loggedAt = text, now
		}
		interval := checkInterval
		if len(lacks) == 0 && logged == "" {
			interval = readyCheckInterval
		}
		timer := d.clock.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.Chan():
		}
	}
}

func (d *Diagnoser) logState(lacks Lacks, running time.Duration) {
	if len(lacks) == 0 {
		d.log.Info("ready", "running", running)
		return
	}
	attributes := []any{"running", running}
	for _, l := range lacks {
		attributes = append(attributes, slog.Group(string(l.Need), "since", l.Since, "reason", l.Reason))
	}
	d.log.Warn("not ready", attributes...)
}

// String returns one line for each lack.
func (ls Lacks) String() string {
	var b strings.Builder
	for _, l := range ls {
		fmt.Fprintf(&b, "%s: missing since %s: %s\n", l.Need, l.Since.UTC().Format(time.RFC3339Nano), l.Reason)
	}
	return b.String()
}

// reasons returns what has to be logged again when it changes.
func (ls Lacks) reasons() string {
	var b strings.Builder
	for _, l := range ls {
		fmt.Fprintf(&b, "%s: %s\n", l.Need, l.Reason)
	}
	return b.String()
}

// shorten returns a reason on one line, without what is beyond maxReasonBytes.
func shorten(reason string) string {
	reason = strings.ReplaceAll(strings.TrimSpace(reason), "\n", "; ")
	if len(reason) > maxReasonBytes {
		reason = strings.ToValidUTF8(reason[:maxReasonBytes], "") + "..."
	}
	return reason
}
