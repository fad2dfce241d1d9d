package storer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the platform's object API that do not concern a single object.
var (
	ErrCompacted = errors.New("the platform no longer has the changes since then")
	ErrBusy      = errors.New("the platform did nothing and asks to come back later")
)

type (
	// Kind is the name of a collection of records.
	Kind string

	// Record is one object of a kind. Spec is written by its owner; Status is what
	// others report about it.
	Record struct {
		Name    string
		Version Version
		Spec    json.RawMessage
		Status  json.RawMessage
	}

	// Page is a part of the list of a kind's records, sorted by name, as of a version of
	// the whole store.
	Page struct {
		Records      []Record
		More         bool
		StoreVersion Version
	}

	// Change is the write or the removal of one record. Between two VMs, Base is the record
	// that the receiver is known to have, or nil, and Patch what makes it the new one, in place
	// of its Spec.
	Change struct {
		Record  Record
		Removed bool
		Base    *Record
		Patch   []byte
	}

	// Changes is the changes of a kind's records up to a version of the whole store.
	Changes struct {
		Items        []Change
		StoreVersion Version
	}

	// Update is what one VM sends to another about a kind's records: all of them, or the
	// changes up to Version that the receiver lacks.
	Update struct {
		// Full is whether Changes holds all records of the kind.
		Full    bool
		Changes []Change
		Version Version
		// SeenVersion is the version of the whole store up to which the sender knows the
		// kind's changes.
		SeenVersion Version
		// Age is the time since the store confirmed the records. With a Mark it is the
		// time between the confirmation and the sender's receipt of that mark, and
		// negative when the confirmation came after the mark.
		Age time.Duration
		// Mark is a reading of the receiver's clock that the receiver sent before, or 0.
		// The receiver adds the time since the mark to Age, so that the age counts by
		// its own clock.
		Mark uint64
		// StoreReachableFor is how long the store had answered without an outage when it
		// confirmed the records.
		StoreReachableFor time.Duration
		// StoreUnreachable is whether the store does not answer the sender.
		StoreUnreachable bool
	}

	// ObjectAPI is the platform's object API. Every call has a timeout. A write that got
	// no answer returns ErrOutcomeUnknown.
	ObjectAPI interface {
		Read(ctx context.Context, kind Kind, name string) (Record, error)
		List(ctx context.Context, kind Kind, after string) (Page, error)
		// ListStale returns a list that may be some seconds old. It costs the platform less
		// than List.
		ListStale(ctx context.Context, kind Kind, after string) (Page, error)
		// Changes waits until there are changes after a version, or until the wait ends. With
		// ErrCompacted it returns the era of the store.
		Changes(ctx context.Context, kind Kind, since Version, wait time.Duration) (Changes, error)
		Create(ctx context.Context, kind Kind, name string, spec json.RawMessage) (Version, error)
		// Replace writes an existing record if it still has the version given, and
		// whatever its version if Absent is given.
		Replace(ctx context.Context, kind Kind, name string, spec json.RawMessage, version Version) (Version, error)
		Delete(ctx context.Context, kind Kind, name string) error
	}
)
