package arbiter

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

type (
	// Verdict is a witness's answer. Accepted belongs to an intent, Outcome to
	// a seal or a refusal. Digest names the request of a recorded answer.
	Verdict struct {
		Accepted bool
		Outcome  Outcome
		Digest   Digest
	}

	// Witness remembers intents and seals for the owners that chose this
	// incarnation as their witness.
	Witness struct {
		self       namer.Incarnation
		maxRecords int
		now        time.Time
		intents    map[Nonce]*intent
		seals      map[Nonce]time.Time
		disabled   disabledChecks
	}

	intent struct {
		expiry  time.Time
		outcome Outcome
		digest  Digest
	}
)

// NewWitness returns the witness of one incarnation, which remembers at most
// limit intents and limit seals.
func NewWitness(self namer.Incarnation, limit int) *Witness {
	return &Witness{
		self:       self,
		maxRecords: limit,
		intents:    make(map[Nonce]*intent),
		seals:      make(map[Nonce]time.Time),
	}
}

// RecordIntent records that the owner is about to dispatch. It refuses a token that
// was sealed, or of which a seal may have been forgotten.
func (w *Witness) RecordIntent(now time.Time, t Token) Verdict {
	w.now = namer.Later(w.now, now)
	if t.Witness != w.self && !w.disabled.skipIncarnation {
		return refused("the witness is another incarnation")
	}
	if !t.Expiry.After(w.now) && !w.disabled.skipExpiry {
		return refused("the witness judges the token expired")
	}
	if _, ok := w.seals[t.Nonce]; ok && !w.disabled.skipSealCheck {
		return refused("the witness sealed the token")
	}
	if _, ok := w.intents[t.Nonce]; ok {
		return Verdict{Accepted: true}
	}
	if len(w.intents) >= w.maxRecords {
		return refused("the witness remembers as many intents as it can")
	}
	w.intents[t.Nonce] = &intent{expiry: t.Expiry}
	return Verdict{Accepted: true}
}

// Seal asks that a token never run. NotRun is told only when no intent was
// recorded, and the seal is remembered before it is told.
func (w *Witness) Seal(now time.Time, t Token) Verdict {
	w.now = namer.Later(w.now, now)
	if t.Witness != w.self && !w.disabled.skipIncarnation {
		return Verdict{Outcome: unknown(CodeForeign, "the witness was replaced and remembers nothing")}
	}
	if i, ok := w.intents[t.Nonce]; ok {
		return Verdict{Outcome: i.outcome, Digest: i.digest}
	}
	if !t.Expiry.After(w.now) && !w.disabled.skipExpiry {
		return Verdict{Outcome: unknown(CodeExpired, "the token expired and its intent may have been forgotten")}
	}
	sealed := Verdict{Outcome: notRun(CodeSealed, "sealed by the witness before its owner dispatched")}
	if _, ok := w.seals[t.Nonce]; ok {
		return sealed
	}
	if len(w.seals) >= w.maxRecords {
		return Verdict{Outcome: unknown(CodeMayHaveRun, "the witness remembers as many seals as it can")}
	}
	w.seals[t.Nonce] = t.Expiry
	return sealed
}

// RecordOutcome keeps a finished request's outcome, for a caller whose retry comes
// when the owner is gone.
func (w *Witness) RecordOutcome(t Token, out Outcome, digest Digest) {
	if i, ok := w.intents[t.Nonce]; ok && t.Witness == w.self {
		i.outcome = out
		i.digest = digest
	}
}

// Sweep forgets the intents and seals of tokens that are refused as expired.
func (w *Witness) Sweep(now time.Time) {
	w.now = namer.Later(w.now, now)
	for n, i := range w.intents {
		if !i.expiry.After(w.now) {
			delete(w.intents, n)
		}
	}
	for n, expiry := range w.seals {
		if !expiry.After(w.now) {
			delete(w.seals, n)
		}
	}
}

// Len returns the numbers of intents and seals remembered.
func (w *Witness) Len() (intents, seals int) {
	return len(w.intents), len(w.seals)
}

func refused(reason string) Verdict {
	return Verdict{Outcome: notRun(CodeSealed, reason)}
}
