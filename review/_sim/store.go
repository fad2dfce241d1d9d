package main

import (
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath = "/waxwingloom/objects/"
	pageItems   = 500
	pageBytes   = 1 << 20
	maxWait     = 30 * time.Second
)

type (
	metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		CreatedAt  uint64   `json:"createdAt"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	}

	object struct {
		Metadata metadata        `json:"metadata"`
		Spec     json.RawMessage `json:"spec"`
		Status   json.RawMessage `json:"status"`
	}

	event struct {
		Object  object `json:"object"`
		Removed bool   `json:"removed"`
		kind    string
	}

	// store is a stand-in of the platform's metadata store, as PROTOCOL describes it.
	store struct {
		address string
		server  *http.Server

		mu       sync.Mutex
		revision uint64
		objects  map[string]map[string]object
		events   []event
		changed  chan struct{}
		// deaf is whether watches hear nothing, dropped the revision up to which the history is
		// gone, and cut is closed when waiting watches are cut off.
		deaf    bool
		dropped uint64
		cut     chan struct{}
		// answering is closed while the store answers.
		answering chan struct{}
	}
)

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{}), cut: make(chan struct{}), answering: make(chan struct{})}
	close(s.answering)
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// setDeaf makes watches hear nothing, or ends that: then the history is dropped, and the watches
// that wait are cut off.
func (s *store) setDeaf(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
	if !deaf {
		s.dropped = s.revision
		close(s.cut)
		s.cut = make(chan struct{})
	}
}

// setSilent makes the store answer nothing, or answer again.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent {
		s.answering = make(chan struct{})
	} else {
		close(s.answering)
	}
}

// awaitAnswering waits while the store is silent, and reports whether the caller is still there.
func (s *store) awaitAnswering(r *http.Request) bool {
	s.mu.Lock()
	answering := s.answering
	s.mu.Unlock()
	select {
	case <-answering:
		return true
	case <-r.Context().Done():
		return false
	}
}

// put writes an object and returns its revision. A write that changes nothing makes no event.
func (s *store) put(kind, name string, spec, status any) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, encode(spec), encode(status)).Metadata.Revision
}

func encode(v any) json.RawMessage {
	if raw, ok := v.(json.RawMessage); ok {
		return raw
	}
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

func (s *store) write(kind, name string, spec, status json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	old, known := s.objects[kind][name]
	if known && string(old.Spec) == string(spec) && string(old.Status) == string(status) {
		return old
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, CreatedAt: s.revision, Finalizers: []string{}}, Spec: spec, Status: status}
	if known {
		o.Metadata.CreatedAt = old.Metadata.CreatedAt
	}
	s.objects[kind][name] = o
	s.note(event{Object: o, kind: kind})
	return o
}

func (s *store) note(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	body, _ := io.ReadAll(r.Body)
	if !s.awaitAnswering(r) {
		panic(http.ErrAbortHandler)
	}
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	default:
		s.one(w, r, kind, name, in)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) one(w http.ResponseWriter, r *http.Request, kind, name string, in object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old, known := s.objects[kind][name]
	asked := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		asked, _ = strconv.ParseUint(q, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && known, r.Method != http.MethodGet && r.Method != http.MethodPost && known && asked != 0 && asked != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		reply(w, http.StatusCreated, s.write(kind, name, in.Spec, in.Status))
	case !known:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, old)
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.write(kind, name, in.Spec, old.Status))
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		old.Metadata.Revision = s.revision
		s.note(event{Object: old, Removed: true, kind: kind})
		reply(w, http.StatusOK, old)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items, size := []object{}, 0
	for _, name := range names {
		if len(items) > 0 && (len(items) == pageItems || size > pageBytes) {
			break
		}
		o := s.objects[kind][name]
		items, size = append(items, o), size+len(o.Spec)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": len(items) < len(names), "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		out := []event{}
		if since < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		for _, e := range s.events {
			if !s.deaf && e.kind == kind && e.Object.Metadata.Revision > since {
				out = append(out, e)
			}
		}
		revision, changed, cut := s.revision, s.changed, s.cut
		s.mu.Unlock()
		if len(out) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": out, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-timer.C:
			if !s.awaitAnswering(r) {
				panic(http.ErrAbortHandler)
			}
			reply(w, http.StatusOK, map[string]any{"events": out, "storeRevision": revision})
			return
		}
	}
}
