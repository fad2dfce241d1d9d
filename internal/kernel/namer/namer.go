// Package namer holds the named types for ids and units that every other
// package shares. It has no logic beyond text conversion.
//
// # Usage
//
//	vm := namer.VM("central-tx-a-1")
//	inc := namer.NewIncarnation(rand.Reader)
package namer

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// IncarnationSize is the length of an incarnation's random id in bytes.
const IncarnationSize = 16

type (
	// VM names an entry VM. A replaced VM has a new name.
	VM string
	// Zone names an availability zone.
	Zone string
	// Region names a region, which holds one or more availability zones.
	Region string
	// Service names a service that callers ask for.
	Service string
	// Class names a class of requests within a service.
	Class string
	// Route names a route of the steering document.
	Route string
	// Upstream names an upstream.
	Upstream string
	// Author names the operator who made an edit.
	Author string
	// Generation counts accepted edits of the steering document.
	Generation uint64
	// Weight is a request's or a limit's size, in units of class weight.
	Weight int64
	// Ordinal is a VM's place in its zone, from 1. Zero means none is held.
	Ordinal int

	// Incarnation identifies one run of one process.
	Incarnation [IncarnationSize]byte
)

// NewIncarnation draws an incarnation from r.
func NewIncarnation(r io.Reader) (Incarnation, error) {
	var inc Incarnation
	_, err := io.ReadFull(r, inc[:])
	return inc, errors.Wrap(err, "drawing an incarnation")
}

// RandomIncarnation draws an incarnation from the system's random source.
func RandomIncarnation() (Incarnation, error) {
	return NewIncarnation(rand.Reader)
}

// IncarnationFromBytes returns the incarnation held in raw, and whether raw has the
// right length.
func IncarnationFromBytes(raw []byte) (Incarnation, bool) {
	var inc Incarnation
	if len(raw) != IncarnationSize {
		return inc, false
	}
	copy(inc[:], raw)
	return inc, true
}

// IsZero reports whether no incarnation is named.
func (i Incarnation) IsZero() bool {
	return i == Incarnation{}
}

// String returns the first four bytes in hex, enough for a log line.
func (i Incarnation) String() string {
	return hex.EncodeToString(i[:4])
}

// Later returns the later of two times, so that a clock which jumps back does
// not undo what was already judged.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Hex returns the whole incarnation in hex.
func (i Incarnation) Hex() string {
	return hex.EncodeToString(i[:])
}

// Text returns the generation in decimal.
func (g Generation) Text() string {
	return strconv.FormatUint(uint64(g), 10)
}
