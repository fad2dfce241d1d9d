package runner_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/platform"
)

// changesDuration is how long configurations change under load.
const changesDuration = 4 * time.Second

// TestRequestsDuringChanges guards against requests that end without a response beside a
// change of the configuration: routes, timeouts and the idle timeout change in quick
// succession, and upstreams come and go, while callers use kept connections.
func TestRequestsDuringChanges(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	d := start(t, "vm-1", f.storeAddress, "")
	d.waitReady(t)
	end := time.Now().Add(changesDuration)
	var callers sync.WaitGroup
	answered := make([]int, 8)
	for i := range answered {
		callers.Go(func() { answered[i] = callUntil(end, d.callers, rand.New(rand.NewPCG(1, uint64(i)))) })
	}
	rng := rand.New(rand.NewPCG(2, 0))
	for version := 2; time.Now().Before(end); version++ {
		f.change(t, version, rng)
		time.Sleep(10 * time.Millisecond)
	}
	callers.Wait()
	sum := 0
	for _, n := range answered {
		sum += n
	}
	assert.Assert(t, sum > 100, "%d answered", sum)
	assert.Assert(t, !strings.Contains(d.log.String(), "connection ended without a response"))
}

// change writes a configuration, and adds or removes an upstream.
func (f *fixture) change(t *testing.T, version int, rng *rand.Rand) {
	t.Helper()
	path := []string{"/stock/", "/stock/", "/other/"}[rng.IntN(3)]
	text := string(sample(t, "configuration", "VERSION", strconv.Itoa(version), "PATH", path))
	text = strings.Replace(text, `"idleTimeout":"15s"`, fmt.Sprintf(`"idleTimeout":"%ds"`, 1+rng.IntN(2)), 1)
	text = strings.Replace(text, `"timeout":"2s"`, fmt.Sprintf(`"timeout":"%dms"`, 200+rng.IntN(2000)), 1)
	assert.NilError(t, f.storekeeper.Write(platform.ConfigKind, platform.ConfigName, json.RawMessage(text)))
	if rng.IntN(4) > 0 {
		return
	}
	if rng.IntN(2) == 0 {
		f.storekeeper.Delete(platform.UpstreamKind, "i-1")
		return
	}
	assert.NilError(t, f.storekeeper.Write(platform.UpstreamKind, "i-1", f.entry))
}

// callUntil sends requests on kept connections, some with pauses around the idle timeout and
// some in two parts, and returns how many were answered.
func callUntil(end time.Time, address string, rng *rand.Rand) (answered int) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for n := 0; time.Now().Before(end); n++ {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", address); err != nil {
				return answered
			}
		}
		if callKept(conn, n, rng) {
			answered++
		} else {
			_ = conn.Close()
			conn = nil
		}
		if rng.IntN(20) == 0 {
			time.Sleep(time.Duration(rng.IntN(2100)) * time.Millisecond)
		}
	}
	return answered
}

// callKept sends one request and reports whether its response is whole and keeps the
// connection.
func callKept(conn net.Conn, n int, rng *rand.Rand) bool {
	path := []string{"/stock/1", "/stock/slow", "/other/1"}[rng.IntN(3)]
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\n%s: %p-%d\r\nContent-Length: 4\r\n\r\nbody", path, platform.Headers().AttemptID, conn, n)
	split := rng.IntN(len(text))
	for _, part := range []string{text[:split], text[split:]} {
		if _, err := io.WriteString(conn, part); err != nil {
			return false
		}
		time.Sleep(time.Duration(rng.IntN(2)) * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close
}
