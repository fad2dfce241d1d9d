package diagnoser_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/diagnoser"
)

// fixture is a VM with two needs in a synctest bubble.
type fixture struct {
	*diagnoser.Diagnoser

	mu                  sync.Mutex
	document, upstreams string
	log                 bytes.Buffer
}

func (f *fixture) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.Write(p)
}

// set sets why the needs are not met, and returns the lines that were logged since the last call and
// within d.
func (f *fixture) set(document, upstreams string, d time.Duration) []string {
	f.mu.Lock()
	f.document, f.upstreams = document, upstreams
	f.mu.Unlock()
	time.Sleep(d)
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.log.Reset()
	return strings.Split(strings.TrimSuffix(f.log.String(), "\n"), "\n")
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{document: "the store does not answer"}
	find := func(reason *string) func() string {
		return func() string {
			f.mu.Lock()
			defer f.mu.Unlock()
			return *reason
		}
	}
	checks := []diagnoser.Check{{Need: "document", Find: find(&f.document)}, {Need: "upstreams", Find: find(&f.upstreams)}}
	f.Diagnoser = diagnoser.New(checks, clockwork.NewRealClock(), slog.New(slog.NewTextHandler(f, nil)))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = f.Serve(ctx) }()
	return f
}

// TestLacksAreLogged guards against a VM that is not ready and does not say why: at the start, with
// each change, and again while it lasts.
func TestLacksAreLogged(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		since := time.Now()
		lines := f.set("the store does not answer", "", time.Second)
		assert.Equal(t, len(lines), 1)
		assert.Assert(t, strings.Contains(lines[0], `level=WARN msg="not ready"`))
		assert.Assert(t, strings.Contains(lines[0], fmt.Sprintf(`document.since=%s document.reason="the store does not answer"`, since.Format("2006-01-02T15:04:05.000Z07:00"))), lines[0])
		lines = f.set("refused", "none", time.Second)
		assert.Equal(t, len(lines), 1)
		assert.Assert(t, strings.Contains(lines[0], "document.reason=refused") && strings.Contains(lines[0], "upstreams.reason=none"))
		assert.Equal(t, f.Lacks()[0].Since, since)
		assert.Equal(t, f.State().Ready, false)
		assert.Equal(t, len(f.set("refused", "none", 21*time.Second)), 2)
		lines = f.set("", "", time.Minute)
		assert.Equal(t, len(lines), 1)
		assert.Assert(t, strings.Contains(lines[0], "msg=ready"))
		assert.Equal(t, f.State().Ready, true)
		lines = f.set("", "none", time.Second)
		assert.Equal(t, len(lines), 1)
		assert.Assert(t, strings.Contains(lines[0], `msg="not ready"`))
	})
}

// TestLacksAreLoggedAtBoundedRate guards against a flood of lines when the reason differs with
// each check, and against one that is never logged because of the limit.
func TestLacksAreLoggedAtBoundedRate(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		count := 0
		for i := range 1000 {
			for _, line := range f.set(fmt.Sprint("port ", i), "", 100*time.Millisecond) {
				if line != "" {
					count++
				}
			}
		}
		assert.Assert(t, count >= 100 && count <= 106, "%d lines in 100 s", count)
		lines := f.set("the last", "", 2*time.Second)
		assert.Equal(t, len(lines), 1)
		assert.Assert(t, strings.Contains(lines[0], "the last"))
	})
}

// TestReasonIsOneShortLine guards against a reason with the faults of a whole document.
func TestReasonIsOneShortLine(t *testing.T) {
	t.Parallel()
	check := diagnoser.Check{Need: "document", Find: func() string { return strings.Repeat("services.ini:1: ü\n", 1000) }}
	lacks := diagnoser.New([]diagnoser.Check{check}, clockwork.NewFakeClock(), slog.New(slog.DiscardHandler)).Lacks()
	assert.Equal(t, strings.Count(lacks.String(), "\n"), 1)
	assert.Assert(t, len(lacks.String()) < 600)
}
