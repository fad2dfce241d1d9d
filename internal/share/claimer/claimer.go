// Package claimer claims and releases a VM's ordinal, its position among the entry
// VMs of its zone. A VM claims an ordinal by a conditional update of a table in the
// platform's store when it starts, and releases it when it stops, never per request.
// While the platform is down, every holder keeps its ordinal, and a new VM gets none.
//
// # Usage
//
//	table, assignment := claimer.Claim(table, claimant, now, maxDeadline)
package claimer

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

type (
	// Holder is a VM that holds an ordinal, or held it until it released it.
	Holder struct {
		Ordinal     namer.Ordinal `json:"ordinal"`
		VM          namer.VM      `json:"vm"`
		Incarnation string        `json:"incarnation"`
		Released    bool          `json:"released"`
	}

	// Table lists the holders of a zone's ordinals, as stored in the platform.
	Table struct {
		Holders []Holder `json:"holders"`
	}

	// Claimant is the VM that claims an ordinal. Count is the number of ordinals of
	// its zone. Listed has every VM in the platform's list; a VM that is gone may
	// stay listed for a while, but a VM that still runs is not removed.
	Claimant struct {
		VM          namer.VM
		Incarnation string
		Count       int
		Listed      []namer.VM
	}

	// Assignment is an ordinal with the time from which it may be used. Until then, a
	// predecessor that did not release it may have requests in flight.
	Assignment struct {
		Ordinal    namer.Ordinal
		UsableFrom time.Time
	}
)

// Key returns the key under which the platform stores a zone's table.
func Key(zone namer.Zone) string {
	return "ordinals-" + string(zone)
}

// Encode returns the table as the platform stores it.
func (t Table) Encode() ([]byte, error) {
	raw, err := json.Marshal(t)
	return raw, errors.Wrap(err, "encoding ordinals")
}

// DecodeTable decodes a table that was stored in the platform.
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

// Claim assigns the first available ordinal to the claimant and returns the changed
// table with the assignment. The ordinal is usable at once when it was never held or
// was released. When its holder is gone or restarted without a release, it is usable
// after the longest deadline of a request. Claim returns ordinal 0 when every ordinal
// is held.
func Claim(t Table, c Claimant, now time.Time, maxDeadline time.Duration) (Table, Assignment) {
	for o := namer.Ordinal(1); int(o) <= c.Count; o++ {
		h, held := t.holder(o)
		free := !held || h.Released
		if !free && h.VM != c.VM && slices.Contains(c.Listed, h.VM) {
			continue
		}
		usableFrom := now
		if !free {
			usableFrom = now.Add(maxDeadline)
		}
		next := t.without(o)
		next.Holders = append(next.Holders, Holder{Ordinal: o, VM: c.VM, Incarnation: c.Incarnation})
		return next, Assignment{Ordinal: o, UsableFrom: usableFrom}
	}
	return t, Assignment{}
}

// Release returns the table with an incarnation's ordinal marked as released. It must
// not be called before the ordinal's UsableFrom: until then a predecessor's requests
// may be in flight, and a successor must wait for them too.
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
