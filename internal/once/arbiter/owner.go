package arbiter

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// What the owner's caller must do next.
const (
	// Decided means that the outcome is decided.
	Decided Action = iota
	// RecordIntent means that the intent must be sent to the witness.
	RecordIntent
	// Dispatch means that the request may be sent, once Send agrees.
	Dispatch
	// Wait means that another copy of the request is in progress.
	Wait
	// Mismatch means that the token belongs to another request.
	Mismatch
	// Foreign means that the token belongs to another incarnation.
	Foreign
)

const (
	intentPending phase = iota
	ready
	sent
	done
)

type (
	// Action is what must be done next about a token.
	Action int

	// Step is an action, with the outcome when the action is Tell.
	Step struct {
		Action  Action
		Outcome Outcome
	}

	// Digest identifies a request's method, path and body.
	Digest [32]byte

	// TokenVerifier tells an incarnation's own tokens from forged ones.
	TokenVerifier interface {
		Verify(t Token) bool
	}

	// Owner dispatches the tokens of one incarnation, each at most once.
	Owner struct {
		self     namer.Incarnation
		checker  TokenVerifier
		now      time.Time
		records  map[Nonce]*record
		disabled disabledChecks
	}

	phase int

	record struct {
		phase   phase
		digest  Digest
		expiry  time.Time
		outcome Outcome
	}

	// disabledChecks are the rules that the model tests switch off one at a time, to
	// show that a test catches the loss of each. All are on elsewhere.
	disabledChecks struct {
		skipIntent      bool
		skipSealCheck   bool
		skipFinality    bool
		skipIncarnation bool
		skipExpiry      bool
		skipProof       bool
	}
)

// NewOwner returns the owner for one incarnation.
func NewOwner(self namer.Incarnation, checker TokenVerifier) *Owner {
	return &Owner{self: self, checker: checker, records: make(map[Nonce]*record)}
}

// Begin takes a copy of a request. The first copy of a live token is to be
// recorded at the witness; later copies wait for it or receive its outcome.
func (o *Owner) Begin(now time.Time, t Token, digest Digest) Step {
	o.now = namer.Later(o.now, now)
	if t.Owner != o.self && !o.disabled.skipIncarnation {
		return Step{Action: Foreign}
	}
	if !o.checker.Verify(t) {
		return Step{Outcome: notRun(CodeForged, "this entry VM did not mint the token")}
	}
	if r, ok := o.records[t.Nonce]; ok {
		return r.nextStep(digest)
	}
	if !t.Expiry.After(o.now) && !o.disabled.skipExpiry {
		return Step{Outcome: unknown(CodeExpired, "the token expired and its outcome may have been forgotten")}
	}
	r := &record{digest: digest, expiry: t.Expiry}
	o.records[t.Nonce] = r
	if t.Witness.IsZero() || o.disabled.skipIntent {
		r.phase = ready
		return Step{Action: Dispatch}
	}
	return Step{Action: RecordIntent}
}

// IntentAnswered takes the witness's verdict about an intent. A refusal is final.
func (o *Owner) IntentAnswered(n Nonce, v Verdict) Step {
	r, ok := o.records[n]
	if !ok || r.phase != intentPending {
		return Step{Action: Wait}
	}
	if !v.Accepted {
		return o.finish(n, r, notRun(CodeSealed, v.Outcome.Reason))
	}
	r.phase = ready
	return Step{Action: Dispatch}
}

// IntentFailed ends a token whose intent got no verdict. Nothing was dispatched, so
// NotRun is true whatever the witness has recorded.
func (o *Owner) IntentFailed(n Nonce, reason string) Step {
	r, ok := o.records[n]
	if !ok || r.phase != intentPending {
		return Step{Action: Wait}
	}
	return o.finish(n, r, notRun(CodeIntentLost, reason))
}

// MarkSent reports whether the request may be sent now, and notes that it may
// have run from here on. It agrees again only after Proven.
func (o *Owner) MarkSent(n Nonce) bool {
	r, ok := o.records[n]
	if !ok {
		return false
	}
	if r.phase == sent && o.disabled.skipProof {
		return true
	}
	if r.phase != ready {
		return false
	}
	r.phase = sent
	return true
}

// MarkNotRun notes a proof that what was sent did not run, so that it may be sent
// elsewhere or refused.
func (o *Owner) MarkNotRun(n Nonce) {
	if r, ok := o.records[n]; ok && r.phase == sent {
		r.phase = ready
	}
}

// Finish ends a token. NotRun of a request that may have run becomes Unknown.
func (o *Owner) Finish(n Nonce, out Outcome) Step {
	r, ok := o.records[n]
	if !ok {
		return Step{Action: Wait}
	}
	if r.phase == done {
		return Step{Outcome: r.outcome}
	}
	if out.Execution == NotRun && r.phase == sent {
		out.Execution = Unknown
	}
	return o.finish(n, r, out)
}

// ReplaceResponse replaces the answer that is kept for retries.
func (o *Owner) ReplaceResponse(n Nonce, answer Response) {
	if r, ok := o.records[n]; ok && r.phase == done {
		r.outcome.Response = answer
	}
}

// Sweep forgets the tokens that Begin refuses as expired.
func (o *Owner) Sweep(now time.Time) {
	o.now = namer.Later(o.now, now)
	for n, r := range o.records {
		if r.phase == done && !r.expiry.After(o.now) {
			delete(o.records, n)
		}
	}
}

// Len returns the number of tokens remembered.
func (o *Owner) Len() int {
	return len(o.records)
}

func (o *Owner) finish(n Nonce, r *record, out Outcome) Step {
	r.phase = done
	r.outcome = out
	if out.Execution == NotRun && o.disabled.skipFinality {
		delete(o.records, n)
	}
	return Step{Outcome: out}
}

func (r *record) nextStep(digest Digest) Step {
	if r.digest != digest {
		return Step{Action: Mismatch}
	}
	if r.phase == done {
		return Step{Outcome: r.outcome}
	}
	return Step{Action: Wait}
}
