// Package operator implements operators' HTTP API: edits of the sections of the
// steering document that an operator owns, and queries about the current document,
// the entry VMs and placements.
//
// # Usage
//
//	o := operator.New(deps, operators, clock, log)
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
	// Editor applies edits to the steering document. CheckOutcome reports whether an
	// edit whose result was lost was accepted.
	Editor interface {
		Apply(ctx context.Context, edit editor.Edit) editor.Result
		CheckOutcome(ctx context.Context, id string) editor.Result
	}

	// DocumentSource returns the current steering document, nil before the first.
	// StaleOffers counts the times that the platform offered a lower generation.
	DocumentSource interface {
		Current() *keeper.Snapshot
		StaleOffers() uint64
	}

	// MemberLister lists the other entry VMs that this VM knows, and this VM itself.
	MemberLister interface {
		Members() []tracker.Member
		Self() tracker.Member
	}

	// Dependencies are the services that an Operator calls.
	Dependencies struct {
		Editor    Editor
		Documents DocumentSource
		Members   MemberLister
		Placer    responder.Placer
		Metrics   *expvar.Map
	}

	// Operator handles operators' requests.
	Operator struct {
		deps      Dependencies
		operators []loader.Operator
		clock     clockwork.Clock
		log       *slog.Logger
	}

	// SectionResponse is the current text of a section and the edit that set it.
	SectionResponse struct {
		Section    parser.Section   `json:"section"`
		Generation namer.Generation `json:"generation"`
		Author     namer.Author     `json:"author"`
		Time       time.Time        `json:"time"`
		Text       string           `json:"text"`
	}

	// EditResponse is the result of an edit.
	EditResponse struct {
		Verdict    string           `json:"verdict"`
		Edit       string           `json:"edit"`
		Generation namer.Generation `json:"generation,omitempty"`
		Author     namer.Author     `json:"author,omitempty"`
		Problems   []string         `json:"problems,omitempty"`
		Reason     string           `json:"reason,omitempty"`
	}

	// ShowRow is the value of one key of the current document. Default is true if the
	// document doesn't set it.
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

	// StatusRow is the state of one entry VM. Age is the time in seconds since it was
	// last known to run, Since the time when its process started.
	StatusRow struct {
		VM         namer.VM         `json:"vm"`
		Zone       namer.Zone       `json:"zone"`
		State      string           `json:"state"`
		Generation namer.Generation `json:"generation"`
		Age        float64          `json:"age"`
		Since      time.Time        `json:"since"`
	}

	// ExplainResponse is the placement of a caller for a service, with its reason.
	ExplainResponse struct {
		Service    namer.Service    `json:"service"`
		Caller     string           `json:"caller"`
		Generation namer.Generation `json:"generation"`
		Home       namer.Zone       `json:"home"`
		Zone       namer.Zone       `json:"zone"`
		Reason     string           `json:"reason"`
		Entries    []namer.VM       `json:"entries"`
	}

	// errorBody is the JSON body of an error response.
	errorBody struct {
		Code   string `json:"code"`
		Reason string `json:"reason"`
	}
)

// New returns an Operator.
func New(deps Dependencies, operators []loader.Operator, clock clockwork.Clock, log *slog.Logger) *Operator {
	return &Operator{deps: deps, operators: operators, clock: clock, log: log}
}

// Handler returns the HTTP handler.
func (o *Operator) Handler() http.Handler {
	e := echo.New()
	e.GET("/v1/sections/:section", o.getSection)
	e.PUT("/v1/sections/:section", o.applyEdit)
	e.GET("/v1/edits/:id", o.getEdit)
	e.GET("/v1/show", o.show)
	e.GET("/v1/status", o.status)
	e.GET("/v1/history", o.history)
	e.GET("/v1/explain", o.explain)
	e.GET("/debug/vars", o.metrics)
	return e
}

func (o *Operator) getSection(c echo.Context) error {
	name := parser.Section(c.Param("section"))
	if !name.Valid() {
		return o.writeUnknownSection(c, name)
	}
	current := o.deps.Documents.Current()
	if current == nil {
		return o.writeNotReady(c)
	}
	sec, _ := current.Head.Section(name)
	return c.JSON(http.StatusOK, SectionResponse{
		Section:    name,
		Generation: sec.Edit.Generation,
		Author:     sec.Edit.Author,
		Time:       sec.Edit.Time,
		Text:       string(current.Sources.Text(name)),
	})
}

func (o *Operator) applyEdit(c echo.Context) error {
	name := parser.Section(c.Param("section"))
	if !name.Valid() {
		return o.writeUnknownSection(c, name)
	}
	op, ok := o.authenticate(c.Request())
	if !ok {
		return c.JSON(http.StatusUnauthorized, errorBody{Code: "no-owner", Reason: "no operator has this token"})
	}
	if !slices.Contains(op.Sections, string(name)) {
		reason := "operator " + string(op.Name) + " may edit " + strings.Join(op.Sections, ", ") + ", not " + string(name)
		return c.JSON(http.StatusForbidden, errorBody{Code: "not-owner", Reason: reason})
	}
	base, err := strconv.ParseUint(c.QueryParam("base"), 10, 64)
	if err != nil || c.QueryParam("edit") == "" {
		return c.JSON(http.StatusBadRequest, errorBody{Code: "bad-edit", Reason: "base and edit are needed"})
	}
	text, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, parser.MaxSectionBytes))
	if err != nil {
		reason := "the section is over " + strconv.Itoa(parser.MaxSectionBytes) + " bytes, or broke off"
		return c.JSON(http.StatusRequestEntityTooLarge, errorBody{Code: "too-large", Reason: reason})
	}
	edit := editor.Edit{
		ID: c.QueryParam("edit"), Section: name, Text: text, Author: op.Name, BaseGeneration: namer.Generation(base),
	}
	result := o.deps.Editor.Apply(c.Request().Context(), edit)
	o.log.Info("edit", "edit", edit.ID, "section", string(name), "author", string(op.Name),
		"verdict", result.Verdict.String(), "generation", uint64(result.Edit.Generation), "reason", result.Reason)
	return c.JSON(editStatus(result.Verdict), editResponseFrom(edit.ID, result))
}

func (o *Operator) getEdit(c echo.Context) error {
	result := o.deps.Editor.CheckOutcome(c.Request().Context(), c.Param("id"))
	return c.JSON(editStatus(result.Verdict), editResponseFrom(c.Param("id"), result))
}

// editResponseFrom converts an editor's result.
func editResponseFrom(id string, result editor.Result) EditResponse {
	response := EditResponse{
		Verdict: result.Verdict.String(), Edit: id, Generation: result.Edit.Generation, Author: result.Edit.Author, Reason: result.Reason,
	}
	for _, p := range result.Problems {
		response.Problems = append(response.Problems, p.Error())
	}
	return response
}

// editStatus returns the HTTP status of a verdict.
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
	current := o.deps.Documents.Current()
	if current == nil {
		return o.writeNotReady(c)
	}
	var rows []ShowRow
	for _, e := range current.Document.Entries() {
		name := parser.Section(strings.TrimSuffix(e.File, ".ini"))
		sec, _ := current.Head.Section(name)
		for _, s := range e.Settings() {
			rows = append(rows, ShowRow{
				Section: name, Entry: e.Header(), Key: s.Key, Value: shownValue(e.Kind, s.Key, s.Value), Default: s.Default,
				Generation: sec.Edit.Generation, Author: sec.Edit.Author, Time: sec.Edit.Time,
			})
		}
	}
	return c.JSON(http.StatusOK, rows)
}

// shownValue returns a value as operators see it. Of an account's keys they see the number.
func shownValue(kind, key, value string) string {
	if kind != "account" || key != "keys" {
		return value
	}
	return strconv.Itoa(len(strings.Fields(value))) + " keys"
}

func (o *Operator) status(c echo.Context) error {
	now := o.clock.Now()
	self := o.deps.Members.Self()
	rows := []StatusRow{statusRow(self, "alive", now)}
	if self.Leaving {
		rows[0].State = "leaving"
	}
	for _, m := range o.deps.Members.Members() {
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
	current := o.deps.Documents.Current()
	if current == nil {
		return o.writeNotReady(c)
	}
	return c.JSON(http.StatusOK, current.Head.Edits)
}

func (o *Operator) explain(c echo.Context) error {
	caller, err := netip.ParseAddr(c.QueryParam("caller"))
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{Code: "bad-caller", Reason: "caller must be an IP address"})
	}
	service := namer.Service(c.QueryParam("service"))
	p, known, ready := o.deps.Placer.Lookup(service, caller)
	if !ready {
		return o.writeNotReady(c)
	}
	if !known {
		return c.JSON(http.StatusNotFound, errorBody{Code: "no-service", Reason: "no such service is in force"})
	}
	response := ExplainResponse{
		Service: service, Caller: caller.String(), Generation: p.Generation,
		Home: p.Home, Zone: p.Zone, Reason: responder.ReasonText(&p),
	}
	for _, e := range p.Entries() {
		response.Entries = append(response.Entries, e.VM)
	}
	return c.JSON(http.StatusOK, response)
}

// metrics writes this daemon's own metrics map. It doesn't use expvar's global map,
// which several daemons in one test process would share.
func (o *Operator) metrics(c echo.Context) error {
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(o.deps.Metrics.String()))
}

// authenticate returns the operator whose bearer token a request carries. It compares
// the token's hash with every operator's in constant time. A token that several
// operators share is refused.
func (o *Operator) authenticate(req *http.Request) (loader.Operator, bool) {
	text, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return loader.Operator{}, false
	}
	sum := sha256.Sum256([]byte(text))
	got := []byte(hex.EncodeToString(sum[:]))
	var found loader.Operator
	matches := 0
	for _, op := range o.operators {
		if subtle.ConstantTimeCompare(got, []byte(strings.ToLower(op.TokenHash))) == 1 {
			found = op
			matches++
		}
	}
	return found, matches == 1
}

func (o *Operator) writeUnknownSection(c echo.Context, s parser.Section) error {
	reason := errors.Newf("no section %q; allowed: %v", string(s), parser.Sections()).Error()
	return c.JSON(http.StatusNotFound, errorBody{Code: "no-section", Reason: reason})
}

func (o *Operator) writeNotReady(c echo.Context) error {
	return c.JSON(http.StatusServiceUnavailable, errorBody{Code: "not-ready", Reason: "no document from the platform or a peer yet"})
}
