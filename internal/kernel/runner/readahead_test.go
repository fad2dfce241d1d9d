package runner_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/platform"
)

// TestReadAheadDuringStop guards against requests that were sent before the first was answered,
// have reached an upstream, and get no response because a stop closes their connection.
func TestReadAheadDuringStop(t *testing.T) {
	t.Parallel()
	const count = 3
	f := newFixture(t)
	d := startReloading(t, f, 4*time.Second)
	conn := dial(t, d.callers)
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "GET /stock/slow HTTP/1.1\r\nHost: shop.example\r\n%s: ahead-%d\r\n\r\n", platform.Headers().AttemptID, i)
	}
	_, err := io.WriteString(conn, text.String())
	assert.NilError(t, err)
	for i := range count {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, ok := f.slowStarted.Load(fmt.Sprintf("ahead-%d", i)); ok {
				return poll.Success()
			}
			return poll.Continue("request %d has not reached the upstream", i)
		}, poll.WithDelay(time.Millisecond))
	}
	d.stop()
	r := bufio.NewReader(conn)
	for i := range count {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err, "response %d", i)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, resp.Header.Get(platform.Headers().AttemptID), fmt.Sprintf("ahead-%d", i))
		assert.Assert(t, !resp.Close || i == count-1, "response %d closes the connection", i)
	}
	_ = conn.Close()
	d.awaitStop(t, time.Now())
}
