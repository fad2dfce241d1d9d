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

// maxTokensPerCall is the maximum number of tokens that one request may ask for.
const maxTokensPerCall = 1000

type (
	// LookupEntry is an entry VM in a look-up response.
	LookupEntry struct {
		VM      namer.VM   `json:"vm"`
		Zone    namer.Zone `json:"zone"`
		Address string     `json:"address"`
	}

	// LookupResponse is the response to a look-up. TTL is in seconds.
	LookupResponse struct {
		Service    namer.Service    `json:"service"`
		Generation namer.Generation `json:"generation"`
		TTL        float64          `json:"ttl"`
		Entries    []LookupEntry    `json:"entries"`
	}

	// TokensResponse holds newly minted tokens and their expiry.
	TokensResponse struct {
		Service namer.Service `json:"service"`
		Expiry  time.Time     `json:"expiry"`
		Tokens  []string      `json:"tokens"`
	}
)

// lookup returns the entry VMs that a caller should use for a service. Shared
// caches may keep the response, so it holds no data about the caller.
func (r *Responder) lookup(c echo.Context) error {
	service := namer.Service(c.QueryParam("service"))
	caller := callerAddr(c.Request())
	p, known, ready := r.deps.Placer.Lookup(service, caller)
	if !ready {
		return r.writeFailure(c, http.StatusServiceUnavailable, notRun("not-ready", "no document from the platform or a peer yet"))
	}
	if !known {
		return r.writeFailure(c, http.StatusNotFound, notRun("no-service", "no such service is in force"))
	}
	r.counts.Lookups.Add(1)
	r.log.LogAttrs(context.Background(), slog.LevelInfo, "placed",
		slog.String("service", string(service)),
		slog.Any("caller", caller),
		slog.String("home", string(p.Home)),
		slog.String("zone", string(p.Zone)),
		slog.String("reason", ReasonText(&p)))
	if len(p.Entries()) == 0 {
		return r.writeFailure(c, http.StatusServiceUnavailable, notRun("no-entry", "no entry VM can serve this service now"))
	}
	h := c.Response().Header()
	h.Set("Cache-Control", "max-age="+strconv.Itoa(int(p.TTL.Seconds())))
	return c.JSONBlob(http.StatusOK, appendLookup(make([]byte, 0, 512), &p))
}

// ReasonText returns a placement's reason and detail, for the log and for operators.
func ReasonText(p *placer.Result) string {
	if p.Detail == "" {
		return string(p.Reason)
	}
	return string(p.Reason) + ": " + p.Detail
}

// appendLookup appends the JSON encoding of a LookupResponse. Names and addresses
// come from validated text; they are quoted as well, so that none can break the JSON.
func appendLookup(b []byte, p *placer.Result) []byte {
	b = append(b, `{"service":`...)
	b = strconv.AppendQuote(b, string(p.Service))
	b = append(b, `,"generation":`...)
	b = strconv.AppendUint(b, uint64(p.Generation), 10)
	b = append(b, `,"ttl":`...)
	b = strconv.AppendFloat(b, p.TTL.Seconds(), 'f', -1, 64)
	b = append(b, `,"entries":[`...)
	for i, e := range p.Entries() {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"vm":`...)
		b = strconv.AppendQuote(b, string(e.VM))
		b = append(b, `,"zone":`...)
		b = strconv.AppendQuote(b, string(e.Zone))
		b = append(b, `,"address":`...)
		b = strconv.AppendQuote(b, e.CallerAddress)
		b = append(b, '}')
	}
	return append(b, "]}\n"...)
}

// tokens mints tokens that this VM will own. The response must not be cached, or
// two callers would get the same tokens.
func (r *Responder) tokens(c echo.Context) error {
	c.Response().Header().Set("Cache-Control", "no-store")
	name := namer.Service(c.QueryParam("service"))
	count := 1
	if text := c.QueryParam("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxTokensPerCall {
			return r.writeFailure(c, http.StatusBadRequest, notRun("bad-count", "count must be 1 to "+strconv.Itoa(maxTokensPerCall)))
		}
		count = n
	}
	current := r.deps.Documents.Current()
	if current == nil || r.shuttingDown.Load() {
		return r.writeFailure(c, http.StatusServiceUnavailable, notRun("not-ready", "this entry VM mints no tokens now"))
	}
	service, ok := current.Document.Service(name)
	if !ok {
		return r.writeFailure(c, http.StatusNotFound, notRun("no-service", "no such service is in force"))
	}
	ws := r.witnesses(service)
	minted, err := r.deps.Tokens.Mint(count, r.tokenTTL, name, ws)
	if err != nil {
		return r.writeFailure(c, http.StatusServiceUnavailable, notRun("tokens-out", err.Error()))
	}
	response := TokensResponse{Service: name, Expiry: minted[0].Expiry}
	for _, t := range minted {
		response.Tokens = append(response.Tokens, t.Text())
	}
	r.counts.Tokens.Add(int64(count))
	r.log.Info("minted", "service", string(name), "count", count, "witnesses", len(ws))
	return c.JSON(http.StatusOK, response)
}

// witnesses returns the VMs that may record the intents of a service's tokens: those
// of the region in the same zone or in other zones, as the service's settings ask. If
// there are none, it returns the other VMs of the region, which may be none too.
func (r *Responder) witnesses(s parser.Service) []arbiter.WitnessPeer {
	var preferred, others []arbiter.WitnessPeer
	for _, m := range r.deps.Members.Members() {
		if m.State != tracker.Alive || m.Region != r.self.Region || m.Incarnation.IsZero() {
			continue
		}
		w := arbiter.WitnessPeer{Incarnation: m.Incarnation, PeerAddress: m.PeerAddress}
		if (m.Zone != r.self.Zone) == s.WitnessInOtherZone {
			preferred = append(preferred, w)
			continue
		}
		others = append(others, w)
	}
	if len(preferred) > 0 {
		return preferred
	}
	return others
}
