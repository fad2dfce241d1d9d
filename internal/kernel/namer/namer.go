// Package namer defines the types for names, IDs and units that all packages share. It has
// little logic beyond conversions.
//
// # Usage
//
//	vm := namer.VM("central-tx-a-1")
//	inc, err := namer.NewIncarnation(rand.Reader)
package namer

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// IncarnationSize is the length of an incarnation's random ID in bytes.
const IncarnationSize = 16

type (
	// VM is the name of an entry VM. The replacement of a VM has another name.
	VM string
	// Zone is the name of an availability zone.
	Zone string
	// Region is the name of a region, which has one or more availability zones.
	Region string
	// Service is the name of a service that callers send requests to.
	Service string
	// Class is the name of a class of a service's requests.
	Class string
	// Route is the name of a route of the steering document.
	Route string
	// Account is the name of a client account.
	Account string
	// Upstream is the name of an upstream.
	Upstream string
	// Author is the name of the operator who made an edit.
	Author string
	// Generation is the number of accepted edits of the steering document.
	Generation uint64
	// Weight is the size of a request, or of a limit on requests, in slots. A request's
	// class sets how many slots it takes.
	Weight int64
	// Ordinal is a VM's number within its zone, from 1. Zero means that the VM holds none.
	Ordinal int

	// Incarnation identifies one run of a process.
	Incarnation [IncarnationSize]byte
)

// NewIncarnation returns an incarnation of random bytes read from r.
func NewIncarnation(r io.Reader) (Incarnation, error) {
	var inc Incarnation
	_, err := io.ReadFull(r, inc[:])
	return inc, errors.Wrap(err, "reading random bytes for an incarnation")
}

// RandomIncarnation returns an incarnation from the system's random source.
func RandomIncarnation() (Incarnation, error) {
	return NewIncarnation(rand.Reader)
}

// IncarnationFromBytes returns the incarnation with the bytes raw, and whether raw has the
// right length.
func IncarnationFromBytes(raw []byte) (Incarnation, bool) {
	var inc Incarnation
	if len(raw) != IncarnationSize {
		return inc, false
	}
	copy(inc[:], raw)
	return inc, true
}

// IsZero reports whether i is the zero value, which identifies no incarnation.
func (i Incarnation) IsZero() bool {
	return i == Incarnation{}
}

// String returns the first four bytes in hex, which is enough for log lines.
func (i Incarnation) String() string {
	return hex.EncodeToString(i[:4])
}

// Later returns the later of two times. It is used where a clock that jumps back must not
// undo earlier decisions.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Hex returns all bytes in hex.
func (i Incarnation) Hex() string {
	return hex.EncodeToString(i[:])
}

// Text returns the generation in decimal.
func (g Generation) Text() string {
	return strconv.FormatUint(uint64(g), 10)
}
