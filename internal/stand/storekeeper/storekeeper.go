// Package storekeeper is a small stand-in for the platform's object API:
// values with versions, conditional updates, watches, and a list of live and
// leaving VMs that lags. It counts every call and can be slow, be away, lose
// an answer after the write took effect, or go back to an older copy.
//
// # Usage
//
//	s := storekeeper.New(clock)
//	server := &http.Server{Handler: s.Handler()}
package storekeeper

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
)

// maxValue is the platform's bound on one value.
const maxValue = 1 << 20

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

		mu      sync.Mutex
		objects map[string]object
		changed chan struct{}
		faults  Faults
		counts  Counts
		lists   []listed
		saved   map[string]object
	}

	object struct {
		body    []byte
		version storer.Version
	}

	listed struct {
		at  time.Time
		vms []storer.ListedVM
	}
)

// New returns an empty platform.
func New(clock clockwork.Clock) *Storekeeper {
	return &Storekeeper{clock: clock, objects: make(map[string]object), changed: make(chan struct{})}
}

// Handler returns the object API, and under /stand the controls.
func (s *Storekeeper) Handler() http.Handler {
	e := echo.New()
	e.GET("/v1/objects/:key", s.get, s.disturb)
	e.PUT("/v1/objects/:key", s.put, s.disturb)
	e.GET("/v1/vms", s.vms, s.disturb)
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
	key := keyOf(c)
	above, watch := uintParam(c, "above")
	wait, _ := time.ParseDuration(c.QueryParam("wait"))
	s.mu.Lock()
	if watch {
		s.counts.Watches++
	} else {
		s.counts.Reads++
	}
	s.mu.Unlock()
	deadline := s.clock.After(wait)
	for {
		s.mu.Lock()
		obj, ok := s.objects[key]
		changed := s.changed
		outage := s.faults.Outage
		s.mu.Unlock()
		if outage {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		// A version below the one that a watcher has seen is news as well: the
		// platform was restored from an older copy.
		if !watch || (ok && uint64(obj.version) != above) {
			return answer(c, obj, ok)
		}
		select {
		case <-changed:
		case <-deadline:
			return answer(c, obj, ok)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func answer(c echo.Context, obj object, ok bool) error {
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	c.Response().Header().Set(storer.VersionHeader, strconv.FormatUint(uint64(obj.version), 10))
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, obj.body)
}

func (s *Storekeeper) put(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxValue))
	if err != nil {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	want, _ := uintParam(c, "version")
	key := keyOf(c)
	s.mu.Lock()
	s.counts.Writes++
	obj := s.objects[key]
	if uint64(obj.version) != want {
		s.mu.Unlock()
		return c.NoContent(http.StatusPreconditionFailed)
	}
	obj = object{body: body, version: obj.version + 1}
	s.objects[key] = obj
	lost := s.faults.LoseWrites > 0
	if lost {
		s.faults.LoseWrites--
	}
	s.wake()
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	c.Response().Header().Set(storer.VersionHeader, strconv.FormatUint(uint64(obj.version), 10))
	return c.NoContent(http.StatusOK)
}

func (s *Storekeeper) vms(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Lists++
	seen := []storer.ListedVM{}
	for _, l := range s.lists {
		if s.clock.Since(l.at) >= s.faults.ListLag {
			seen = l.vms
		}
	}
	return c.JSON(http.StatusOK, seen)
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
	s.saved = make(map[string]object, len(s.objects))
	for key, obj := range s.objects {
		s.saved[key] = obj
	}
	return c.NoContent(http.StatusOK)
}

func (s *Storekeeper) restore(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = make(map[string]object, len(s.saved))
	for key, obj := range s.saved {
		s.objects[key] = obj
	}
	s.wake()
	return c.NoContent(http.StatusOK)
}

// wake lets every watcher look again.
func (s *Storekeeper) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func keyOf(c echo.Context) string {
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil {
		return c.Param("key")
	}
	return key
}

func uintParam(c echo.Context, name string) (uint64, bool) {
	n, err := strconv.ParseUint(c.QueryParam(name), 10, 64)
	return n, err == nil
}
