// Package requester is the client of a daemon's operators' listener.
//
// # Usage
//
//	r := requester.New("10.0.0.5:7001", token)
//	answer, err := r.Apply(ctx, parser.Drains, text, base, editID)
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/front/operator"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

const (
	callTime  = 20 * time.Second
	maxAnswer = 64 << 20
)

// ErrOutcomeUnknown is returned when a daemon gave no answer to an edit, which it may
// have accepted.
var ErrOutcomeUnknown = errors.New("no answer from the daemon; the edit may have been accepted")

type (
	// Requester calls one daemon.
	Requester struct {
		base   string
		token  string
		client *http.Client
	}

	// RefusedError is a daemon's refusal.
	RefusedError struct {
		Status int
		Code   string `json:"code"`
		Reason string `json:"reason"`
	}
)

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused (%d %s): %s", e.Status, e.Code, e.Reason)
}

// New returns a client of the daemon whose operators' listener is at an
// address. The token is an operator's and is needed for edits alone.
func New(address, token string) *Requester {
	return &Requester{base: "http://" + address, token: token, client: &http.Client{Timeout: callTime}}
}

// Section returns a section's text in force.
func (r *Requester) Section(ctx context.Context, s parser.Section) (operator.SectionAnswer, error) {
	var a operator.SectionAnswer
	return a, r.get(ctx, "/v1/sections/"+url.PathEscape(string(s)), &a)
}

// Apply sends an edit. Base is the generation of the section that the operator
// has read. An answer comes with every verdict; an error means that none came.
func (r *Requester) Apply(
	ctx context.Context, s parser.Section, text []byte, base namer.Generation, id string,
) (operator.EditAnswer, error) {
	query := url.Values{"base": {base.Text()}, "edit": {id}}
	target := r.base + "/v1/sections/" + url.PathEscape(string(s)) + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(text))
	if err != nil {
		return operator.EditAnswer{}, errors.Wrap(err, "building the edit")
	}
	req.Header.Set("Authorization", "Bearer "+r.token)
	resp, err := r.client.Do(req) //nolint:bodyclose // editAnswer closes it.
	if err != nil {
		return operator.EditAnswer{}, errors.Mark(err, ErrOutcomeUnknown)
	}
	return editAnswer(resp)
}

// Settle asks whether an edit was accepted.
func (r *Requester) Settle(ctx context.Context, id string) (operator.EditAnswer, error) {
	resp, err := r.send(ctx, "/v1/edits/"+url.PathEscape(id)) //nolint:bodyclose // editAnswer closes it.
	if err != nil {
		return operator.EditAnswer{}, errors.Mark(err, ErrOutcomeUnknown)
	}
	return editAnswer(resp)
}

// Show returns every key in force.
func (r *Requester) Show(ctx context.Context) ([]operator.ShowRow, error) {
	var rows []operator.ShowRow
	return rows, r.get(ctx, "/v1/show", &rows)
}

// Status returns every entry VM in the daemon's view.
func (r *Requester) Status(ctx context.Context) ([]operator.StatusRow, error) {
	var rows []operator.StatusRow
	return rows, r.get(ctx, "/v1/status", &rows)
}

// History returns the latest accepted edits.
func (r *Requester) History(ctx context.Context) ([]keeper.Edit, error) {
	var edits []keeper.Edit
	return edits, r.get(ctx, "/v1/history", &edits)
}

// Explain returns the placement of a caller and its reason.
func (r *Requester) Explain(ctx context.Context, caller string, s namer.Service) (operator.ExplainAnswer, error) {
	var a operator.ExplainAnswer
	query := url.Values{"caller": {caller}, "service": {string(s)}}
	return a, r.get(ctx, "/v1/explain?"+query.Encode(), &a)
}

// Metrics fills into with the daemon's metrics.
func (r *Requester) Metrics(ctx context.Context, into any) error {
	return r.get(ctx, "/debug/vars", into)
}

func (r *Requester) send(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.base+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "building a request")
	}
	resp, err := r.client.Do(req)
	return resp, errors.Wrap(err, "asking the daemon")
}

func (r *Requester) get(ctx context.Context, path string, into any) error {
	resp, err := r.send(ctx, path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(into), "reading the daemon's answer")
}

// editAnswer reads a verdict, whatever the status it came with.
func editAnswer(resp *http.Response) (operator.EditAnswer, error) {
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return operator.EditAnswer{}, errors.Mark(err, ErrOutcomeUnknown)
	}
	var a operator.EditAnswer
	if err := json.Unmarshal(raw, &a); err == nil && a.Verdict != "" {
		return a, nil
	}
	refused := &RefusedError{Status: resp.StatusCode}
	_ = json.Unmarshal(raw, refused)
	return a, refused
}

func refusal(resp *http.Response) error {
	refused := &RefusedError{Status: resp.StatusCode}
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(refused)
	return refused
}
