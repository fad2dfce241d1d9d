// Package reloader reads the settings again when a signal says so, or when the
// file has changed without one. Settings with a mistake change nothing, and say
// so in the log.
//
// # Usage
//
//	r := reloader.New(path, settings, signals, clock, log)
//	r.OnChange(func(s loader.Settings) { ... })
//	go r.Serve(ctx)
//	ttl := r.Current().Routing.TTL
package reloader

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

// lookEvery is how often the file is compared with what was read last.
const lookEvery = time.Second

// Reloader holds the settings in force.
type Reloader struct {
	path    string
	signals <-chan os.Signal
	clock   clockwork.Clock
	log     *slog.Logger
	current atomic.Pointer[loader.Settings]
	text    []byte

	mu      sync.Mutex
	changed []func(loader.Settings)
}

// New returns a reloader of the settings that were read from a path. Without a
// path nothing is ever read again.
func New(path string, s loader.Settings, signals <-chan os.Signal, clock clockwork.Clock, log *slog.Logger) *Reloader {
	r := &Reloader{path: path, signals: signals, clock: clock, log: log}
	r.current.Store(&s)
	return r
}

// Current returns the settings in force.
func (r *Reloader) Current() loader.Settings {
	return *r.current.Load()
}

// OnChange adds what is called with new settings.
func (r *Reloader) OnChange(f func(loader.Settings)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = append(r.changed, f)
}

// Serve looks for new settings until ctx ends.
func (r *Reloader) Serve(ctx context.Context) error {
	if r.path == "" {
		<-ctx.Done()
		return nil
	}
	r.look("start")
	ticker := r.clock.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			r.log.Info("reload asked for", "reason", "signal")
			r.look("signal")
		case <-ticker.Chan():
			r.look("file")
		}
	}
}

// look takes over the file's settings if its text has changed.
func (r *Reloader) look(cause string) {
	text, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("settings not read", "path", r.path, "reason", err.Error())
		return
	}
	if bytes.Equal(text, r.text) {
		return
	}
	r.text = text
	s, err := loader.Load(r.path)
	if err != nil {
		r.log.Error("settings refused", "path", r.path, "reason", err.Error())
		return
	}
	if reflect.DeepEqual(s, r.Current()) {
		return
	}
	r.warnFixed(s)
	r.current.Store(&s)
	r.log.Info("settings reloaded", "path", r.path, "cause", cause)
	r.mu.Lock()
	changed := r.changed
	r.mu.Unlock()
	for _, f := range changed {
		f(s)
	}
}

// warnFixed names what only a restart can change.
func (r *Reloader) warnFixed(s loader.Settings) {
	old := r.Current()
	for _, fixed := range []struct {
		name     string
		was, now string
	}{
		{"vm.name", string(old.VM), string(s.VM)},
		{"listen.callers", old.CallerAddress, s.CallerAddress},
		{"listen.operators", old.OperatorAddress, s.OperatorAddress},
		{"listen.peers", old.PeerAddress, s.PeerAddress},
		{"platform.address", old.PlatformAddress, s.PlatformAddress},
		{"routing.ready", old.Routing.ReadyAddress, s.Routing.ReadyAddress},
		{"routing.lookup", old.Routing.LookupAddress, s.Routing.LookupAddress},
	} {
		if fixed.was != fixed.now {
			r.log.Warn("setting needs a restart", "key", fixed.name, "was", fixed.was, "now", fixed.now)
		}
	}
}
