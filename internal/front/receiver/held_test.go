package receiver_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
)

// impatientRest is the rest of a response that its upstream cuts off unless it is read in time.
type impatientRest struct {
	io.Reader
	end time.Time
}

// Read implements io.Reader.
func (r impatientRest) Read(p []byte) (int, error) {
	if time.Now().After(r.end) {
		return 0, errors.New("the upstream has cut the response off")
	}
	return r.Reader.Read(p)
}

// Close implements io.Closer.
func (impatientRest) Close() error { return nil }

// TestLongResponseWaitsForItsTurn guards against a response that its upstream cuts off while those
// before it are awaited, and against the loss of whole responses behind it.
func TestLongResponseWaitsForItsTurn(t *testing.T) {
	t.Parallel()
	const (
		// The rest is longer than what sockets hold, and its upstream waits for less than the first
		// response takes.
		restBytes = 16 << 20
		patience  = 1200 * time.Millisecond
		wait      = 1500 * time.Millisecond
	)
	for _, tc := range []struct {
		name   string
		memory int64
		status int
	}{
		{"memory for the response", 64 << 20, http.StatusOK},
		{"no memory for the response", 8 << 20, http.StatusBadGateway},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			route := routerFunc(func(_ context.Context, r steerer.Request) steerer.Result {
				switch r.Path {
				case "/slow":
					time.Sleep(wait)
				case "/long":
					result := okResult("begin")
					result.ContentLength = int64(len("begin")) + restBytes
					result.Rest = impatientRest{io.LimitReader(zeros{}, restBytes), time.Now().Add(patience)}
					return result
				}
				return okResult(r.Path)
			})
			account := accountant.New(accountant.Limits{Bytes: tc.memory})
			conn := connectAhead(t, route, account)
			for _, path := range []string{"/slow", "/long", "/short"} {
				_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
				assert.NilError(t, err)
			}
			reader := bufio.NewReader(conn)
			for _, want := range []int{http.StatusOK, tc.status, http.StatusOK} {
				resp, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				n, err := io.Copy(io.Discard, resp.Body)
				assert.NilError(t, err, "after %d bytes", n)
				assert.NilError(t, resp.Body.Close())
				assert.Equal(t, resp.StatusCode, want)
				assert.Assert(t, !resp.Close)
			}
			assert.Assert(t, account.Counts().PeakBytes <= tc.memory, "%d bytes", account.Counts().PeakBytes)
		})
	}
}
