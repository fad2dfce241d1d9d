// Package storer keeps the project's own values in the platform's store: named
// values with versions and conditional updates, and the list of entry VMs. It
// declares what it needs of the platform as Calls; the adapter in platform/ has
// the one client.
//
// # Usage
//
//	s := storer.New(calls)
//	obj, err := s.Get(ctx, "head")
//	version, err := s.Put(ctx, "head", body, obj.Version)
//	if errors.Is(err, storer.ErrLost) {
//		// The write may have taken effect; read to find out.
//	}
package storer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// The kinds of the project's own records.
const (
	// DocumentKind holds the head of the steering document, its sections and
	// the tables of ordinals.
	DocumentKind Kind = "documents"
	// VMKind holds one record for each entry VM.
	VMKind Kind = "entryvms"
	// NoteKind holds what VMs note for the time after a restart; a lost or an old
	// note costs speed only.
	NoteKind Kind = "notes"
)

// Absent is the version of an object that does not exist.
const Absent Version = 0

// The errors of the object API.
var (
	ErrNotFound       = errors.New("no such object")
	ErrConflict       = errors.New("the object has another version")
	ErrOutcomeUnknown = errors.New("the platform's answer was lost; the write may have taken effect")
)

type (
	// Version counts the platform's writes; each object has that of its last.
	Version uint64

	// Object is a value with its version.
	Object struct {
		Body    []byte
		Version Version
	}

	// ListedVM is an entry VM on the platform's list, which lags.
	ListedVM struct {
		VM          namer.VM   `json:"vm"`
		Zone        namer.Zone `json:"zone"`
		PeerAddress string     `json:"peers"`
		Leaving     bool       `json:"leaving"`
	}

	// Storer keeps values on the platform.
	Storer struct {
		calls ObjectAPI
	}
)

// New returns a storer.
func New(calls ObjectAPI) *Storer {
	return &Storer{calls: calls}
}

// Get returns an object.
func (s *Storer) Get(ctx context.Context, key string) (Object, error) {
	r, err := s.calls.Read(ctx, DocumentKind, key)
	if err != nil {
		return Object{}, errors.Wrapf(err, "reading %s", key)
	}
	obj := Object{Version: r.Version}
	err = json.Unmarshal(r.Spec, &obj.Body)
	return obj, errors.Wrapf(err, "decoding %s", key)
}

// Watch returns the object once its version is above the one given, or as it
// is when the wait ends.
func (s *Storer) Watch(ctx context.Context, key string, above Version, wait time.Duration) (Object, error) {
	since := above
	for above != Absent && since > 0 {
		begun := time.Now()
		changes, err := s.calls.Changes(ctx, DocumentKind, since, wait)
		if errors.Is(err, ErrCompacted) {
			break
		}
		if err != nil {
			return Object{}, errors.Wrapf(err, "watching %s", key)
		}
		wait -= time.Since(begun)
		since = changes.StoreVersion
		if wait <= 0 || changes.names(key) {
			break
		}
	}
	return s.Get(ctx, key)
}

// Put writes an object if its version is still the one given, and returns the
// new version. Absent writes it only if it does not exist.
func (s *Storer) Put(ctx context.Context, key string, body []byte, version Version) (Version, error) {
	spec, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Wrapf(err, "encoding %s", key)
	}
	if version == Absent {
		version, err = s.calls.Create(ctx, DocumentKind, key, spec)
	} else {
		version, err = s.calls.Replace(ctx, DocumentKind, key, spec, version)
	}
	return version, errors.Wrapf(err, "writing %s", key)
}

// VMs returns the platform's list of live and leaving VMs, which may be some seconds
// old: it is a hint for the first contact. A record that can't be read names no VM.
func (s *Storer) VMs(ctx context.Context) ([]ListedVM, error) {
	var vms []ListedVM
	err := s.glance(ctx, VMKind, func(r Record) {
		var vm ListedVM
		if json.Unmarshal(r.Spec, &vm) == nil && vm.VM != "" {
			vms = append(vms, vm)
		}
	})
	return vms, errors.Wrap(err, "listing VMs")
}

// Enroll writes a VM into the list, in place of an earlier process of it.
func (s *Storer) Enroll(ctx context.Context, vm ListedVM) error {
	spec, err := json.Marshal(vm)
	if err != nil {
		return errors.Wrap(err, "encoding a VM")
	}
	name := string(vm.VM)
	_, err = s.calls.Create(ctx, VMKind, name, spec)
	if !errors.Is(err, ErrConflict) {
		return err
	}
	old, err := s.calls.Read(ctx, VMKind, name)
	if err != nil {
		return err
	}
	_, err = s.calls.Replace(ctx, VMKind, name, spec, old.Version)
	return err
}

// Withdraw removes a VM from the list.
func (s *Storer) Withdraw(ctx context.Context, vm namer.VM) error {
	err := s.calls.Delete(ctx, VMKind, string(vm))
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Notes returns all notes by name, as they were within the last seconds.
func (s *Storer) Notes(ctx context.Context) (map[string]json.RawMessage, error) {
	notes := make(map[string]json.RawMessage)
	err := s.glance(ctx, NoteKind, func(r Record) { notes[r.Name] = r.Spec })
	return notes, errors.Wrap(err, "listing notes")
}

// Note writes a note in place of an earlier one. The last writer wins.
func (s *Storer) Note(ctx context.Context, name string, spec json.RawMessage) error {
	_, err := s.calls.Replace(ctx, NoteKind, name, spec, Absent)
	if !errors.Is(err, ErrNotFound) {
		return err
	}
	_, err = s.calls.Create(ctx, NoteKind, name, spec)
	return err
}

// glance takes all records of a kind, as they were within the last seconds.
func (s *Storer) glance(ctx context.Context, kind Kind, take func(Record)) error {
	after := ""
	for {
		page, err := s.calls.ListStale(ctx, kind, after)
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			after = r.Name
			take(r)
		}
		if !page.More || len(page.Records) == 0 {
			return nil
		}
	}
}

// names reports whether any change is of the object with a name.
func (c Changes) names(name string) bool {
	for _, change := range c.Items {
		if change.Record.Name == name {
			return true
		}
	}
	return false
}
