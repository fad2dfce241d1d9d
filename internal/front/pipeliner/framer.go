package pipeliner

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// maxHeadBytes is the longest head whose end is looked for.
const maxHeadBytes = 16 << 10

// headEnd is the end of a head.
var headEnd = []byte("\r\n\r\n")

// framer follows the bytes that are delivered to net/http, and knows where requests begin.
type framer struct {
	// head is the part of a head that was delivered so far.
	head []byte
	// bodyLeft is how much of a body is not delivered yet.
	bodyLeft int64
	// unknown is set once it is not certain where the next request begins.
	unknown bool
}

// atStart reports whether the next byte is the first one of a request.
func (f *framer) atStart() bool {
	return !f.unknown && f.bodyLeft == 0 && len(f.head) == 0
}

// take follows the bytes up to the end of the request in progress, and returns how many these
// are. The first byte belongs to it.
func (f *framer) take(p []byte) int {
	switch {
	case f.unknown || len(p) == 0:
		return len(p)
	case f.bodyLeft > 0:
		return f.takeBody(p)
	}
	begun := len(f.head)
	f.head = append(f.head, p...)
	end := bytes.Index(f.head, headEnd)
	if end < 0 {
		f.unknown = len(f.head) > maxHeadBytes
		if f.unknown {
			f.head = nil
		}
		return len(p)
	}
	end += len(headEnd)
	length, framed := bodyLength(f.head[:end])
	f.head = f.head[:0]
	if !framed {
		f.unknown, f.head = true, nil
		return len(p)
	}
	f.bodyLeft = length
	return end - begun + f.takeBody(p[end-begun:])
}

func (f *framer) takeBody(p []byte) int {
	n := int(min(f.bodyLeft, int64(len(p))))
	f.bodyLeft -= int64(n)
	return n
}

// requestLength returns the length of the request at the beginning of p with its body, 0 if
// its head is not complete. It returns false if the request is not framed beyond doubt.
func requestLength(p []byte) (int, bool) {
	end := bytes.Index(p, headEnd)
	if end < 0 {
		return 0, len(p) <= maxHeadBytes
	}
	end += len(headEnd)
	length, framed := bodyLength(p[:end])
	if length > maxHeadBytes {
		// It is too long to be read ahead.
		return 0, false
	}
	return end + int(length), framed
}

// bodyLength returns the length of the body that follows a head. It returns false unless all
// readers of HTTP/1.1 agree on that, and on what the head says of the connection.
func bodyLength(head []byte) (int64, bool) {
	lines := strings.Split(string(head[:len(head)-len(headEnd)]), "\r\n")
	if !isRequestLine(lines[0]) {
		return 0, false
	}
	length, hosts, lengths := int64(0), 0, 0
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) || !isPrintable(value) {
			return 0, false
		}
		value = strings.Trim(value, " ")
		switch http.CanonicalHeaderKey(name) {
		case "Host":
			hosts++
		case "Content-Length":
			lengths++
			n, err := strconv.ParseUint(value, 10, 62)
			if err != nil {
				return 0, false
			}
			length = int64(n)
		case "Connection":
			if !strings.EqualFold(value, "keep-alive") {
				return 0, false
			}
		case "Transfer-Encoding", "Expect", "Upgrade", "Trailer", "Te", "Proxy-Connection", "Http2-Settings":
			return 0, false
		}
	}
	return length, hosts == 1 && lengths <= 1
}

// isRequestLine reports whether a line is METHOD PATH HTTP/1.1.
func isRequestLine(line string) bool {
	method, rest, ok := strings.Cut(line, " ")
	target, version, rested := strings.Cut(rest, " ")
	return ok && rested && isToken(method) && strings.HasPrefix(target, "/") && isPrintable(target) && version == "HTTP/1.1"
}

func isToken(text string) bool {
	for i := range len(text) {
		b := text[i]
		if (b < 'a' || b > 'z') && (b < 'A' || b > 'Z') && (b < '0' || b > '9') && b != '-' && b != '_' {
			return false
		}
	}
	return text != ""
}

func isPrintable(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}
