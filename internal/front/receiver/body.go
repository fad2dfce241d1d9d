package receiver

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/front/accountant"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
)

const (
	// minSegmentBytes is the size of the first buffer of a body, and maxSegmentBytes that up
	// to which buffers grow. A longer body is held in several.
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 256 << 10
	// segmentGrowthFactor is the factor by which the first buffer grows.
	segmentGrowthFactor = 4
)

// errNoRoom is returned for a body for which there is no memory.
var errNoRoom = errors.New("the bodies in progress take all of their memory")

// readBody reads a request's body within the limits on size, memory and time. If the result
// has a code, the request is refused with that result.
func (r *Receiver) readBody(w http.ResponseWriter, in *http.Request, limits parser.Ingress, held *reservation) ([][]byte, steerer.Result) {
	if in.ContentLength == 0 {
		return nil, steerer.Result{}
	}
	if in.ContentLength > limits.MaxRequestBodyBytes {
		return nil, bodyTooLarge()
	}
	rc := http.NewResponseController(w)
	holder := accountant.HolderOf(in.Context())
	holder.Enter(r.clock.Now(), accountant.Reading)
	r.beginBodyRead(rc, limits.ReadTimeout)
	body, err := readSegments(http.MaxBytesReader(w, in.Body, limits.MaxRequestBodyBytes), in.ContentLength, limits.MaxRequestBodyBytes, held.take)
	r.endBodyRead(rc)
	holder.Enter(r.clock.Now(), accountant.Running)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return body, steerer.Result{}
	}
	var tooLarge *http.MaxBytesError
	failed := steerer.Result{Code: steerer.CodeMalformed}
	switch {
	case errors.Is(err, errNoRoom) || holder.Evicted():
		failed = r.refuseForRoom(in, held)
	case errors.As(err, &tooLarge):
		failed = bodyTooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		failed.Status = http.StatusRequestTimeout
		failed.Reason = "the request's body did not come in time"
	default:
		failed.Status = http.StatusBadRequest
		failed.Reason = "the request's body broke off"
	}
	return nil, failed
}

// refuseForRoom returns the result of a request for which there is no memory, or whose
// connection was closed to make room.
func (r *Receiver) refuseForRoom(in *http.Request, held *reservation) steerer.Result {
	r.log.Info("request refused; the memory for callers is taken", "caller", in.RemoteAddr, "bytes", held.loan.Bytes(), "length", in.ContentLength)
	return unavailable(steerer.CodeBusy, errNoRoom.Error())
}

func bodyTooLarge() steerer.Result {
	return steerer.Result{Status: http.StatusRequestEntityTooLarge, Code: steerer.CodeMalformed, Reason: "the request's body is over the limit"}
}

// readSegments reads a body of a length, -1 if it is unknown, into buffers that it takes from
// the memory as bytes come. The first one grows up to maxSegmentBytes, so that a usual body is
// held in one.
func readSegments(body io.Reader, length, limit int64, take func(n int) bool) ([][]byte, error) {
	left := limit
	if length >= 0 {
		left = length
	}
	size := int(min(left, minSegmentBytes))
	if !take(size) {
		return nil, errNoRoom
	}
	segments := [][]byte{make([]byte, 0, size)}
	for {
		last := &segments[len(segments)-1]
		n, err := fill(body, (*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		left -= int64(n)
		if errors.Is(err, io.EOF) && (length < 0 || left == 0) {
			return segments, nil
		}
		if err == nil && left == 0 {
			return segments, readEnd(body)
		}
		if err != nil {
			return nil, errors.Wrap(err, "reading a body")
		}
		if segments, err = grow(segments, left, take); err != nil {
			return nil, err
		}
	}
}

// fill reads until the buffer is full or the body ends. Unlike io.ReadFull, it keeps io.EOF,
// which is the body's end, apart from io.ErrUnexpectedEOF, with which net/http reports a body
// that broke off.
func fill(body io.Reader, buf []byte) (int, error) {
	filled := 0
	for filled < len(buf) {
		n, err := body.Read(buf[filled:])
		filled += n
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}

// readEnd reads the end of a body all of whose bytes have been read.
func readEnd(body io.Reader) error {
	var next [1]byte
	if _, err := io.ReadFull(body, next[:]); !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "reading a body's end")
	}
	return nil
}

// grow adds room for up to left bytes to segments that are full.
func grow(segments [][]byte, left int64, take func(n int) bool) ([][]byte, error) {
	last := segments[len(segments)-1]
	if len(last) < maxSegmentBytes && len(segments) == 1 {
		size := int(min(int64(len(last))+left, maxSegmentBytes, segmentGrowthFactor*int64(len(last))))
		if !take(size - len(last)) {
			return nil, errNoRoom
		}
		segments[0] = append(make([]byte, 0, size), last...)
		return segments, nil
	}
	size := int(min(left, maxSegmentBytes))
	if !take(size) {
		return nil, errNoRoom
	}
	return append(segments, make([]byte, 0, size)), nil
}
