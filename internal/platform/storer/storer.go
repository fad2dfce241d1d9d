// Package storer keeps the project's own values in the platform's store: named
// objects with versions and conditional updates, the list of entry VMs, and the notes
// that VMs read after a restart. It declares the calls it makes as ObjectAPI; the one
// client is in platform/.
//
// # Usage
//
//	s := storer.New(client)
//	obj, err := s.Get(ctx, "head")
//	version, err := s.Put(ctx, "head", body, obj.Version)
//	if errors.Is(err, storer.ErrOutcomeUnknown) {
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

// Kinds of the project's own records.
const (
	// DocumentKind holds the head of the steering document, its sections and
	// the tables of ordinals.
	DocumentKind Kind = "documents"
	// VMKind holds one record for each entry VM.
	VMKind Kind = "entryvms"
	// NoteKind holds notes that VMs write for use after a restart. A lost or outdated
	// note only costs speed.
	NoteKind Kind = "notes"
)

// Absent is the version of an object that does not exist.
var Absent Version

// Errors of the platform's object API for a single object.
var (
	ErrNotFound       = errors.New("no such object")
	ErrConflict       = errors.New("the object has another version")
	ErrOutcomeUnknown = errors.New("the platform's answer was lost; the write may have taken effect")
)

type (
	// Object is a stored value with its version.
	Object struct {
		Body    []byte
		Version Version
	}

	// ListedVM is an entry VM on the platform's list, which lags behind the actual state.
	ListedVM struct {
		VM          namer.VM   `json:"vm"`
		Zone        namer.Zone `json:"zone"`
		PeerAddress string     `json:"peers"`
		Leaving     bool       `json:"leaving"`
	}

	// Storer reads and writes the project's values in the platform's store.
	Storer struct {
		api ObjectAPI
	}
)

// New returns a storer that uses the given object API.
func New(api ObjectAPI) *Storer {
	return &Storer{api: api}
}

// Get returns an object.
func (s *Storer) Get(ctx context.Context, key string) (Object, error) {
	r, err := s.api.Read(ctx, DocumentKind, key)
	if err != nil {
		return Object{}, errors.Wrapf(err, "reading %s", key)
	}
	obj := Object{Version: r.Version}
	err = json.Unmarshal(r.Spec, &obj.Body)
	return obj, errors.Wrapf(err, "decoding %s", key)
}

// Watch waits until the object's version is above the one given, or until the wait ends,
// and returns the object. It does not wait with Absent, nor when the store no longer has
// the changes since that version.
func (s *Storer) Watch(ctx context.Context, key string, above Version, wait time.Duration) (Object, error) {
	since := above
	for above != Absent && since.Revision > 0 {
		begun := time.Now()
		changes, err := s.api.Changes(ctx, DocumentKind, since, wait)
		if errors.Is(err, ErrCompacted) {
			break
		}
		if err != nil {
			return Object{}, errors.Wrapf(err, "watching %s", key)
		}
		wait -= time.Since(begun)
		since = changes.StoreVersion
		if wait <= 0 || changes.contains(key) || since.Era != above.Era {
			break
		}
	}
	return s.Get(ctx, key)
}

// Put writes an object if it still has the version given, and returns the new version.
// With Absent it writes the object only if it does not exist.
func (s *Storer) Put(ctx context.Context, key string, body []byte, version Version) (Version, error) {
	spec, err := json.Marshal(body)
	if err != nil {
		return Absent, errors.Wrapf(err, "encoding %s", key)
	}
	if version == Absent {
		version, err = s.api.Create(ctx, DocumentKind, key, spec)
	} else {
		version, err = s.api.Replace(ctx, DocumentKind, key, spec, version)
	}
	return version, errors.Wrapf(err, "writing %s", key)
}

// VMs returns the platform's list of VMs that run or are shutting down. The list may be
// some seconds old, since it only helps a VM to find its first peers. Records that can't
// be decoded are skipped.
func (s *Storer) VMs(ctx context.Context) ([]ListedVM, error) {
	var vms []ListedVM
	err := s.forEachRecord(ctx, VMKind, func(r Record) {
		var vm ListedVM
		if json.Unmarshal(r.Spec, &vm) == nil && vm.VM != "" {
			vms = append(vms, vm)
		}
	})
	return vms, errors.Wrap(err, "listing VMs")
}

// Enroll adds a VM to the list, and returns the era of the store in which the VM is on it. It
// replaces the record of an earlier process of the VM.
func (s *Storer) Enroll(ctx context.Context, vm ListedVM) (Era, error) {
	spec, err := json.Marshal(vm)
	if err != nil {
		return 0, errors.Wrap(err, "encoding a VM")
	}
	name := string(vm.VM)
	version, err := s.api.Create(ctx, VMKind, name, spec)
	if !errors.Is(err, ErrConflict) {
		return version.Era, err
	}
	old, err := s.api.Read(ctx, VMKind, name)
	if err != nil {
		return 0, err
	}
	var listed ListedVM
	if json.Unmarshal(old.Spec, &listed) == nil && listed == vm {
		return old.Version.Era, nil
	}
	version, err = s.api.Replace(ctx, VMKind, name, spec, old.Version)
	return version.Era, err
}

// Withdraw removes a VM from the list.
func (s *Storer) Withdraw(ctx context.Context, vm namer.VM) error {
	err := s.api.Delete(ctx, VMKind, string(vm))
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Notes returns all notes by name. They may be some seconds old.
func (s *Storer) Notes(ctx context.Context) (map[string]json.RawMessage, error) {
	notes := make(map[string]json.RawMessage)
	err := s.forEachRecord(ctx, NoteKind, func(r Record) { notes[r.Name] = r.Spec })
	return notes, errors.Wrap(err, "listing notes")
}

// Note creates or replaces a note. The last writer wins.
func (s *Storer) Note(ctx context.Context, name string, spec json.RawMessage) error {
	_, err := s.api.Replace(ctx, NoteKind, name, spec, Absent)
	if !errors.Is(err, ErrNotFound) {
		return err
	}
	_, err = s.api.Create(ctx, NoteKind, name, spec)
	return err
}

// forEachRecord calls visit with all records of a kind, page by page. They may be some
// seconds old.
func (s *Storer) forEachRecord(ctx context.Context, kind Kind, visit func(Record)) error {
	after := ""
	for {
		page, err := s.api.ListStale(ctx, kind, after)
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			after = r.Name
			visit(r)
		}
		if !page.More || len(page.Records) == 0 {
			return nil
		}
	}
}

// contains reports whether a change concerns the object with a name.
func (c Changes) contains(name string) bool {
	for _, change := range c.Items {
		if change.Record.Name == name {
			return true
		}
	}
	return false
}
