package steerer_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// refusingUpstream refuses its first request on a kept connection. It repeats the refusal
// before each later response on that connection. It runs all later requests.
type refusingUpstream struct {
	mu      sync.Mutex
	refused string
	ran     []string
}

func (u *refusingUpstream) serve(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var done sync.WaitGroup
	done.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			done.Go(func() { u.serveConn(conn) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		done.Wait()
	})
	return ln.Addr().String()
}

func (u *refusingUpstream) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(conn)
	h := namer.WaxwingHeaderNames()
	repeated := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(h.AttemptID)
		u.mu.Lock()
		refuses := u.refused == ""
		if refuses {
			u.refused = id
		} else {
			u.ran = append(u.ran, id)
		}
		u.mu.Unlock()
		if refuses {
			repeated = fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", h.AttemptID, id, h.NotRun)
			_, _ = io.WriteString(conn, repeated)
			continue
		}
		_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 3\r\n\r\nran", repeated, h.AttemptID, id, h.Signature)
	}
}

// newSteererWithExchanger returns a steerer that sends to one real upstream.
func newSteererWithExchanger(t *testing.T, address string) *steerer.Steerer {
	t.Helper()
	x, cleanup := exchanger.New(clockwork.NewRealClock())
	t.Cleanup(cleanup)
	self := selector.Self{VM: "v", Zone: "z", Region: "r", Regions: map[namer.Zone]namer.Region{"z": "r"}}
	s := steerer.New(self, namer.WaxwingHeaderNames(), steerer.RetryBudget{Ratio: 1, Window: 10 * time.Second}, x,
		clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	doc, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: []byte(document)}})
	assert.NilError(t, err)
	s.SetDocument(1, doc)
	s.SetUpstreams(&cataloger.View{Upstreams: []cataloger.Upstream{{Entry: cataloger.Entry{
		Upstream: "u", Service: "desk", Zone: "z", Address: address, Slots: 4,
	}}}})
	return s
}

// TestLateCopyOfRefusal guards against a caller that is told that its request did not run
// because the upstream repeated an earlier refusal, while it runs the request.
func TestLateCopyOfRefusal(t *testing.T) {
	t.Parallel()
	u := &refusingUpstream{}
	s := newSteererWithExchanger(t, u.serve(t))
	h := namer.WaxwingHeaderNames()
	steer := func(id string) steerer.Result {
		r := request("/order/")
		r.AttemptID = id
		r.Header = http.Header{h.AttemptID: {id}}
		return s.Steer(t.Context(), r)
	}
	result := steer("a1")
	assert.Equal(t, result.Code, steerer.CodeRefused)
	assert.Equal(t, result.SendCount, 1, "a second send to the same upstream")
	for _, id := range []string{"a2", "a1"} {
		result = steer(id)
		assert.Equal(t, result.Status, http.StatusOK, "%s: %+v", id, result)
		assert.Equal(t, string(result.Body), "ran")
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	assert.DeepEqual(t, u.ran, []string{"a2", "a1"})
}
