package runner_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/runner"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

// TestAddressInUse guards against a start that fails without naming the setting at fault, late, or
// after it has already called the store, and against one that fails although the address is in use
// for a moment only.
func TestAddressInUse(t *testing.T) {
	t.Parallel()
	for i, key := range []string{"[listen] callers", "[listen] operators", "[listen] peers", "[routing] ready", "[routing] lookup"} {
		t.Run(key, func(t *testing.T) {
			t.Parallel()
			s, path, addresses, store := settingsWithStore(t)
			taken, err := net.Listen("tcp", addresses[i])
			assert.NilError(t, err)
			defer func() { _ = taken.Close() }()
			begun := time.Now()
			err = runner.Run(t.Context(), s, io.Discard)
			assert.ErrorContains(t, err, path+": "+key+": ")
			assert.ErrorContains(t, err, "address already in use")
			assert.Assert(t, !strings.Contains(err.Error(), "\n"))
			assert.Assert(t, time.Since(begun) < time.Second)
			assert.Equal(t, store.calls(), 0)
		})
		t.Run(key+" for a moment", func(t *testing.T) {
			t.Parallel()
			s, _, addresses, _ := settingsWithStore(t)
			taken, err := net.Listen("tcp", addresses[i])
			assert.NilError(t, err)
			freed := time.AfterFunc(100*time.Millisecond, func() { _ = taken.Close() })
			defer freed.Stop()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			log := &safeBuffer{}
			done := make(chan error, 1)
			go func() { done <- runner.Run(ctx, s, log) }()
			for !strings.Contains(log.String(), "msg=listening") {
				select {
				case err := <-done:
					t.Fatalf("it has ended: %v", err)
				case <-time.After(10 * time.Millisecond):
				}
			}
			stop()
			assert.NilError(t, <-done)
		})
	}
}

// silentStore accepts connections and counts them.
type silentStore struct {
	listener net.Listener
	accepted chan struct{}
}

func (s *silentStore) calls() int { return len(s.accepted) }

func (s *silentStore) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted <- struct{}{}
		_ = conn.Close()
	}
}

// settingsWithStore returns the settings of a routed daemon, their file, its five addresses in the
// order of the settings, and its store.
func settingsWithStore(t *testing.T) (loader.Settings, string, []string, *silentStore) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	store := &silentStore{listener: ln, accepted: make(chan struct{}, 10000)}
	t.Cleanup(func() { _ = ln.Close() })
	go store.serve()
	dir := t.TempDir()
	key := filepath.Join(dir, "key")
	assert.NilError(t, os.WriteFile(key, []byte("a key of sixteen bytes"), 0o600))
	a := freeAddresses(t, 5)
	path := filepath.Join(dir, "waxwingd.ini")
	text := fmt.Sprintf(settings, "vm-1", a[0], a[1], a[2], ln.Addr(), key, a[2], a[3], a[4], 100*time.Millisecond, "")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := loader.Load(path)
	assert.NilError(t, err)
	return s, path, a, store
}
