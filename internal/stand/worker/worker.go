// Package worker is a test double of an upstream. It keeps a journal of the
// requests that it ran and counts those that came beyond its slots. Faults can be
// injected: it can be slow, be cold after its start, refuse requests, break off
// responses, close a connection after it has run the request, and report a false
// health and load.
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

// The request headers that the worker reads: the caller's name for the request,
// which it returns, the weight of the request, and the name under which a
// once-only request is put into the journal.
const (
	IDHeader     = "X-Request"
	WeightHeader = "X-Weight"
	OrderHeader  = "X-Order"
)

// minSamples is how many of the latest changes of the load are kept at least.
const minSamples = 1000

// The values of Faults.Lie: the true load, always 0, always all slots, or no
// response at all. LieSilent also holds for the health endpoint.
const (
	LieNone   = ""
	LieZero   = "zero"
	LieFull   = "full"
	LieSilent = "silent"
)

type (
	// Limits is the worker's capacity and speed. A request takes the time Work.
	// Right after the start it takes 1+Cold times as long; the additional time
	// falls to 0 over the time Warm.
	Limits struct {
		Slots int64
		Work  time.Duration
		Cold  float64
		Warm  time.Duration
	}

	// Faults are the injected faults. They hold until they are set again. The
	// fields are the JSON keys of the control endpoint.
	Faults struct {
		// Work replaces the processing time unless it is 0.
		Work time.Duration
		// Slow is a factor on the processing time unless it is 0.
		Slow float64
		// Shed is the percentage of requests that are refused without being run.
		Shed int
		// CloseAfterRead is the number of following requests that are read and
		// run, but whose connection is then closed without a response.
		CloseAfterRead int
		// Cut is the number of following responses that are broken off in the
		// middle of the body.
		Cut int
		// HoldRun and HoldHalf are path prefixes. A request under HoldRun is run
		// and its response is then held until the faults are set again. For one
		// under HoldHalf, the second half of the response body is held.
		HoldRun  string
		HoldHalf string
		// Lag is the age of the load that the load endpoint reports.
		Lag time.Duration
		// Lie makes the load endpoint report a false load; see LieZero.
		Lie string
		// Drain refuses all requests and fails the health check.
		Drain bool
	}

	// JournalEntry is a once-only request that was run, by the name that its
	// caller gave it.
	JournalEntry struct {
		Order string
		At    time.Time
	}

	// Stats counts requests. InFlight, MostUsed and Slots are weights; OverSlots
	// counts the requests that came when the slots did not suffice.
	Stats struct {
		Ran       int
		Refused   int
		InFlight  int64
		MostUsed  int64
		Slots     int64
		OverSlots int
		// LastWork is the time at which a request was last accepted.
		LastWork time.Time
	}

	// Echo is the response body. It names the upstream and the request and has
	// a digest of the request body, so that a caller notices a response that
	// belongs to another request.
	Echo struct {
		Upstream string `json:"upstream"`
		ID       string `json:"id"`
		Path     string `json:"path"`
		Digest   string `json:"digest"`
		Fill     string `json:"fill"`
	}

	// load is the response body of the load endpoint.
	load struct {
		Used  int64 `json:"used"`
		Slots int64 `json:"slots"`
	}

	// Worker is the test double of an upstream.
	Worker struct {
		name      string
		limits    Limits
		clock     clockwork.Clock
		startedAt time.Time

		mu            sync.Mutex
		faults        Faults
		stats         Stats
		journal       []JournalEntry
		received      int
		faultsChanged chan struct{}
		loadSamples   []loadSample
	}

	// loadSample is the weight in flight from a time on.
	loadSample struct {
		at   time.Time
		used int64
	}
)

// New returns a worker without faults and with an empty journal.
func New(name string, limits Limits, clock clockwork.Clock) *Worker {
	return &Worker{name: name, limits: limits, clock: clock, startedAt: clock.Now(), stats: Stats{Slots: limits.Slots}, faultsChanged: make(chan struct{})}
}

// Handler serves the upstream's requests on all paths but /health, /load, and the
// control endpoints under /stand.
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

// Digest returns the first 8 bytes of a body's SHA-256 in hex.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// SetFaults replaces the faults and releases all held responses.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	close(w.faultsChanged)
	w.faultsChanged = make(chan struct{})
}

// Stats returns the counts since the start.
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
	duration, faults, ok := w.beginRequest(c.Request().Header.Get(OrderHeader), weight)
	if !ok {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	w.clock.Sleep(duration)
	w.hold(c, faults.HoldRun)
	w.endRequest(weight)
	if faults.CloseAfterRead > 0 {
		panic(http.ErrAbortHandler)
	}
	response := Echo{
		Upstream: w.name,
		ID:       c.Request().Header.Get(IDHeader),
		Path:     c.Request().URL.RequestURI(),
		Digest:   Digest(body),
		Fill:     strings.Repeat("x", paddingBytes(c)),
	}
	if faults.Cut > 0 {
		c.Response().Header().Set("Content-Length", "1000000")
		c.Response().WriteHeader(http.StatusOK)
		_, _ = c.Response().Write([]byte(`{"upstream":"`))
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	if hasPrefix(c, faults.HoldHalf) {
		return w.respondInHalves(c, response)
	}
	return c.JSON(http.StatusOK, response)
}

// respondInHalves sends the first half of a response body, and the second one
// when the faults are set again.
func (w *Worker) respondInHalves(c echo.Context, response Echo) error {
	raw, err := json.Marshal(response)
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

// hold waits until the faults are set again if the request's path has the prefix.
// It waits even after the caller has disconnected, as an upstream that has begun
// a request also keeps on with it.
func (w *Worker) hold(c echo.Context, prefix string) {
	if !hasPrefix(c, prefix) {
		return
	}
	w.mu.Lock()
	faultsChanged := w.faultsChanged
	w.mu.Unlock()
	<-faultsChanged
}

func hasPrefix(c echo.Context, prefix string) bool {
	return prefix != "" && strings.HasPrefix(c.Request().URL.Path, prefix)
}

// beginRequest refuses a request or puts it into the journal, and returns its
// processing time and the faults that apply to it. A request beyond the slots is
// run as well, but counted, since it shows that the daemons overload the
// upstream.
func (w *Worker) beginRequest(order string, weight int64) (time.Duration, Faults, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received++
	applied := w.faults
	if w.faults.Drain || w.received%100 < w.faults.Shed {
		w.stats.Refused++
		return 0, applied, false
	}
	w.faults.CloseAfterRead = max(0, w.faults.CloseAfterRead-1)
	w.faults.Cut = max(0, w.faults.Cut-1)
	w.stats.InFlight += weight
	w.recordLoad()
	w.stats.MostUsed = max(w.stats.MostUsed, w.stats.InFlight)
	if w.stats.InFlight > w.limits.Slots {
		w.stats.OverSlots++
	}
	w.stats.Ran++
	w.stats.LastWork = w.clock.Now()
	if order != "" {
		w.journal = append(w.journal, JournalEntry{Order: order, At: w.stats.LastWork})
	}
	return w.processingTime(applied), applied, true
}

func (w *Worker) processingTime(f Faults) time.Duration {
	duration := float64(w.limits.Work)
	if f.Work > 0 {
		duration = float64(f.Work)
	}
	if f.Slow > 0 {
		duration *= f.Slow
	}
	if age := w.clock.Since(w.startedAt); age < w.limits.Warm {
		duration *= 1 + w.limits.Cold*(1-age.Seconds()/w.limits.Warm.Seconds())
	}
	return time.Duration(duration)
}

func (w *Worker) endRequest(weight int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.InFlight -= weight
	w.recordLoad()
}

// recordLoad keeps the weight in flight, for a load endpoint that lags.
func (w *Worker) recordLoad() {
	w.loadSamples = append(w.loadSamples, loadSample{at: w.clock.Now(), used: w.stats.InFlight})
	if len(w.loadSamples) > 2*minSamples {
		w.loadSamples = append([]loadSample{}, w.loadSamples[minSamples:]...)
	}
}

// usedAt returns the weight that was in flight at a time. The caller holds mu.
func (w *Worker) usedAt(at time.Time) int64 {
	used := int64(0)
	for _, s := range w.loadSamples {
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

// paddingBytes returns the size of the padding that the caller wants in the
// response, at most 4 MiB.
func paddingBytes(c echo.Context) int {
	n, err := strconv.Atoi(c.QueryParam("fill"))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, 4<<20)
}
