// Package storekeeper is an in-memory test double of the platform's store. It
// has versioned records, conditional updates, watches, and a list of VMs, those
// that run and those that shut down, which can lag. It implements the published
// protocol with the names of package platform. It counts every call and injects
// faults: added delay, an outage, a lost response to a write that took effect, a
// compacted change history, and a restore of an older copy.
//
// # Usage
//
//	s := storekeeper.New(clock)
//	server := &http.Server{Handler: s.Handler()}
package storekeeper

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/platform"
)

const (
	// maxValueBytes is the platform's limit on one value.
	maxValueBytes = 1 << 20
	// maxPageRecords is the maximum number of records in one response to a list call.
	maxPageRecords = 50
)

type (
	// Faults are the faults that the store injects into the calls that follow.
	Faults struct {
		// Delay is added to every call.
		Delay time.Duration
		// Outage refuses every call, and ends the watches that are waiting, with
		// status 503.
		Outage bool
		// SilentWatches makes watches bring no changes, without an error.
		SilentWatches bool
		// LoseWrites is how many of the next creates and replacements take effect
		// but get no response: the connection is closed.
		LoseWrites int
		// ListLag is the delay after which readers see a change of the VM list.
		ListLag time.Duration
	}

	// Counts are the calls so far. A watch counts as one call.
	Counts struct {
		Reads   int
		Writes  int
		Watches int
		Lists   int
		Refused int
	}

	// Storekeeper is the store. All its data is in memory.
	Storekeeper struct {
		clock clockwork.Clock

		// era counts the restorations. It is written with mu held.
		era atomic.Uint64

		mu       sync.Mutex
		revision uint64
		objects  map[objectKey]platform.Object
		history  []event
		// oldestRevision is the first revision whose change is still in the history.
		oldestRevision uint64
		changed        chan struct{}
		faults         Faults
		counts         Counts
		vmLists        []vmList
		saved          map[objectKey]platform.Object
		savedRevision  uint64
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

	vmList struct {
		setAt time.Time
		vms   []storer.ListedVM
	}
)

// New returns an empty store.
func New(clock clockwork.Clock) *Storekeeper {
	s := &Storekeeper{clock: clock, revision: 1, objects: make(map[objectKey]platform.Object), changed: make(chan struct{})}
	s.era.Store(1)
	return s
}

// Handler serves the store's API, and under /stand the calls with which tests
// control it.
func (s *Storekeeper) Handler() http.Handler {
	e := echo.New()
	e.Use(s.reportEra)
	e.GET(platform.ObjectsPath+":kind", s.list, s.injectFaults)
	e.GET(platform.ObjectsPath+":kind/:name", s.get, s.injectFaults)
	e.POST(platform.ObjectsPath+":kind", s.create, s.injectFaults)
	e.PUT(platform.ObjectsPath+":kind/:name", s.replace, s.injectFaults)
	e.DELETE(platform.ObjectsPath+":kind/:name", s.remove, s.injectFaults)
	e.PUT("/stand/vms", s.setVMs)
	e.PUT("/stand/faults", s.setFaults)
	e.GET("/stand/counts", s.getCounts)
	e.POST("/stand/save", s.save)
	e.POST("/stand/restore", s.restore)
	return e
}

// SetFaults replaces the injected faults and wakes the watches, so that an outage
// ends them at once.
func (s *Storekeeper) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatchers()
}

// Counts returns the number of calls so far.
func (s *Storekeeper) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetVMs replaces the VM list. Readers see it after Faults.ListLag.
func (s *Storekeeper) SetVMs(vms []storer.ListedVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmLists = append(s.vmLists, vmList{setAt: s.clock.Now(), vms: vms})
}

// Write stores a record as another writer would. It is neither counted nor
// subject to faults.
func (s *Storekeeper) Write(kind storer.Kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putRecord(objectKey{kind, name}, raw)
	return nil
}

// Delete removes a record as another writer would. It is neither counted nor
// subject to faults.
func (s *Storekeeper) Delete(kind storer.Kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteRecord(objectKey{kind, name})
}

// Compact drops the change history, so that a watch from an earlier revision gets
// status 410.
func (s *Storekeeper) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldestRevision = s.revision + 1
}

// Save keeps a copy of the objects for Restore.
func (s *Storekeeper) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = maps.Clone(s.objects)
	s.savedRevision = s.revision
}

// Restore replaces the objects by those of the last call of Save, and begins a new era. The
// revisions after that of the copy are given out again.
func (s *Storekeeper) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = make(map[objectKey]platform.Object, len(s.saved))
	maps.Copy(s.objects, s.saved)
	s.era.Add(1)
	s.revision = s.savedRevision
	s.history = nil
	s.oldestRevision = s.revision + 1
	s.wakeWatchers()
}

// reportEra is the middleware that sets the header with the era when the response is
// written, unless the handler has set it.
func (s *Storekeeper) reportEra(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			if c.Response().Header().Get(platform.EraHeader) == "" {
				s.setEra(c)
			}
		})
		return next(c)
	}
}

func (s *Storekeeper) setEra(c echo.Context) {
	c.Response().Header().Set(platform.EraHeader, strconv.FormatUint(s.era.Load(), 10))
}

// injectFaults is the middleware for the faults that apply before a call takes
// effect: the delay and the outage.
func (s *Storekeeper) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
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
	if sinceText := c.QueryParam(platform.WatchParam); sinceText != "" {
		return s.watch(c, kind, sinceText)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Lists++
	out := platform.ListResponse{Items: []platform.Object{}, StoreRevision: s.revision}
	for _, obj := range s.sortedRecords(kind) {
		if obj.Metadata.Name <= c.QueryParam(platform.AfterParam) {
			continue
		}
		if len(out.Items) == maxPageRecords {
			out.More = true
			break
		}
		out.Items = append(out.Items, obj)
	}
	return c.JSON(http.StatusOK, out)
}

func (s *Storekeeper) watch(c echo.Context, kind storer.Kind, sinceText string) error {
	since, err := strconv.ParseUint(sinceText, 10, 64)
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
		s.setEra(c)
		gone := since > s.revision || since+1 < s.oldestRevision
		outage := s.faults.Outage
		changed := s.changed
		for _, e := range s.history {
			if !s.faults.SilentWatches && e.kind == kind && e.revision > since {
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
	return s.putAndRespond(c, key, in.Spec)
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
	return s.putAndRespond(c, key, in.Spec)
}

func (s *Storekeeper) remove(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if !s.deleteRecord(keyOf(c)) {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusOK)
}

// putAndRespond stores a record and sends the response, or closes the connection
// if LoseWrites says that the response is lost.
func (s *Storekeeper) putAndRespond(c echo.Context, key objectKey, spec json.RawMessage) error {
	obj := s.putRecord(key, spec)
	if s.faults.LoseWrites > 0 {
		s.faults.LoseWrites--
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, obj)
}

func (s *Storekeeper) putRecord(key objectKey, spec json.RawMessage) platform.Object {
	if obj, ok := s.objects[key]; ok && bytes.Equal(obj.Spec, spec) {
		return obj
	}
	s.revision++
	obj := platform.Object{Metadata: platform.Metadata{Name: key.name, Revision: s.revision}, Spec: spec}
	s.objects[key] = obj
	s.appendEvent(key.kind, platform.Event{Object: obj})
	return obj
}

func (s *Storekeeper) deleteRecord(key objectKey) bool {
	obj, ok := s.objects[key]
	if !ok {
		return false
	}
	s.revision++
	delete(s.objects, key)
	s.appendEvent(key.kind, platform.Event{Object: obj, Removed: true})
	return true
}

func (s *Storekeeper) appendEvent(kind storer.Kind, e platform.Event) {
	s.history = append(s.history, event{kind: kind, revision: s.revision, Event: e})
	s.wakeWatchers()
}

// sortedRecords returns the records of a kind, sorted by name. For VMs it returns
// the latest list that is older than the lag, if a list was ever set.
func (s *Storekeeper) sortedRecords(kind storer.Kind) []platform.Object {
	var out []platform.Object
	if kind == storer.VMKind && len(s.vmLists) > 0 {
		out = s.visibleVMs()
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

func (s *Storekeeper) visibleVMs() []platform.Object {
	var visible []storer.ListedVM
	for _, l := range s.vmLists {
		if s.clock.Since(l.setAt) >= s.faults.ListLag {
			visible = l.vms
		}
	}
	var out []platform.Object
	for _, vm := range visible {
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
	s.Save()
	return c.NoContent(http.StatusOK)
}

func (s *Storekeeper) restore(c echo.Context) error {
	s.Restore()
	return c.NoContent(http.StatusOK)
}

// wakeWatchers makes every waiting watch check for changes and faults again.
func (s *Storekeeper) wakeWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func decode(c echo.Context) (platform.Object, error) {
	var in platform.Object
	body := http.MaxBytesReader(c.Response(), c.Request().Body, 2*maxValueBytes)
	if err := json.NewDecoder(body).Decode(&in); err != nil || len(in.Spec) > 2*maxValueBytes {
		return in, echo.NewHTTPError(http.StatusRequestEntityTooLarge)
	}
	return in, nil
}

func keyOf(c echo.Context) objectKey {
	return objectKey{storer.Kind(c.Param("kind")), c.Param("name")}
}
