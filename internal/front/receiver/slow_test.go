package receiver_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
)

// TestSlowlyReadResponseIsCut guards against a response that ends before the request's deadline,
// although the caller reads it all the while.
func TestSlowlyReadResponseIsCut(t *testing.T) {
	t.Parallel()
	const (
		bodyBytes  = 46 << 20
		pieceBytes = 256 << 10
		// pause makes the reading of the whole body take 11.5 s.
		pause = 11500 * time.Millisecond / (bodyBytes / pieceBytes)
	)
	for _, tc := range []struct {
		name   string
		behind bool
	}{{"first request", false}, {"request behind another", true}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			route := routerFunc(func(_ context.Context, r steerer.Request) steerer.Result {
				if r.Path == "/short" {
					return okResult("answer")
				}
				result := okResult("")
				result.Rest, result.ContentLength = io.NopCloser(io.LimitReader(zeros{}, bodyBytes)), bodyBytes
				return result
			})
			conn := connectAhead(t, route, accountant.New(accountant.Limits{}))
			assert.NilError(t, conn.SetReadBuffer(128<<10))
			requests := "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"
			if tc.behind {
				requests = strings.Replace(requests, "long", "short", 1) + requests
			}
			_, err := io.WriteString(conn, requests)
			assert.NilError(t, err)
			reader := bufio.NewReader(conn)
			if tc.behind {
				resp, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(t, err)
			}
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			start, read := time.Now(), int64(0)
			for read < bodyBytes {
				n, err := io.CopyN(io.Discard, resp.Body, pieceBytes)
				read += n
				assert.NilError(t, err, "after %d bytes and %v", read, time.Since(start))
				time.Sleep(pause)
			}
			assert.NilError(t, conn.Close())
		})
	}
}

// zeros is a source without an end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }
