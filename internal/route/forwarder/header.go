package forwarder

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
)

// reservedPrefix is the prefix of the headers that only the system itself sets.
const reservedPrefix = "Waxwing-"

// EndToEndHeaders returns the headers that are forwarded, as the list that a Request
// holds. Headers that a Connection header names are left out.
func EndToEndHeaders(h http.Header) []arbiter.Header {
	return filterHeaders(h)
}

func fieldCount(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

func filterHeaders(h http.Header) []arbiter.Header {
	var connectionHeaders []string
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			connectionHeaders = append(connectionHeaders, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	out := make([]arbiter.Header, 0, len(h))
	for name, values := range h {
		if dropped(name) || slices.Contains(connectionHeaders, name) {
			continue
		}
		for _, v := range values {
			out = append(out, arbiter.Header{Name: name, Value: v})
		}
	}
	return out
}

// dropped reports whether a header is not forwarded. These are hop-by-hop headers,
// headers that the transport sets itself, idempotency headers, with which http.Transport
// repeats requests, and headers that only the system itself sets.
func dropped(name string) bool {
	switch textproto.CanonicalMIMEHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
		"Idempotency-Key", "X-Idempotency-Key":
		return true
	}
	return strings.HasPrefix(name, reservedPrefix)
}
