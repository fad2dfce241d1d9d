// Package claimer holds a VM's ordinal, its place among the entry VMs of its
// zone. An ordinal is claimed by a conditional update in the platform when a
// VM comes and released when it goes, never per request. With the platform
// down every holder keeps what it holds, and a new VM holds nothing.
//
// # Usage
//
//	table, changed := claimer.Claim(table, want, now)
package claimer

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

type (
	// Holder is a VM that holds an ordinal.
	Holder struct {
		Ordinal     namer.Ordinal `json:"ordinal"`
		VM          namer.VM      `json:"vm"`
		Incarnation string        `json:"incarnation"`
		Released    bool          `json:"released"`
	}

	// Table is a zone's ordinals as the platform holds them.
	Table struct {
		Holders []Holder `json:"holders"`
	}

	// Claimant describes the VM that claims. Listed names every VM that the
	// platform's list has; the list errs late, never early.
	Claimant struct {
		VM          namer.VM
		Incarnation string
		Count       int
		Listed      []namer.VM
	}

	// Assignment is an ordinal with the time from which it may be used. A
	// predecessor that did not release may have requests in flight until then.
	Assignment struct {
		Ordinal    namer.Ordinal
		UsableFrom time.Time
	}
)

// Key returns the platform's key of a zone's ordinals.
func Key(zone namer.Zone) string {
	return "ordinals-" + string(zone)
}

// Encode returns the table as the platform holds it.
func (t Table) Encode() ([]byte, error) {
	raw, err := json.Marshal(t)
	return raw, errors.Wrap(err, "encoding ordinals")
}

// DecodeTable reads a table.
func DecodeTable(raw []byte) (Table, error) {
	var t Table
	err := json.Unmarshal(raw, &t)
	return t, errors.Wrap(err, "decoding ordinals")
}

// OrdinalOf returns the ordinal that an incarnation holds.
func (t Table) OrdinalOf(incarnation string) (namer.Ordinal, bool) {
	for _, h := range t.Holders {
		if h.Incarnation == incarnation && !h.Released {
			return h.Ordinal, true
		}
	}
	return 0, false
}

// Claim returns the table with an ordinal for the VM, and the ordinal with the
// time from which it may be used: at once when it was never held or was
// released, else after the longest deadline. It returns ordinal 0 when every
// ordinal is held.
func Claim(t Table, w Claimant, now time.Time, longest time.Duration) (Table, Assignment) {
	for o := namer.Ordinal(1); int(o) <= w.Count; o++ {
		h, held := t.holder(o)
		clean := !held || h.Released
		if !clean && h.VM != w.VM && slices.Contains(w.Listed, h.VM) {
			continue
		}
		from := now
		if !clean {
			from = now.Add(longest)
		}
		next := t.without(o)
		next.Holders = append(next.Holders, Holder{Ordinal: o, VM: w.VM, Incarnation: w.Incarnation})
		return next, Assignment{Ordinal: o, UsableFrom: from}
	}
	return t, Assignment{}
}

// Release returns the table in which an incarnation's ordinal is free. It may
// only be used from the time at which the ordinal itself might be: before it, a
// predecessor's requests may be in flight, and a successor must wait for them.
func Release(t Table, incarnation string) Table {
	var next Table
	for _, h := range t.Holders {
		if h.Incarnation == incarnation {
			h.Released = true
		}
		next.Holders = append(next.Holders, h)
	}
	return next
}

func (t Table) holder(o namer.Ordinal) (Holder, bool) {
	for _, h := range t.Holders {
		if h.Ordinal == o {
			return h, true
		}
	}
	return Holder{}, false
}

func (t Table) without(o namer.Ordinal) Table {
	var next Table
	for _, h := range t.Holders {
		if h.Ordinal != o {
			next.Holders = append(next.Holders, h)
		}
	}
	return next
}
