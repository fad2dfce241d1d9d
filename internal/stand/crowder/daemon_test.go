package crowder_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/platform"
)

// The machine of the daemon. The limits are far below those of a deployment, so that a small
// crowd is enough.
const (
	machineMemoryMB    = 96
	machineDescriptors = 128
	// maxDescriptors leaves a quarter of the descriptors to what the daemon opens itself.
	maxDescriptors = machineDescriptors * 3 / 4
	// goMemoryLimit and goPercent are the Go runtime's own settings in the environment.
	goMemoryLimit = "64MiB"
	goPercent     = "200"
	// maxBodyBytes is the largest legal body.
	maxBodyBytes = 4 << 20
	// smallestMemoryMB is the memory of the smallest machine of a deployment, and
	// largestBodyBytes its largest legal body.
	smallestMemoryMB = 184
	largestBodyBytes = 64 << 20
)

const settings = `[vm]
name = vm-1
zone = a
region = r
[listen]
callers = %s
operators = %s
peers = %s
[platform]
address = %s
[peers]
key = %s
seeds = %s
[routing]
ready = %s
lookup = %s
[limits]
memory = %d
[zone a]
region = r
`

const (
	readyTimeout = 30 * time.Second
	// requestTimeout ends a hang of an ordinary request; no test measures time.
	requestTimeout = 20 * time.Second
)

// program is the daemon's program, which TestMain builds without the race detector, because
// that takes several times the memory.
var program string

// daemon is a daemon that runs as a process of its own, with a store and an upstream.
type daemon struct {
	callers   string
	operators string
	ready     string
	pid       int
	memoryMB  int64
	exited    chan error
	calmKB    int64
	log       *safeBuffer
}

type safeBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// tail returns the last bytes that were written.
func (b *safeBuffer) tail() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.buf.String()
	return text[max(0, len(text)-4000):]
}

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowder-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "waxwingd")
	if out, err := exec.Command("go", "build", "-o", program, "../../../cmd/waxwingd").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, err, string(out))
		return 1
	}
	return m.Run()
}

// start starts the store, an upstream and the daemon, and waits until the daemon serves.
func start(t *testing.T) *daemon {
	t.Helper()
	return startOn(t, machineMemoryMB, maxBodyBytes)
}

// startOn is start on a machine with a memory, for bodies up to a length.
func startOn(t *testing.T, memoryMB int64, bodyBytes int) *daemon {
	t.Helper()
	store := storekeeper.New(clockwork.NewRealClock())
	storeServer := httptest.NewServer(store.Handler())
	t.Cleanup(storeServer.Close)
	t.Cleanup(storeServer.CloseClientConnections)
	upstream := httptest.NewServer(http.HandlerFunc(serveUpstream))
	t.Cleanup(upstream.Close)
	t.Cleanup(upstream.CloseClientConnections)
	assert.NilError(t, store.Write(platform.ConfigKind, platform.ConfigName, configuration(t, bodyBytes)))
	entry := sample(t, "upstream", "ADDRESS", strings.TrimPrefix(upstream.URL, "http://"))
	assert.NilError(t, store.Write(platform.UpstreamKind, "i-1", entry))

	dir := t.TempDir()
	key := filepath.Join(dir, "key")
	assert.NilError(t, os.WriteFile(key, []byte("a key of sixteen bytes"), 0o600))
	a := freeAddresses(t, 5)
	path := filepath.Join(dir, "waxwingd.ini")
	text := fmt.Sprintf(settings, a[0], a[1], a[2], strings.TrimPrefix(storeServer.URL, "http://"), key, a[2], a[3], a[4], memoryMB)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	d := &daemon{callers: a[0], operators: a[1], ready: a[3], memoryMB: memoryMB, exited: make(chan error, 1), log: &safeBuffer{}}
	cmd := exec.Command("/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(machineDescriptors), program, "serve", "-settings", path)
	cmd.Env = append(os.Environ(), "GOGC="+goPercent, "GOMEMLIMIT="+goMemoryLimit)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	assert.NilError(t, cmd.Start())
	d.pid = cmd.Process.Pid
	go func() { d.exited <- cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		err := <-d.exited
		if t.Failed() {
			t.Logf("process ended: %v\n%s", err, d.log.tail())
		}
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.isReady() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(readyTimeout))
	d.checkServes(t, 1024)
	d.calmKB = d.statusKB(t, "VmHWM")
	return d
}

// configuration is the configuration in force: one route, and bodies up to a length.
func configuration(t *testing.T, bodyBytes int) json.RawMessage {
	return sample(t, "configuration-bodies", "BODYBYTES", strconv.Itoa(bodyBytes))
}

// serveUpstream reads the body and responds with its length.
func serveUpstream(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := platform.Headers()
	w.Header().Set(h.AttemptID, r.Header.Get(h.AttemptID))
	w.Header().Set(h.Signature, "s")
	_, _ = w.Write([]byte(strconv.FormatInt(n, 10)))
}

func sample(t *testing.T, name string, words ...string) json.RawMessage {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../../platform/testdata", name+".json"))
	assert.NilError(t, err)
	return json.RawMessage(strings.NewReplacer(words...).Replace(string(text)))
}

// freeAddresses returns n loopback addresses that nothing listens on, of an IP address that
// other test processes do not use.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	pid := os.Getpid()
	host := net.IPv4(127, byte(1+pid%254), byte(pid/254), 1)
	out := make([]string, n)
	for i := range out {
		ln, err := net.Listen("tcp", net.JoinHostPort(host.String(), "0"))
		assert.NilError(t, err)
		defer func() { _ = ln.Close() }()
		out[i] = ln.Addr().String()
	}
	return out
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// checkServes sends one ordinary request on a connection of its own, which must be answered.
func (d *daemon) checkServes(t *testing.T, bodyBytes int) {
	t.Helper()
	client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/a", bytes.NewReader(make([]byte, bodyBytes)))
	assert.NilError(t, err)
	req.Host = "shop.example"
	req.Header.Set(platform.Headers().AttemptID, "ordinary")
	resp, err := client.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, string(body))
	assert.Equal(t, string(body), strconv.Itoa(bodyBytes))
}

// counts returns what the daemon says of the account of its callers' connections.
func (d *daemon) counts(t *testing.T) accountant.Counts {
	t.Helper()
	resp, err := http.Get("http://" + d.operators + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var metrics struct {
		Memory accountant.Counts `json:"memory"`
	}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&metrics))
	return metrics.Memory
}

// checkBounds checks that the process lives, and that its memory and its descriptors have
// stayed under their bounds.
func (d *daemon) checkBounds(t *testing.T) {
	t.Helper()
	select {
	case err := <-d.exited:
		d.exited <- err
		t.Fatalf("the process has ended: %v", err)
	default:
	}
	grown, allowed := d.statusKB(t, "VmHWM")-d.calmKB, d.memoryMB*1000*1000/1024-d.calmKB
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.pid))
	assert.NilError(t, err)
	t.Logf("memory: calm %d kB, more at the peak %d kB of %d kB; descriptors: %d of %d", d.calmKB, grown, allowed, len(descriptors), maxDescriptors)
	assert.Check(t, grown <= allowed, "memory grew by %d kB, allowed are %d kB", grown, allowed)
	assert.Check(t, len(descriptors) <= maxDescriptors, "%d descriptors are open, allowed are %d", len(descriptors), maxDescriptors)
}

// statusKB returns a figure of the process's status in the unit of the kernel.
func (d *daemon) statusKB(t *testing.T, name string) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.pid))
	assert.NilError(t, err)
	for line := range strings.SplitSeq(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			assert.NilError(t, err)
			return n
		}
	}
	t.Fatalf("no %s in the status of the process", name)
	return 0
}
