// Package requester is the HTTP client of the operators' listener of a daemon.
//
// # Usage
//
//	r := requester.New("10.0.0.5:7001", token)
//	response, err := r.Apply(ctx, parser.Drains, text, baseGeneration, editID)
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
	callTimeout      = 20 * time.Second
	maxResponseBytes = 64 << 20
)

// ErrOutcomeUnknown is returned when the daemon did not answer an edit. It may have
// accepted the edit.
var ErrOutcomeUnknown = errors.New("no answer from the daemon; the edit may have been accepted")

type (
	// Requester sends requests to one daemon.
	Requester struct {
		baseURL string
		token   string
		client  *http.Client
	}

	// RefusedError is the daemon's refusal of a request.
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

// New returns a client of the daemon whose operators' listener has the given address.
// The token identifies the operator; only edits need it.
func New(address, token string) *Requester {
	return &Requester{baseURL: "http://" + address, token: token, client: &http.Client{Timeout: callTimeout}}
}

// Section returns the text of a section of the current document.
func (r *Requester) Section(ctx context.Context, s parser.Section) (operator.SectionResponse, error) {
	var section operator.SectionResponse
	return section, r.get(ctx, "/v1/sections/"+url.PathEscape(string(s)), &section)
}

// Apply sends an edit. baseGeneration is the generation of the section that the edit is
// based on. Apply returns a response for every verdict, and an error if it got none.
func (r *Requester) Apply(
	ctx context.Context, s parser.Section, text []byte, baseGeneration namer.Generation, id string,
) (operator.EditResponse, error) {
	query := url.Values{"base": {baseGeneration.Text()}, "edit": {id}}
	target := r.baseURL + "/v1/sections/" + url.PathEscape(string(s)) + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(text))
	if err != nil {
		return operator.EditResponse{}, errors.Wrap(err, "building the edit")
	}
	req.Header.Set("Authorization", "Bearer "+r.token)
	resp, err := r.client.Do(req) //nolint:bodyclose // decodeEditResponse closes it.
	if err != nil {
		return operator.EditResponse{}, errors.Mark(err, ErrOutcomeUnknown)
	}
	return decodeEditResponse(resp)
}

// Settle asks whether an edit was accepted.
func (r *Requester) Settle(ctx context.Context, id string) (operator.EditResponse, error) {
	resp, err := r.sendGet(ctx, "/v1/edits/"+url.PathEscape(id)) //nolint:bodyclose // decodeEditResponse closes it.
	if err != nil {
		return operator.EditResponse{}, errors.Mark(err, ErrOutcomeUnknown)
	}
	return decodeEditResponse(resp)
}

// Show returns every key of the current document.
func (r *Requester) Show(ctx context.Context) ([]operator.ShowRow, error) {
	var rows []operator.ShowRow
	return rows, r.get(ctx, "/v1/show", &rows)
}

// Status returns every entry VM that the daemon knows of.
func (r *Requester) Status(ctx context.Context) ([]operator.StatusRow, error) {
	var rows []operator.StatusRow
	return rows, r.get(ctx, "/v1/status", &rows)
}

// History returns the latest accepted edits.
func (r *Requester) History(ctx context.Context) ([]keeper.Edit, error) {
	var edits []keeper.Edit
	return edits, r.get(ctx, "/v1/history", &edits)
}

// Explain returns the result of a caller's lookup, which is a zone and its entry VMs, and
// the reason for it.
func (r *Requester) Explain(ctx context.Context, caller string, s namer.Service) (operator.ExplainResponse, error) {
	var response operator.ExplainResponse
	query := url.Values{"caller": {caller}, "service": {string(s)}}
	return response, r.get(ctx, "/v1/explain?"+query.Encode(), &response)
}

// Metrics decodes the daemon's metrics into out.
func (r *Requester) Metrics(ctx context.Context, out any) error {
	return r.get(ctx, "/debug/vars", out)
}

func (r *Requester) sendGet(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.baseURL+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "building a request")
	}
	resp, err := r.client.Do(req)
	return resp, errors.Wrap(err, "asking the daemon")
}

func (r *Requester) get(ctx context.Context, path string, out any) error {
	resp, err := r.sendGet(ctx, path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return decodeRefusal(resp)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out), "reading the daemon's answer")
}

// decodeEditResponse reads the verdict on an edit from a response of any HTTP status. It
// closes the response's body.
func decodeEditResponse(resp *http.Response) (operator.EditResponse, error) {
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return operator.EditResponse{}, errors.Mark(err, ErrOutcomeUnknown)
	}
	var response operator.EditResponse
	if err := json.Unmarshal(raw, &response); err == nil && response.Verdict != "" {
		return response, nil
	}
	refused := &RefusedError{Status: resp.StatusCode}
	_ = json.Unmarshal(raw, refused)
	return response, refused
}

func decodeRefusal(resp *http.Response) error {
	refused := &RefusedError{Status: resp.StatusCode}
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(refused)
	return refused
}
