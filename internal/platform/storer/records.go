package storer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// The errors of the platform's calls beside those of single objects.
var (
	ErrCompacted = errors.New("the platform no longer has the changes since then")
	ErrBusy      = errors.New("the platform did nothing and asks to come back later")
)

type (
	// Kind names a collection of records.
	Kind string

	// Record is one object of a kind, with what its owner wrote in Spec and
	// what others report of it in Status.
	Record struct {
		Name    string
		Version Version
		Spec    json.RawMessage
		Status  json.RawMessage
	}

	// Page is a part of a kind's records, in the order of their names, as of a
	// version of the whole platform.
	Page struct {
		Records      []Record
		More         bool
		StoreVersion Version
	}

	// Change is one step in a kind's history.
	Change struct {
		Record  Record
		Removed bool
	}

	// Changes is what happened up to a version of the whole platform.
	Changes struct {
		Items        []Change
		StoreVersion Version
	}

	// Update is what one VM tells another of a kind's records: All of them, or
	// the changes up to At that the other lacks.
	Update struct {
		Full    bool
		Changes []Change
		Version Version
		// SeenVersion is the version of the whole platform up to which the kind is known.
		SeenVersion Version
		// Age is how long ago the platform itself confirmed this. Where a Mark is set, it counts
		// up to when the teller received that, and is negative when the confirmation came later.
		Age time.Duration
		// Mark is a moment of the receiver's own clock that it had told before, or 0.
		Mark uint64
		// StoreReachableFor is for how long before that it had answered without an outage.
		StoreReachableFor time.Duration
		// StoreUnreachable says that the platform does not answer the teller.
		StoreUnreachable bool
	}

	// ObjectAPI is the platform's object API. Every call ends by itself; a write
	// that got no answer returns ErrLost.
	ObjectAPI interface {
		Read(ctx context.Context, kind Kind, name string) (Record, error)
		List(ctx context.Context, kind Kind, after string) (Page, error)
		// ListStale is a list that may be some seconds old. It costs the platform less.
		ListStale(ctx context.Context, kind Kind, after string) (Page, error)
		Changes(ctx context.Context, kind Kind, since Version, wait time.Duration) (Changes, error)
		Create(ctx context.Context, kind Kind, name string, spec json.RawMessage) (Version, error)
		Replace(ctx context.Context, kind Kind, name string, spec json.RawMessage, version Version) (Version, error)
		Delete(ctx context.Context, kind Kind, name string) error
	}
)
