// Package storekeeper is a small stand-in for the platform's store: records
// with versions, conditional updates and watches, and a list of live and leaving
// VMs that lags. It speaks the published protocol, by the names in platform/. It
// counts every call and can be slow, be away, lose an answer after the write
// took effect, drop its history, or go back to an older copy.
//
// # Usage
//
//	s := storekeeper.New(clock)
//	server := &http.Server{Handler: s.Handler()}
package storekeeper

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/platform"
)

const (
	// maxValue is the platform's bound on one value.
	maxValue = 1 << 20
	// pageRecords is how many records an answer to a list has at most.
	pageRecords = 50
)

type (
	// Faults is what goes wrong from now on.
	Faults struct {
		// Delay is added to every call.
		Delay time.Duration
		// Outage refuses every call.
		Outage bool
		// LoseWrites is how many of the next writes take effect and then get
		// no answer.
		LoseWrites int
		// ListLag is how late the list of VMs is.
		ListLag time.Duration
	}

	// Counts is the calls so far. A watch counts as one.
	Counts struct {
		Reads   int
		Writes  int
		Watches int
		Lists   int
		Refused int
	}

	// Storekeeper is the stand-in.
	Storekeeper struct {
		clock clockwork.Clock

		mu       sync.Mutex
		revision uint64
		objects  map[objectKey]platform.Object
		history  []event
		// oldest is the first revision whose changes are still known.
		oldest  uint64
		changed chan struct{}
		faults  Faults
		counts  Counts
		lists   []listed
		saved   map[objectKey]platform.Object
		savedAt uint64
	}

	objectKey struct {
		kind storer.Kind
		name string
	}

	event struct {
		kind     storer.Kind
		revision uint64
		platform.Event
	}

	listed struct {
		at  time.Time
		vms []storer.ListedVM
	}
)

// New returns an empty platform.
func New(clock clockwork.Clock) *Storekeeper {
	return &Storekeeper{clock: clock, revision: 1, objects: make(map[objectKey]platform.Object), changed: make(chan struct{})}
}

// Handler returns the store's calls, and under /stand the controls.
func (s *Storekeeper) Handler() http.Handler {
	e := echo.New()
	e.GET(platform.ObjectsPath+":kind", s.list, s.disturb)
	e.GET(platform.ObjectsPath+":kind/:name", s.get, s.disturb)
	e.POST(platform.ObjectsPath+":kind", s.create, s.disturb)
	e.PUT(platform.ObjectsPath+":kind/:name", s.replace, s.disturb)
	e.DELETE(platform.ObjectsPath+":kind/:name", s.remove, s.disturb)
	e.PUT("/stand/vms", s.setVMs)
	e.PUT("/stand/faults", s.setFaults)
	e.GET("/stand/counts", s.getCounts)
	e.POST("/stand/save", s.save)
	e.POST("/stand/restore", s.restore)
	return e
}

// SetFaults changes what goes wrong.
func (s *Storekeeper) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Counts returns the calls so far.
func (s *Storekeeper) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetVMs replaces the list, which readers see when its lag has passed.
func (s *Storekeeper) SetVMs(vms []storer.ListedVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, listed{at: s.clock.Now(), vms: vms})
}

// Write puts a record there as another writer would.
func (s *Storekeeper) Write(kind storer.Kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store(objectKey{kind, name}, raw)
	return nil
}

// Erase removes a record as another writer would.
func (s *Storekeeper) Erase(kind storer.Kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(objectKey{kind, name})
}

// Compact drops the history.
func (s *Storekeeper) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.revision + 1
}

// disturb applies the faults that come before a call takes effect.
func (s *Storekeeper) disturb(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		f := s.faults
		if f.Outage {
			s.counts.Refused++
		}
		s.mu.Unlock()
		if f.Delay > 0 {
			s.clock.Sleep(f.Delay)
		}
		if f.Outage {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return next(c)
	}
}

func (s *Storekeeper) get(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	obj, ok := s.objects[keyOf(c)]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, obj)
}

func (s *Storekeeper) list(c echo.Context) error {
	kind := storer.Kind(c.Param("kind"))
	if text := c.QueryParam(platform.WatchParam); text != "" {
		return s.watch(c, kind, text)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Lists++
	out := platform.ListResponse{Items: []platform.Object{}, StoreRevision: s.revision}
	for _, obj := range s.sorted(kind) {
		if obj.Metadata.Name <= c.QueryParam(platform.AfterParam) {
			continue
		}
		if len(out.Items) == pageRecords {
			out.More = true
			break
		}
		out.Items = append(out.Items, obj)
	}
	return c.JSON(http.StatusOK, out)
}

func (s *Storekeeper) watch(c echo.Context, kind storer.Kind, text string) error {
	since, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	wait, err := strconv.Atoi(c.QueryParam(platform.WaitMsParam))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	deadline := s.clock.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	s.counts.Watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		out := platform.WatchResponse{Events: []platform.Event{}, StoreRevision: s.revision}
		gone := since > s.revision || since+1 < s.oldest
		outage := s.faults.Outage
		changed := s.changed
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				out.Events = append(out.Events, e.Event)
			}
		}
		s.mu.Unlock()
		switch {
		case outage:
			return c.NoContent(http.StatusServiceUnavailable)
		case gone:
			return c.NoContent(http.StatusGone)
		case len(out.Events) > 0:
			return c.JSON(http.StatusOK, out)
		}
		select {
		case <-changed:
		case <-deadline:
			return c.JSON(http.StatusOK, out)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (s *Storekeeper) create(c echo.Context) error {
	in, err := decode(c)
	if err != nil {
		return err
	}
	key := objectKey{storer.Kind(c.Param("kind")), in.Metadata.Name}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if obj, ok := s.objects[key]; ok {
		return c.JSON(http.StatusConflict, obj)
	}
	return s.accept(c, key, in.Spec)
}

func (s *Storekeeper) replace(c echo.Context) error {
	in, err := decode(c)
	if err != nil {
		return err
	}
	key := keyOf(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	obj, ok := s.objects[key]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	if in.Metadata.Revision != 0 && in.Metadata.Revision != obj.Metadata.Revision {
		return c.JSON(http.StatusConflict, obj)
	}
	return s.accept(c, key, in.Spec)
}

func (s *Storekeeper) remove(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if !s.erase(keyOf(c)) {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusOK)
}

// accept stores a write and answers it, unless the answer is to be lost.
func (s *Storekeeper) accept(c echo.Context, key objectKey, spec json.RawMessage) error {
	obj := s.store(key, spec)
	if s.faults.LoseWrites > 0 {
		s.faults.LoseWrites--
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, obj)
}

func (s *Storekeeper) store(key objectKey, spec json.RawMessage) platform.Object {
	if obj, ok := s.objects[key]; ok && bytes.Equal(obj.Spec, spec) {
		return obj
	}
	s.revision++
	obj := platform.Object{Metadata: platform.Metadata{Name: key.name, Revision: s.revision}, Spec: spec}
	s.objects[key] = obj
	s.record(key.kind, platform.Event{Object: obj})
	return obj
}

func (s *Storekeeper) erase(key objectKey) bool {
	obj, ok := s.objects[key]
	if !ok {
		return false
	}
	s.revision++
	delete(s.objects, key)
	s.record(key.kind, platform.Event{Object: obj, Removed: true})
	return true
}

func (s *Storekeeper) record(kind storer.Kind, e platform.Event) {
	s.history = append(s.history, event{kind: kind, revision: s.revision, Event: e})
	s.wake()
}

// sorted returns a kind's records by name. The list of VMs is the one whose lag
// has passed, where one was set.
func (s *Storekeeper) sorted(kind storer.Kind) []platform.Object {
	var out []platform.Object
	if kind == storer.VMKind && len(s.lists) > 0 {
		out = s.seenVMs()
	} else {
		for key, obj := range s.objects {
			if key.kind == kind {
				out = append(out, obj)
			}
		}
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return out
}

func (s *Storekeeper) seenVMs() []platform.Object {
	var seen []storer.ListedVM
	for _, l := range s.lists {
		if s.clock.Since(l.at) >= s.faults.ListLag {
			seen = l.vms
		}
	}
	var out []platform.Object
	for _, vm := range seen {
		spec, err := json.Marshal(vm)
		if err != nil {
			continue
		}
		out = append(out, platform.Object{Metadata: platform.Metadata{Name: string(vm.VM)}, Spec: spec})
	}
	return out
}

func (s *Storekeeper) setVMs(c echo.Context) error {
	var vms []storer.ListedVM
	if err := c.Bind(&vms); err != nil {
		return err
	}
	s.SetVMs(vms)
	return c.NoContent(http.StatusOK)
}

func (s *Storekeeper) setFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusOK)
}

func (s *Storekeeper) getCounts(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Counts())
}

func (s *Storekeeper) save(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = make(map[objectKey]platform.Object, len(s.objects))
	for key, obj := range s.objects {
		s.saved[key] = obj
	}
	s.savedAt = s.revision
	return c.NoContent(http.StatusOK)
}

func (s *Storekeeper) restore(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = make(map[objectKey]platform.Object, len(s.saved))
	for key, obj := range s.saved {
		s.objects[key] = obj
	}
	s.revision = s.savedAt
	s.history = nil
	s.oldest = s.revision + 1
	s.wake()
	return c.NoContent(http.StatusOK)
}

// wake lets every watcher look again.
func (s *Storekeeper) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func decode(c echo.Context) (platform.Object, error) {
	var in platform.Object
	body := http.MaxBytesReader(c.Response(), c.Request().Body, 2*maxValue)
	if err := json.NewDecoder(body).Decode(&in); err != nil || len(in.Spec) > 2*maxValue {
		return in, echo.NewHTTPError(http.StatusRequestEntityTooLarge)
	}
	return in, nil
}

func keyOf(c echo.Context) objectKey {
	return objectKey{storer.Kind(c.Param("kind")), c.Param("name")}
}
