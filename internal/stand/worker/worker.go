// Package worker is a small stand-in for an upstream. It runs a bounded amount
// of weight at once, keeps a journal of what it ran, and can be slow, cold,
// shed work, break off answers, close a connection after it has read a
// request, and lie about its health and load.
//
// # Usage
//
//	w := worker.New("bd-01", worker.Limits{Slots: 6, Work: 5 * time.Millisecond}, clock)
//	server := &http.Server{Handler: w.Handler()}
package worker

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
)

// The headers that callers and workers agree on.
const (
	IDHeader     = "X-Request"
	WeightHeader = "X-Weight"
	OrderHeader  = "X-Order"
)

// samplesMost is how many changes of the load are kept at the least.
const samplesMost = 1000

// The lies of a health or load endpoint.
const (
	LieNone = ""
	LieZero   = "zero"
	LieFull   = "full"
	LieSilent = "silent"
)

type (
	// Limits is what the worker can do. Cold is how much longer its first
	// answers take, over the time Warm.
	Limits struct {
		Slots int64
		Work  time.Duration
		Cold  float64
		Warm  time.Duration
	}

	// Faults is what goes wrong from now on.
	Faults struct {
		// Work replaces the time that work takes, when it is not 0.
		Work time.Duration
		// Slow multiplies the time that work takes.
		Slow float64
		// Shed refuses this part of requests, in percent, before running them.
		Shed int
		// CloseAfterRead closes the connection when a request has been read
		// and run, for this many requests.
		CloseAfterRead int
		// Cut breaks off this many answers in the middle.
		Cut int
		// HoldRun and HoldHalf are prefixes of paths. A request under the first
		// is run and then held before its answer, one under the second in the
		// middle of it, until the faults are set again.
		HoldRun  string
		HoldHalf string
		// Lag is how old the load is that the load endpoint tells.
		Lag time.Duration
		// Lie is what the load endpoint tells.
		Lie string
		// Drain refuses everything.
		Drain bool
	}

	// JournalEntry is one request that was run, by the caller's name for it.
	JournalEntry struct {
		Order string
		At    time.Time
	}

	// Stats is what the worker saw.
	Stats struct {
		Ran       int
		Refused   int
		InFlight  int64
		MostUsed  int64
		Slots     int64
		OverSlots int
		// LastWork is when work last began.
		LastWork time.Time
	}

	// Echo is the worker's answer: whose it is, and a digest of what was
	// asked, so that a caller can tell it from any other.
	Echo struct {
		Upstream string `json:"upstream"`
		ID       string `json:"id"`
		Path     string `json:"path"`
		Digest   string `json:"digest"`
		Fill     string `json:"fill"`
	}

	// load is what the load endpoint tells, true or not.
	load struct {
		Used  int64 `json:"used"`
		Slots int64 `json:"slots"`
	}

	// Worker is the stand-in.
	Worker struct {
		name   string
		limits Limits
		clock  clockwork.Clock
		born   time.Time

		mu      sync.Mutex
		faults  Faults
		stats   Stats
		journal []JournalEntry
		seen    int
		changed chan struct{}
		loads   []sample
	}

	// sample is the weight in flight from a time on.
	sample struct {
		at   time.Time
		used int64
	}
)

// New returns a worker that has not run anything.
func New(name string, limits Limits, clock clockwork.Clock) *Worker {
	return &Worker{name: name, limits: limits, clock: clock, born: clock.Now(), stats: Stats{Slots: limits.Slots}, changed: make(chan struct{})}
}

// Handler returns the upstream's service, and under /stand the controls.
func (w *Worker) Handler() http.Handler {
	e := echo.New()
	e.GET("/health", w.health)
	e.GET("/load", w.load)
	e.PUT("/stand/faults", w.setFaults)
	e.GET("/stand/journal", w.getJournal)
	e.GET("/stand/stats", w.getStats)
	e.Any("/*", w.serve)
	return e
}

// Digest returns what identifies a body in an answer.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// SetFaults changes what goes wrong, and lets go what is held.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	close(w.changed)
	w.changed = make(chan struct{})
}

// Stats returns what the worker saw.
func (w *Worker) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

func (w *Worker) serve(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	weight, _ := strconv.ParseInt(c.Request().Header.Get(WeightHeader), 10, 64)
	weight = max(weight, 1)
	work, faults, ok := w.begin(c.Request().Header.Get(OrderHeader), weight)
	if !ok {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	w.clock.Sleep(work)
	w.hold(c, faults.HoldRun)
	w.end(weight)
	if faults.CloseAfterRead > 0 {
		panic(http.ErrAbortHandler)
	}
	answer := Echo{
		Upstream: w.name,
		ID:       c.Request().Header.Get(IDHeader),
		Path:     c.Request().URL.RequestURI(),
		Digest:   Digest(body),
		Fill:     strings.Repeat("x", fillBytes(c)),
	}
	if faults.Cut > 0 {
		c.Response().Header().Set("Content-Length", "1000000")
		c.Response().WriteHeader(http.StatusOK)
		_, _ = c.Response().Write([]byte(`{"upstream":"`))
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	if holds(c, faults.HoldHalf) {
		return w.halves(c, answer)
	}
	return c.JSON(http.StatusOK, answer)
}

// halves sends an answer in two parts and holds between them.
func (w *Worker) halves(c echo.Context, answer Echo) error {
	raw, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	c.Response().WriteHeader(http.StatusOK)
	_, _ = c.Response().Write(raw[:len(raw)/2])
	c.Response().Flush()
	w.hold(c, c.Request().URL.Path)
	_, err = c.Response().Write(raw[len(raw)/2:])
	return err
}

// hold waits until the faults are set again, for requests under a prefix. It
// goes on when the connection is gone, as work that was begun does.
func (w *Worker) hold(c echo.Context, prefix string) {
	if !holds(c, prefix) {
		return
	}
	w.mu.Lock()
	changed := w.changed
	w.mu.Unlock()
	<-changed
}

func holds(c echo.Context, prefix string) bool {
	return prefix != "" && strings.HasPrefix(c.Request().URL.Path, prefix)
}

// begin admits and journals a request, and returns how long it takes and what
// goes wrong with it. Work beyond the slots is run as well, and noted: it
// shows that whoever steers has overloaded the upstream.
func (w *Worker) begin(order string, weight int64) (time.Duration, Faults, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen++
	hit := w.faults
	if w.faults.Drain || w.seen%100 < w.faults.Shed {
		w.stats.Refused++
		return 0, hit, false
	}
	w.faults.CloseAfterRead = max(0, w.faults.CloseAfterRead-1)
	w.faults.Cut = max(0, w.faults.Cut-1)
	w.stats.InFlight += weight
	w.sample()
	w.stats.MostUsed = max(w.stats.MostUsed, w.stats.InFlight)
	if w.stats.InFlight > w.limits.Slots {
		w.stats.OverSlots++
	}
	w.stats.Ran++
	w.stats.LastWork = w.clock.Now()
	if order != "" {
		w.journal = append(w.journal, JournalEntry{Order: order, At: w.stats.LastWork})
	}
	return w.work(hit), hit, true
}

func (w *Worker) work(f Faults) time.Duration {
	work := float64(w.limits.Work)
	if f.Work > 0 {
		work = float64(f.Work)
	}
	if f.Slow > 0 {
		work *= f.Slow
	}
	if age := w.clock.Since(w.born); age < w.limits.Warm {
		work *= 1 + w.limits.Cold*(1-age.Seconds()/w.limits.Warm.Seconds())
	}
	return time.Duration(work)
}

func (w *Worker) end(weight int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.InFlight -= weight
	w.sample()
}

// sample notes the weight in flight, for a load endpoint that lags.
func (w *Worker) sample() {
	w.loads = append(w.loads, sample{at: w.clock.Now(), used: w.stats.InFlight})
	if len(w.loads) > 2*samplesMost {
		w.loads = append([]sample{}, w.loads[samplesMost:]...)
	}
}

// usedAt returns the weight that was in flight at a time.
func (w *Worker) usedAt(at time.Time) int64 {
	used := int64(0)
	for _, s := range w.loads {
		if s.at.After(at) {
			break
		}
		used = s.used
	}
	return used
}

func (w *Worker) health(c echo.Context) error {
	w.mu.Lock()
	f := w.faults
	w.mu.Unlock()
	if f.Lie == LieSilent {
		<-c.Request().Context().Done()
		return nil
	}
	if f.Drain {
		return c.String(http.StatusServiceUnavailable, "draining\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

func (w *Worker) load(c echo.Context) error {
	w.mu.Lock()
	used := w.usedAt(w.clock.Now().Add(-w.faults.Lag))
	lie := w.faults.Lie
	w.mu.Unlock()
	switch lie {
	case LieZero:
		used = 0
	case LieFull:
		used = w.limits.Slots
	case LieSilent:
		<-c.Request().Context().Done()
		return nil
	}
	return c.JSON(http.StatusOK, load{Used: used, Slots: w.limits.Slots})
}

func (w *Worker) setFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	w.SetFaults(f)
	return c.NoContent(http.StatusOK)
}

func (w *Worker) getJournal(c echo.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.JSON(http.StatusOK, append([]JournalEntry{}, w.journal...))
}

func (w *Worker) getStats(c echo.Context) error {
	return c.JSON(http.StatusOK, w.Stats())
}

// fillBytes is the size of the answer that the caller asks for.
func fillBytes(c echo.Context) int {
	n, err := strconv.Atoi(c.QueryParam("fill"))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, 4<<20)
}
