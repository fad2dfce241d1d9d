// Package reloader reloads the settings file when its text has changed, which it checks
// on a signal, at a fixed interval and when Reload is called. Settings with an error are
// logged and otherwise ignored.
//
// # Usage
//
//	r := reloader.New(path, settings, signals, clock, log)
//	r.OnChange(func(s loader.Settings) { ... })
//	go r.Serve(ctx)
//	ttl := r.Current().Routing.LookupTTL
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

// pollInterval is the interval at which the file is compared with the text that
// was last read.
const pollInterval = time.Second

// Reloader holds the current settings.
type Reloader struct {
	path    string
	signals <-chan os.Signal
	clock   clockwork.Clock
	log     *slog.Logger
	current atomic.Pointer[loader.Settings]

	// fileMu is held while the file is compared and its settings are put in force.
	fileMu   sync.Mutex
	lastText []byte

	mu        sync.Mutex
	callbacks []func(loader.Settings)
}

// New returns a reloader whose current settings are s, which were read from path.
// With an empty path it never reloads.
func New(path string, s loader.Settings, signals <-chan os.Signal, clock clockwork.Clock, log *slog.Logger) *Reloader {
	r := &Reloader{path: path, signals: signals, clock: clock, log: log}
	r.current.Store(&s)
	return r
}

// Current returns the current settings.
func (r *Reloader) Current() loader.Settings {
	return *r.current.Load()
}

// Reload reloads the settings if the file has changed, and returns the current ones. It is for
// uses that can't wait until the next check.
func (r *Reloader) Reload(cause string) loader.Settings {
	if r.path != "" {
		r.reloadIfChanged(cause)
	}
	return r.Current()
}

// OnChange adds a callback that is called with the new settings after each change.
func (r *Reloader) OnChange(f func(loader.Settings)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callbacks = append(r.callbacks, f)
}

// Serve reloads changed settings until ctx is done. It also checks the file once at the
// start, because the file may have changed since the settings for New were read.
func (r *Reloader) Serve(ctx context.Context) error {
	if r.path == "" {
		<-ctx.Done()
		return nil
	}
	r.reloadIfChanged("start")
	ticker := r.clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			r.log.Info("settings reload requested", "reason", "signal")
			r.reloadIfChanged("signal")
		case <-ticker.Chan():
			r.reloadIfChanged("file")
		}
	}
}

// reloadIfChanged reads the file if its text differs from the one that was last
// read, and makes its settings the current ones if they are valid.
func (r *Reloader) reloadIfChanged(cause string) {
	r.fileMu.Lock()
	defer r.fileMu.Unlock()
	text, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("can't read the settings; keeping the current ones", "path", r.path, "reason", err.Error())
		return
	}
	if bytes.Equal(text, r.lastText) {
		return
	}
	r.lastText = text
	s, err := loader.Load(r.path)
	if err != nil {
		r.log.Error("settings refused", "path", r.path, "reason", err.Error())
		return
	}
	if reflect.DeepEqual(s, r.Current()) {
		return
	}
	r.warnRestartNeeded(s)
	r.current.Store(&s)
	r.log.Info("settings reloaded", "path", r.path, "cause", cause)
	r.mu.Lock()
	callbacks := r.callbacks
	r.mu.Unlock()
	for _, f := range callbacks {
		f(s)
	}
}

// warnRestartNeeded logs each change of the VM's name or of an address, which takes
// effect only after a restart.
func (r *Reloader) warnRestartNeeded(s loader.Settings) {
	old := r.Current()
	for _, setting := range []struct {
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
		if setting.was != setting.now {
			r.log.Warn("setting needs a restart", "key", setting.name, "was", setting.was, "now", setting.now)
		}
	}
}
