package reloader_test

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/internal/settings/reloader"
)

const settings = `[vm]
name = vm-1
zone = a
region = r
[listen]
callers = 127.0.0.1:1
operators = 127.0.0.1:2
peers = 127.0.0.1:3
[platform]
address = 127.0.0.1:4
[peers]
key = KEY
[routing]
ready = 127.0.0.1:5
lookup = 127.0.0.1:6
ttl = 2s
`

type fixture struct {
	path     string
	dir      string
	signals  chan os.Signal
	clock    *clockwork.FakeClock
	reloader *reloader.Reloader
	changed  chan loader.Settings
}

func start(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{dir: t.TempDir(), signals: make(chan os.Signal, 1), clock: clockwork.NewFakeClock(), changed: make(chan loader.Settings, 1)}
	f.path = filepath.Join(f.dir, "waxwingd.ini")
	assert.NilError(t, os.WriteFile(filepath.Join(f.dir, "key"), []byte("a key of sixteen bytes"), 0o600))
	f.write(t, settings)
	s, err := loader.Load(f.path)
	assert.NilError(t, err)
	f.reloader = reloader.New(f.path, s, f.signals, f.clock, slog.New(slog.DiscardHandler))
	f.reloader.OnChange(func(s loader.Settings) { f.changed <- s })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.reloader.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	assert.NilError(t, f.clock.BlockUntilContext(t.Context(), 1))
	return f
}

func (f *fixture) write(t *testing.T, body string) {
	t.Helper()
	body = strings.ReplaceAll(body, "KEY", filepath.Join(f.dir, "key"))
	assert.NilError(t, os.WriteFile(f.path, []byte(body), 0o600))
}

func TestReloadOnSignal(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.write(t, strings.Replace(settings, "ttl = 2s", "ttl = 1s", 1))
	f.signals <- os.Interrupt
	assert.Equal(t, (<-f.changed).Routing.LookupTTL, time.Second)
	assert.Equal(t, f.reloader.Current().Routing.LookupTTL, time.Second)
}

func TestReloadOnFileChange(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.write(t, strings.Replace(settings, "ttl = 2s", "ttl = 1s", 1))
	f.clock.Advance(time.Second)
	assert.Equal(t, (<-f.changed).Routing.LookupTTL, time.Second)
}

func TestInvalidSettingsAreIgnored(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.write(t, strings.Replace(settings, "ttl = 2s", "ttl = soon", 1))
	f.signals <- os.Interrupt
	f.write(t, strings.Replace(settings, "ttl = 2s", "ttl = 3s", 1))
	f.signals <- os.Interrupt
	assert.Equal(t, (<-f.changed).Routing.LookupTTL, 3*time.Second)
}

// TestReloadAtOnce guards against a caller of Reload that gets settings which were replaced in
// the file since the last check.
func TestReloadAtOnce(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.write(t, strings.Replace(settings, "ttl = 2s", "ttl = 1s", 1))
	assert.Equal(t, f.reloader.Reload("stop").Routing.LookupTTL, time.Second)
	assert.Equal(t, (<-f.changed).Routing.LookupTTL, time.Second)
}
