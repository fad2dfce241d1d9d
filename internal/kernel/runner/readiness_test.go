package runner_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/platform"
)

// apiKey is a secret in a configuration that can't be taken over.
const apiKey = "b8w1secretkeyofdevice"

// TestReadinessNamesLack guards against a VM that lives, is not ready, and leaves everybody to guess
// why. The log, the readiness check and the metrics have the same reason, and none has a key.
func TestReadinessNamesLack(t *testing.T) {
	t.Parallel()
	refused := sample(t, "configuration-refused", "KEY", apiKey)
	for _, tc := range []struct {
		name string
		// lack makes the store lack something, and mend undoes that.
		lack, mend func(t *testing.T, f *fixture)
		need, want string
	}{
		{
			"store refuses", func(_ *testing.T, f *fixture) { f.storekeeper.SetFaults(storekeeper.Faults{Outage: true}) },
			func(_ *testing.T, f *fixture) { f.storekeeper.SetFaults(storekeeper.Faults{}) },
			"document", "the store has not answered since ",
		},
		{
			"no document", func(_ *testing.T, f *fixture) { f.storekeeper.Delete(platform.ConfigKind, platform.ConfigName) },
			func(t *testing.T, f *fixture) { f.configure(t, 1, "/stock/") },
			"document", "the store has no record of the document",
		},
		{
			"refused document",
			func(t *testing.T, f *fixture) {
				assert.NilError(t, f.storekeeper.Write(platform.ConfigKind, platform.ConfigName, refused))
			},
			func(t *testing.T, f *fixture) { f.configure(t, 9, "/stock/") },
			"document", "the latest record is not in force: translating the document record: ",
		},
		{
			"no upstream", func(_ *testing.T, f *fixture) { f.storekeeper.Delete(platform.UpstreamKind, "i-1") },
			func(t *testing.T, f *fixture) {
				assert.NilError(t, f.storekeeper.Write(platform.UpstreamKind, "i-1", f.entry))
			},
			"upstreams", "the store lists no upstream",
		},
		{
			"unreadable upstream",
			func(t *testing.T, f *fixture) {
				assert.NilError(t, f.storekeeper.Write(platform.UpstreamKind, "i-1", 7))
			},
			func(t *testing.T, f *fixture) {
				assert.NilError(t, f.storekeeper.Write(platform.UpstreamKind, "i-1", f.entry))
			},
			"upstreams", "none of the 1 upstreams that the store lists can be read: entry i-1: ",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			tc.lack(t, f)
			d := start(t, "vm-1", f.storeAddress, "")
			var body string
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				status := 0
				if status, body = get(d.ready, platform.ReadyPath, ""); status == http.StatusServiceUnavailable && strings.Contains(body, tc.want) {
					return poll.Success()
				}
				return poll.Continue("status %d: %s", status, body)
			})
			assert.Assert(t, strings.HasPrefix(body, tc.need+": missing since "), body)
			d.awaitLog(t, `msg="not ready"`)
			d.awaitLog(t, tc.want)
			metrics := d.metrics(t)
			assert.Assert(t, !metrics.Ready.Ready)
			assert.Equal(t, metrics.Ready.Lacks[0].Need, tc.need)
			assert.Assert(t, strings.Contains(metrics.Ready.Lacks[0].Reason, tc.want))
			tc.mend(t, f)
			d.waitReady(t)
			d.awaitLog(t, "msg=ready ")
			metrics = d.metrics(t)
			assert.Assert(t, metrics.Ready.Ready && len(metrics.Ready.Lacks) == 0)
			assert.Assert(t, !strings.Contains(d.log.String()+body+metrics.text, apiKey))
		})
	}
}

// TestReadinessWithoutStore checks the reason of a VM that can't connect to the store, and that its
// age is not that of the zero time.
func TestReadinessWithoutStore(t *testing.T) {
	t.Parallel()
	d := start(t, "vm-1", freeAddresses(t, 1)[0], "")
	d.awaitLog(t, `document.reason="the store has not answered since `)
	d.awaitLog(t, "connection refused")
	d.awaitLog(t, "age=none")
	_, body := get(d.ready, platform.ReadyPath, "")
	assert.Assert(t, strings.Contains(body, "connection refused"), body)
	assert.Equal(t, strings.Count(body, "\n"), 2)
}

// vmMetrics is what a test reads of a VM's metrics.
type vmMetrics struct {
	Ready struct {
		Ready bool
		Lacks []struct{ Need, Reason string }
	}
	text string
}

func (d *daemon) metrics(t *testing.T) vmMetrics {
	t.Helper()
	s, err := loader.Load(d.settingsPath)
	assert.NilError(t, err)
	status, body := get(s.OperatorAddress, "/metrics", "")
	assert.Equal(t, status, http.StatusOK)
	m := vmMetrics{text: body}
	assert.NilError(t, json.Unmarshal([]byte(body), &m))
	return m
}
