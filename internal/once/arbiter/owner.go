package arbiter

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// The values of Action.
const (
	// Decided means that the step's outcome is final.
	Decided Action = iota
	// RecordIntent means that an intent must be sent to the witness, and its
	// verdict passed to IntentAnswered.
	RecordIntent
	// Dispatch means that the request may be sent to an upstream, after
	// MarkSent has returned true.
	Dispatch
	// Wait means that another copy of the request is in progress.
	Wait
	// Mismatch means that the token was used for a request with another digest.
	Mismatch
	// Foreign means that the token's owner is another incarnation.
	Foreign
)

const (
	intentPending phase = iota // the witness has given no verdict on the intent
	ready                      // the request may be sent to an upstream
	sent                       // the request was sent and may have run
	done                       // the outcome is final
)

type (
	// Action is what the owner's caller must do next for a token.
	Action int

	// Step is an action. Outcome is set when the action is Decided.
	Step struct {
		Action  Action
		Outcome Outcome
	}

	// Digest identifies a request, to tell its copies from other requests.
	Digest [32]byte

	// TokenVerifier reports whether this incarnation minted a token.
	TokenVerifier interface {
		Verify(t Token) bool
	}

	// Owner tracks the requests of the tokens that one incarnation minted, and
	// lets each be dispatched at most once.
	Owner struct {
		self    namer.Incarnation
		checker TokenVerifier
		// now is the latest time passed in, so that a clock that jumps back revives
		// no expired token.
		now      time.Time
		records  map[Nonce]*record
		disabled disabledChecks
	}

	// phase is the progress of one request.
	phase int

	// record is the state of one token's request.
	record struct {
		phase   phase
		digest  Digest
		expiry  time.Time
		outcome Outcome
	}

	// disabledChecks lists checks to skip. Only the model tests set it: they
	// skip one check at a time, to show that the tests detect its absence.
	disabledChecks struct {
		skipIntent      bool
		skipSealCheck   bool
		skipFinality    bool
		skipIncarnation bool
		skipExpiry      bool
		skipSentCheck   bool
	}
)

// NewOwner returns the owner of one incarnation's tokens.
func NewOwner(self namer.Incarnation, checker TokenVerifier) *Owner {
	return &Owner{self: self, checker: checker, records: make(map[Nonce]*record)}
}

// Begin handles one copy of a request. For the first copy of an unexpired token
// it asks for an intent, or for the dispatch if the token has no witness. Later
// copies wait for the first one or receive its outcome.
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

// IntentAnswered handles the witness's verdict on an intent. A refusal is final.
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

// IntentFailed ends a request whose intent got no verdict. Nothing was
// dispatched, so NotRun is correct whether or not the witness stored the intent.
func (o *Owner) IntentFailed(n Nonce, reason string) Step {
	r, ok := o.records[n]
	if !ok || r.phase != intentPending {
		return Step{Action: Wait}
	}
	return o.finish(n, r, notRun(CodeIntentLost, reason))
}

// MarkSent reports whether the request may be sent to an upstream now. If so,
// the request counts from then on as one that may have run, and MarkSent returns
// false until MarkNotRun is called.
func (o *Owner) MarkSent(n Nonce) bool {
	r, ok := o.records[n]
	if !ok {
		return false
	}
	if r.phase == sent && o.disabled.skipSentCheck {
		return true
	}
	if r.phase != ready {
		return false
	}
	r.phase = sent
	return true
}

// MarkNotRun records a proof that the last attempt did not run, so that the
// request may be sent to another upstream or end as NotRun.
func (o *Owner) MarkNotRun(n Nonce) {
	if r, ok := o.records[n]; ok && r.phase == sent {
		r.phase = ready
	}
}

// Finish sets a request's outcome, unless it has one. NotRun becomes Unknown if
// the request may have run.
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

// ReplaceResponse replaces the response that is stored for retries.
func (o *Owner) ReplaceResponse(n Nonce, response Response) {
	if r, ok := o.records[n]; ok && r.phase == done {
		r.outcome.Response = response
	}
}

// Sweep deletes the finished requests of expired tokens. Begin answers a later
// copy of them as expired.
func (o *Owner) Sweep(now time.Time) {
	o.now = namer.Later(o.now, now)
	for n, r := range o.records {
		if r.phase == done && !r.expiry.After(o.now) {
			delete(o.records, n)
		}
	}
}

// Len returns the number of stored requests.
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
