package loader_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

const routingSettings = `[vm]
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
resend = 0.2
[zone a]
region = r
[zone b]
region = s
`

func load(t *testing.T, text string) (loader.Settings, error) {
	t.Helper()
	dir := t.TempDir()
	key := filepath.Join(dir, "key")
	assert.NilError(t, os.WriteFile(key, []byte("a key of sixteen bytes"), 0o600))
	path := filepath.Join(dir, "s.ini")
	assert.NilError(t, os.WriteFile(path, []byte(strings.ReplaceAll(text, "KEY", key)), 0o600))
	return loader.Load(path)
}

func TestRoutingSettings(t *testing.T) {
	t.Parallel()
	s, err := load(t, routingSettings)
	assert.NilError(t, err)
	assert.Assert(t, s.RoutingEnabled())
	assert.Equal(t, s.Routing.RetryRatio, 0.2)
	assert.Equal(t, s.Routing.LookupTTL, 2*time.Second)
	assert.DeepEqual(t, s.Regions, map[namer.Zone]namer.Region{"a": "r", "b": "s"})
}

func TestLoadProblems(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ name, from, to, want string }{
		{"lookup overlaps callers", "lookup = 127.0.0.1:6", "lookup = 127.0.0.1:1", "[routing] lookup: 127.0.0.1:1 overlaps callers"},
		{"ready overlaps all addresses", "ready = 127.0.0.1:5", "ready = 0.0.0.0:3", "[routing] ready: 0.0.0.0:3 overlaps peers"},
		{"resend over one", "resend = 0.2", "resend = 2", `[routing] resend: "2" is not a ratio from 0 to 1`},
		{"resend no number", "resend = 0.2", "resend = NaN", `[routing] resend: "NaN" is not a ratio from 0 to 1`},
		{"zone without region", "region = s", "regio = s", "[zone b] regio: unknown key; allowed: region"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			_, err := load(t, strings.Replace(routingSettings, tc.from, tc.to, 1))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}
