package responder

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
	"github.com/waxwingloom/waxwingloom/internal/route/placer"
)

// maxTokens bounds how many tokens one call may take.
const maxTokens = 1000

type (
	// LookupEntry is an entry VM in a look-up answer.
	LookupEntry struct {
		VM      namer.VM   `json:"vm"`
		Zone    namer.Zone `json:"zone"`
		Address string     `json:"address"`
	}

	// LookupAnswer is a look-up answer. TTL is in seconds.
	LookupAnswer struct {
		Service    namer.Service    `json:"service"`
		Generation namer.Generation `json:"generation"`
		TTL        float64          `json:"ttl"`
		Entries    []LookupEntry    `json:"entries"`
	}

	// TokensAnswer is fresh tokens and when they expire.
	TokensAnswer struct {
		Service namer.Service `json:"service"`
		Expiry  time.Time     `json:"expiry"`
		Tokens  []string      `json:"tokens"`
	}
)

// lookup answers which entry VMs to use. The answer holds nothing of one
// caller's own, since caches may share it.
func (r *Responder) lookup(c echo.Context) error {
	service := namer.Service(c.QueryParam("service"))
	caller := callerAddr(c.Request())
	p, known, ready := r.services.Placer.Place(service, caller)
	if !ready {
		return r.fail(c, http.StatusServiceUnavailable, notRun("not-ready", "no document from the platform or a peer yet"))
	}
	if !known {
		return r.fail(c, http.StatusNotFound, notRun("no-service", "no such service is in force"))
	}
	r.counts.Lookups.Add(1)
	r.log.LogAttrs(context.Background(), slog.LevelInfo, "placed",
		slog.String("service", string(service)),
		slog.Any("caller", caller),
		slog.String("home", string(p.Home)),
		slog.String("zone", string(p.Zone)),
		slog.String("reason", Why(&p)))
	if len(p.List()) == 0 {
		return r.fail(c, http.StatusServiceUnavailable, notRun("no-entry", "no entry VM can serve this service now"))
	}
	h := c.Response().Header()
	h.Set("Cache-Control", "max-age="+strconv.Itoa(int(p.TTL.Seconds())))
	return c.JSONBlob(http.StatusOK, appendLookup(make([]byte, 0, 512), &p))
}

// Why returns a placement's reason as the log and operators read it.
func Why(p *placer.Placement) string {
	if p.Detail == "" {
		return string(p.Reason)
	}
	return string(p.Reason) + ": " + p.Detail
}

// appendLookup encodes a LookupAnswer. Names and addresses come from checked
// text; quoting them keeps any of it from breaking the JSON.
func appendLookup(b []byte, p *placer.Placement) []byte {
	b = append(b, `{"service":`...)
	b = strconv.AppendQuote(b, string(p.Service))
	b = append(b, `,"generation":`...)
	b = strconv.AppendUint(b, uint64(p.Generation), 10)
	b = append(b, `,"ttl":`...)
	b = strconv.AppendFloat(b, p.TTL.Seconds(), 'f', -1, 64)
	b = append(b, `,"entries":[`...)
	for i, e := range p.List() {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"vm":`...)
		b = strconv.AppendQuote(b, string(e.VM))
		b = append(b, `,"zone":`...)
		b = strconv.AppendQuote(b, string(e.Zone))
		b = append(b, `,"address":`...)
		b = strconv.AppendQuote(b, e.Callers)
		b = append(b, '}')
	}
	return append(b, "]}\n"...)
}

// tokens mints tokens that this VM will own. They are never cached.
func (r *Responder) tokens(c echo.Context) error {
	c.Response().Header().Set("Cache-Control", "no-store")
	name := namer.Service(c.QueryParam("service"))
	count := 1
	if text := c.QueryParam("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxTokens {
			return r.fail(c, http.StatusBadRequest, notRun("bad-count", "count must be 1 to "+strconv.Itoa(maxTokens)))
		}
		count = n
	}
	force := r.services.Documents.Current()
	if force == nil || r.leaving.Load() {
		return r.fail(c, http.StatusServiceUnavailable, notRun("not-ready", "this entry VM mints no tokens now"))
	}
	service, ok := force.Document.Service(name)
	if !ok {
		return r.fail(c, http.StatusNotFound, notRun("no-service", "no such service is in force"))
	}
	ws := r.witnesses(service)
	minted, err := r.services.Tokens.Mint(count, r.life, name, ws)
	if err != nil {
		return r.fail(c, http.StatusServiceUnavailable, notRun("tokens-out", err.Error()))
	}
	answer := TokensAnswer{Service: name, Expiry: minted[0].Expiry}
	for _, t := range minted {
		answer.Tokens = append(answer.Tokens, t.Text())
	}
	r.counts.Tokens.Add(int64(count))
	r.log.Info("minted", "service", string(name), "count", count, "witnesses", len(ws))
	return c.JSON(http.StatusOK, answer)
}

// witnesses returns who may remember the intents of a service's tokens: the
// VMs that stand where the service asks, else any others of the region, else
// none.
func (r *Responder) witnesses(s parser.Service) []arbiter.Witness {
	var wanted, others []arbiter.Witness
	for _, m := range r.services.Members.Members() {
		if m.State != tracker.Alive || m.Region != r.self.Region || m.Incarnation.IsZero() {
			continue
		}
		w := arbiter.Witness{Incarnation: m.Incarnation, Peers: m.PeerAddress}
		if (m.Zone != r.self.Zone) == s.WitnessInOtherZone {
			wanted = append(wanted, w)
			continue
		}
		others = append(others, w)
	}
	if len(wanted) > 0 {
		return wanted
	}
	return others
}
