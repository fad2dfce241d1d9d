package runner_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/platform"
)

// configureAccounts writes a configuration with a client account that has the given keys.
func (f *fixture) configureAccounts(t *testing.T, version int, keys ...string) {
	t.Helper()
	list, err := json.Marshal(keys)
	assert.NilError(t, err)
	spec := sample(t, "configuration-accounts", "VERSION", fmt.Sprint(version), "KEYS", string(list))
	assert.NilError(t, f.storekeeper.Write(platform.ConfigKind, platform.ConfigName, spec))
}

// getWithKey sends a request with a key, and returns the status and the challenge.
func getWithKey(t *testing.T, address, key string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/stock/1", nil)
	assert.NilError(t, err)
	req.Host = "shop.example"
	req.Header.Set(platform.Headers().AttemptID, "a1")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, resp.Header.Get("WWW-Authenticate")
}

// TestAccounts runs a daemon through the first configuration with accounts, a change of a key and
// an outage of the store.
func TestAccounts(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.configureAccounts(t, 2, "first-key")
	d := startWith(t, "vm-1", f.storeAddress, "", startOptions{routing: "[accounts]\nrevoke = 3s\n"})
	d.waitReady(t)
	status, _ := getWithKey(t, d.callers, "first-key")
	assert.Equal(t, status, http.StatusOK)
	for _, key := range []string{"", "second-key"} {
		status, challenge := getWithKey(t, d.callers, key)
		assert.Equal(t, status, http.StatusUnauthorized)
		assert.Equal(t, challenge, "Bearer")
	}

	f.configureAccounts(t, 3, "third-key")
	status, _ = getWithKey(t, d.callers, "third-key")
	assert.Equal(t, status, http.StatusOK, "a new key was refused")
	poll.WaitOn(t, answersKey(t, d, "first-key", http.StatusUnauthorized), poll.WithTimeout(5*time.Second))

	f.storekeeper.SetFaults(storekeeper.Faults{Outage: true})
	poll.WaitOn(t, answersKey(t, d, "third-key", http.StatusServiceUnavailable), poll.WithTimeout(5*time.Second))
	status, _ = getWithKey(t, d.callers, "")
	assert.Equal(t, status, http.StatusUnauthorized)
	log := d.log.String()
	assert.Assert(t, strings.Contains(log, "denial=unknown-key"))
	assert.Assert(t, strings.Contains(log, "account=acme"))
	for _, key := range []string{"first-key", "second-key", "third-key"} {
		assert.Assert(t, !strings.Contains(log, key) && !strings.Contains(log, parser.HashKey(key).String()), "the log has %s or its digest", key)
	}
}

// TestWithdrawnKeyBehindSilentWatches guards against a withdrawn key that runs for longer than the
// revoke timeout: the store's watches miss the change, a request with an unknown key makes VMs ask
// the store, and then the store is down.
func TestWithdrawnKeyBehindSilentWatches(t *testing.T) {
	t.Parallel()
	const revoke = 3 * time.Second
	f := newFixture(t)
	f.configureAccounts(t, 2, "first-key", "second-key")
	o := startOptions{routing: "[accounts]\nrevoke = 3s\n"}
	root := startWith(t, "vm-1", f.storeAddress, "", o)
	root.waitReady(t)
	follower := startWith(t, "vm-2", f.storeAddress, root.peers, o)
	follower.waitReady(t)
	daemons := []*daemon{root, follower}
	for _, d := range daemons {
		poll.WaitOn(t, answersKey(t, d, "first-key", http.StatusOK), poll.WithTimeout(5*time.Second))
	}

	f.storekeeper.SetFaults(storekeeper.Faults{SilentWatches: true})
	f.configureAccounts(t, 3, "second-key")
	withdrawn := time.Now()
	time.Sleep(time.Until(withdrawn.Add(revoke / 4)))
	for _, d := range daemons {
		status, _ := getWithKey(t, d.callers, "unknown-key")
		assert.Equal(t, status, http.StatusUnauthorized)
	}
	f.storekeeper.SetFaults(storekeeper.Faults{Outage: true})
	time.Sleep(time.Until(withdrawn.Add(revoke)))
	for time.Since(withdrawn) < revoke+revoke/4 {
		for i, d := range daemons {
			sent := time.Now()
			status, _ := getWithKey(t, d.callers, "first-key")
			assert.Assert(t, status != http.StatusOK, "vm-%d accepts the key %s after it was withdrawn", i+1, sent.Sub(withdrawn))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// answersKey checks which status a request with a key gets.
func answersKey(t *testing.T, d *daemon, key string, want int) poll.Check {
	return func(poll.LogT) poll.Result {
		if status, _ := getWithKey(t, d.callers, key); status != want {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}
}
