package plotter_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/stand/plotter"
)

const scoreEntry = `{"at":["2026-12-04T12:43:17Z"],"cmd":"score","why":"WHY","site":"s","days":[
{"G":0.9,"slot":"quiet"},{"G":0.4,"slot":"scale"},{"G":0.6,"slot":"trouble"},{"G":0.1,"slot":""}]}`

func write(t *testing.T, dir, name, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
}

// TestPlot checks that scores are read, entries of other commands are ignored, and
// one file is drawn for each site.
func TestPlot(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	write(t, dir, "1.json", strings.Replace(scoreEntry, "WHY", "a change", 1))
	write(t, dir, "2.json", strings.Replace(scoreEntry, "WHY", "trial: another", 1))
	write(t, dir, "3.json", `{"cmd":"hunt","site":"s"}`)
	sites, err := plotter.ReadScores(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(sites["s"]), 2)
	assert.Equal(t, sites["s"][0].Worth, 0.5)
	assert.Assert(t, !sites["s"][0].Trial && sites["s"][1].Trial)
	out := filepath.Join(dir, "plots")
	assert.NilError(t, plotter.Draw(out, sites))
	drawn, err := os.ReadFile(filepath.Join(out, "s.svg"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(drawn), "<svg"))
}

// TestUnreadableEntry checks that the error names the file of an entry that is not
// valid JSON.
func TestUnreadableEntry(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	write(t, dir, "bad.json", "{")
	_, err := plotter.ReadScores(dir)
	assert.ErrorContains(t, err, "bad.json")
}
