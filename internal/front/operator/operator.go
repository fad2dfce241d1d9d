// Package operator answers operators over HTTP: they edit their sections of
// the steering document and read back what is in force and why.
//
// # Usage
//
//	o := operator.New(self, services, owners, clock, log)
//	server := &http.Server{Handler: o.Handler()}
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"expvar"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/waxwingloom/waxwingloom/internal/document/editor"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/front/responder"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/member/tracker"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

type (
	// Editor accepts edits.
	Editor interface {
		Apply(ctx context.Context, edit editor.Edit) editor.Result
		Settle(ctx context.Context, id string) editor.Result
	}

	// Documents tells what is in force.
	Documents interface {
		Current() *keeper.Snapshot
		Stale() uint64
	}

	// Members tells which entry VMs are there.
	Members interface {
		Members() []tracker.Member
		Self() tracker.Member
	}

	// Services is what an operator's listener works with.
	Services struct {
		Editor    Editor
		Documents Documents
		Members   Members
		Placer    responder.Placer
		Metrics   *expvar.Map
	}

	// Operator answers operators.
	Operator struct {
		services Services
		owners   []loader.Owner
		clock    clockwork.Clock
		log      *slog.Logger
	}

	// SectionAnswer is a section's text in force.
	SectionAnswer struct {
		Section    parser.Section   `json:"section"`
		Generation namer.Generation `json:"generation"`
		Author     namer.Author     `json:"author"`
		Time       time.Time        `json:"time"`
		Text       string           `json:"text"`
	}

	// EditAnswer is how an edit ended.
	EditAnswer struct {
		Verdict    string           `json:"verdict"`
		Edit       string           `json:"edit"`
		Generation namer.Generation `json:"generation,omitempty"`
		Author     namer.Author     `json:"author,omitempty"`
		Problems   []string         `json:"problems,omitempty"`
		Reason     string           `json:"reason,omitempty"`
	}

	// ShowRow is one key in force.
	ShowRow struct {
		Section    parser.Section   `json:"section"`
		Entry      string           `json:"entry"`
		Key        string           `json:"key"`
		Value      string           `json:"value"`
		Default    bool             `json:"default"`
		Generation namer.Generation `json:"generation"`
		Author     namer.Author     `json:"author"`
		Time       time.Time        `json:"time"`
	}

	// StatusRow is one entry VM in view. Age is the time since it was heard,
	// in seconds.
	StatusRow struct {
		VM         namer.VM         `json:"vm"`
		Zone       namer.Zone       `json:"zone"`
		State      string           `json:"state"`
		Generation namer.Generation `json:"generation"`
		Age        float64          `json:"age"`
		Since      time.Time        `json:"since"`
	}

	// ExplainAnswer is a placement and its reason.
	ExplainAnswer struct {
		Service    namer.Service    `json:"service"`
		Caller     string           `json:"caller"`
		Generation namer.Generation `json:"generation"`
		Home       namer.Zone       `json:"home"`
		Zone       namer.Zone       `json:"zone"`
		Reason     string           `json:"reason"`
		Entries    []namer.VM       `json:"entries"`
	}

	failure struct {
		Code   string `json:"code"`
		Reason string `json:"reason"`
	}
)

// New returns an operator's listener.
func New(s Services, owners []loader.Owner, clock clockwork.Clock, log *slog.Logger) *Operator {
	return &Operator{services: s, owners: owners, clock: clock, log: log}
}

// Handler returns the HTTP handler.
func (o *Operator) Handler() http.Handler {
	e := echo.New()
	e.GET("/v1/sections/:section", o.section)
	e.PUT("/v1/sections/:section", o.apply)
	e.GET("/v1/edits/:id", o.settle)
	e.GET("/v1/show", o.show)
	e.GET("/v1/status", o.status)
	e.GET("/v1/history", o.history)
	e.GET("/v1/explain", o.explain)
	e.GET("/debug/vars", o.metrics)
	return e
}

func (o *Operator) section(c echo.Context) error {
	name := parser.Section(c.Param("section"))
	if !name.Valid() {
		return o.unknownSection(c, name)
	}
	force := o.services.Documents.Current()
	if force == nil {
		return o.notReady(c)
	}
	sec, _ := force.Head.Section(name)
	return c.JSON(http.StatusOK, SectionAnswer{
		Section:    name,
		Generation: sec.Edit.Generation,
		Author:     sec.Edit.Author,
		Time:       sec.Edit.Time,
		Text:       string(force.Sources.Text(name)),
	})
}

func (o *Operator) apply(c echo.Context) error {
	name := parser.Section(c.Param("section"))
	if !name.Valid() {
		return o.unknownSection(c, name)
	}
	owner, ok := o.owner(c.Request())
	if !ok {
		return c.JSON(http.StatusUnauthorized, failure{Code: "no-owner", Reason: "no operator has this token"})
	}
	if !slices.Contains(owner.Sections, string(name)) {
		reason := "operator " + string(owner.Name) + " may edit " + strings.Join(owner.Sections, ", ") + ", not " + string(name)
		return c.JSON(http.StatusForbidden, failure{Code: "not-owner", Reason: reason})
	}
	base, err := strconv.ParseUint(c.QueryParam("base"), 10, 64)
	if err != nil || c.QueryParam("edit") == "" {
		return c.JSON(http.StatusBadRequest, failure{Code: "bad-edit", Reason: "base and edit are needed"})
	}
	text, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, parser.MaxSectionBytes))
	if err != nil {
		reason := "the section is over " + strconv.Itoa(parser.MaxSectionBytes) + " bytes, or broke off"
		return c.JSON(http.StatusRequestEntityTooLarge, failure{Code: "too-large", Reason: reason})
	}
	edit := editor.Edit{
		ID: c.QueryParam("edit"), Section: name, Text: text, Author: owner.Name, BaseGeneration: namer.Generation(base),
	}
	result := o.services.Editor.Apply(c.Request().Context(), edit)
	o.log.Info("edit", "edit", edit.ID, "section", string(name), "author", string(owner.Name),
		"verdict", result.Verdict.String(), "generation", uint64(result.Edit.Generation), "reason", result.Reason)
	return c.JSON(editStatus(result.Verdict), answerOf(edit.ID, result))
}

func (o *Operator) settle(c echo.Context) error {
	result := o.services.Editor.Settle(c.Request().Context(), c.Param("id"))
	return c.JSON(editStatus(result.Verdict), answerOf(c.Param("id"), result))
}

func answerOf(id string, r editor.Result) EditAnswer {
	a := EditAnswer{
		Verdict: r.Verdict.String(), Edit: id, Generation: r.Edit.Generation, Author: r.Edit.Author, Reason: r.Reason,
	}
	for _, p := range r.Problems {
		a.Problems = append(a.Problems, p.Error())
	}
	return a
}

func editStatus(v editor.Verdict) int {
	switch v {
	case editor.Accepted:
		return http.StatusOK
	case editor.Conflict:
		return http.StatusConflict
	case editor.Invalid:
		return http.StatusUnprocessableEntity
	case editor.Unknown:
		return http.StatusGatewayTimeout
	case editor.Failed:
	}
	return http.StatusServiceUnavailable
}

func (o *Operator) show(c echo.Context) error {
	force := o.services.Documents.Current()
	if force == nil {
		return o.notReady(c)
	}
	var rows []ShowRow
	for _, e := range force.Document.Entries() {
		name := parser.Section(strings.TrimSuffix(e.File, ".ini"))
		sec, _ := force.Head.Section(name)
		for _, s := range e.Settings() {
			rows = append(rows, ShowRow{
				Section: name, Entry: e.Header(), Key: s.Key, Value: s.Value, Default: s.Default,
				Generation: sec.Edit.Generation, Author: sec.Edit.Author, Time: sec.Edit.Time,
			})
		}
	}
	return c.JSON(http.StatusOK, rows)
}

func (o *Operator) status(c echo.Context) error {
	now := o.clock.Now()
	self := o.services.Members.Self()
	rows := []StatusRow{statusRow(self, "alive", now)}
	if self.Leaving {
		rows[0].State = "leaving"
	}
	for _, m := range o.services.Members.Members() {
		rows = append(rows, statusRow(m, m.State.String(), now))
	}
	return c.JSON(http.StatusOK, rows)
}

func statusRow(m tracker.Member, state string, now time.Time) StatusRow {
	return StatusRow{
		VM: m.VM, Zone: m.Zone, State: state, Generation: m.Generation,
		Age: now.Sub(m.LastHeard).Seconds(), Since: m.Started.UTC(),
	}
}

func (o *Operator) history(c echo.Context) error {
	force := o.services.Documents.Current()
	if force == nil {
		return o.notReady(c)
	}
	return c.JSON(http.StatusOK, force.Head.Edits)
}

func (o *Operator) explain(c echo.Context) error {
	caller, err := netip.ParseAddr(c.QueryParam("caller"))
	if err != nil {
		return c.JSON(http.StatusBadRequest, failure{Code: "bad-caller", Reason: "caller must be an IP address"})
	}
	service := namer.Service(c.QueryParam("service"))
	p, known, ready := o.services.Placer.Place(service, caller)
	if !ready {
		return o.notReady(c)
	}
	if !known {
		return c.JSON(http.StatusNotFound, failure{Code: "no-service", Reason: "no such service is in force"})
	}
	answer := ExplainAnswer{
		Service: service, Caller: caller.String(), Generation: p.Generation,
		Home: p.Home, Zone: p.Zone, Reason: responder.Why(&p),
	}
	for _, e := range p.List() {
		answer.Entries = append(answer.Entries, e.VM)
	}
	return c.JSON(http.StatusOK, answer)
}

// metrics writes this daemon's own map, so that several daemons in one test
// process don't share the library's global one.
func (o *Operator) metrics(c echo.Context) error {
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(o.services.Metrics.String()))
}

// owner finds the operator whose token a request bears. Every hash is compared
// in constant time.
func (o *Operator) owner(req *http.Request) (loader.Owner, bool) {
	text, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return loader.Owner{}, false
	}
	sum := sha256.Sum256([]byte(text))
	got := []byte(hex.EncodeToString(sum[:]))
	var found loader.Owner
	matches := 0
	for _, owner := range o.owners {
		if subtle.ConstantTimeCompare(got, []byte(strings.ToLower(owner.Hash))) == 1 {
			found = owner
			matches++
		}
	}
	return found, matches == 1
}

func (o *Operator) unknownSection(c echo.Context, s parser.Section) error {
	reason := errors.Newf("no section %q; allowed: %v", string(s), parser.Sections()).Error()
	return c.JSON(http.StatusNotFound, failure{Code: "no-section", Reason: reason})
}

func (o *Operator) notReady(c echo.Context) error {
	return c.JSON(http.StatusServiceUnavailable, failure{Code: "not-ready", Reason: "no document from the platform or a peer yet"})
}
