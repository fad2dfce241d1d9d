package forwarder

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
)

// ownPrefix starts the names of the headers that the system itself sets.
const ownPrefix = "Waxwing-"

// EndToEndHeaders returns the headers that may travel on, in a form that peers can
// carry. Those that a Connection header names are left out.
func EndToEndHeaders(h http.Header) []arbiter.Header {
	return endToEnd(h)
}

func endToEnd(h http.Header) []arbiter.Header {
	var named []string
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	out := make([]arbiter.Header, 0, len(h))
	for name, values := range h {
		if dropped(name) || slices.Contains(named, name) {
			continue
		}
		for _, v := range values {
			out = append(out, arbiter.Header{Name: name, Value: v})
		}
	}
	return out
}

// dropped reports whether a header belongs to one connection alone, or makes
// a client library repeat a request, or is set by the system itself.
func dropped(name string) bool {
	switch textproto.CanonicalMIMEHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
		"Idempotency-Key", "X-Idempotency-Key":
		return true
	}
	return strings.HasPrefix(name, ownPrefix)
}
