package pipeliner

import (
	"bytes"
	"strconv"
)

// maxHeadBytes is the longest head whose end is looked for.
const maxHeadBytes = 16 << 10

var (
	lineEnd        = []byte("\r\n")
	headEnd        = []byte("\r\n\r\n")
	space          = []byte(" ")
	slash          = []byte("/")
	colon          = []byte(":")
	version        = []byte("HTTP/1.1")
	hostName       = []byte("Host")
	lengthName     = []byte("Content-Length")
	connectionName = []byte("Connection")
	keepAlive      = []byte("keep-alive")
	hostMarks      = []byte("-_.:[]")

	connectionFields = [][]byte{
		[]byte("Transfer-Encoding"), []byte("Expect"), []byte("Upgrade"), []byte("Trailer"), []byte("TE"), []byte("Proxy-Connection"),
		[]byte("HTTP2-Settings"),
	}
)

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
	begun, head := len(f.head), p
	if begun > 0 {
		f.head = append(f.head, p...)
		head = f.head
	}
	end := bytes.Index(head, headEnd)
	if end < 0 {
		if begun == 0 {
			f.head = append(f.head, p...)
		}
		if len(head) > maxHeadBytes {
			f.unknown, f.head = true, nil
		}
		return len(p)
	}
	end += len(headEnd)
	length, framed := bodyLength(head[:end])
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
	line, rest, _ := bytes.Cut(head, lineEnd)
	if !isRequestLine(line) {
		return 0, false
	}
	length, hosts, lengths := int64(0), 0, 0
	for {
		line, rest, _ = bytes.Cut(rest, lineEnd)
		if len(line) == 0 {
			return length, hosts == 1 && lengths <= 1
		}
		name, value, ok := bytes.Cut(line, colon)
		if !ok || !isToken(name) || !isPrintable(value) {
			return 0, false
		}
		value = bytes.Trim(value, " ")
		switch {
		case bytes.EqualFold(name, hostName):
			hosts++
			if !isHost(value) {
				return 0, false
			}
		case bytes.EqualFold(name, lengthName):
			lengths++
			n, err := strconv.ParseUint(string(value), 10, 62)
			if err != nil {
				return 0, false
			}
			length = int64(n)
		case bytes.EqualFold(name, connectionName):
			if !bytes.EqualFold(value, keepAlive) {
				return 0, false
			}
		case isConnectionField(name):
			return 0, false
		}
	}
}

// isConnectionField reports whether a header field changes how the request is read, or what
// becomes of the connection.
func isConnectionField(name []byte) bool {
	for _, other := range connectionFields {
		if bytes.EqualFold(name, other) {
			return true
		}
	}
	return false
}

// isRequestLine reports whether a line is METHOD PATH HTTP/1.1.
func isRequestLine(line []byte) bool {
	method, rest, ok := bytes.Cut(line, space)
	target, found, rested := bytes.Cut(rest, space)
	return ok && rested && isToken(method) && bytes.HasPrefix(target, slash) && isPrintable(target) && bytes.Equal(found, version)
}

// isHost reports whether text is empty or looks like a host name or address with or without a
// port. Others are left to net/http, which refuses some.
func isHost(text []byte) bool {
	for _, b := range text {
		if (b < 'a' || b > 'z') && (b < 'A' || b > 'Z') && (b < '0' || b > '9') && bytes.IndexByte(hostMarks, b) < 0 {
			return false
		}
	}
	return true
}

func isToken(text []byte) bool {
	for _, b := range text {
		if (b < 'a' || b > 'z') && (b < 'A' || b > 'Z') && (b < '0' || b > '9') && b != '-' && b != '_' {
			return false
		}
	}
	return len(text) > 0
}

func isPrintable(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return true
}
