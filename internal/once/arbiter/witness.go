package arbiter

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

type (
	// Verdict is a witness's reply. Accepted is set for an accepted intent,
	// Outcome for a seal or a refused intent. Digest identifies the request of a
	// recorded response.
	Verdict struct {
		Accepted bool
		Outcome  Outcome
		Digest   Digest
	}

	// Witness stores intents and seals of the tokens that name this incarnation
	// as their witness.
	Witness struct {
		self       namer.Incarnation
		maxRecords int
		// now is the latest time passed in, so that a clock that jumps back revives
		// no expired token.
		now     time.Time
		intents map[Nonce]*intent
		// seals maps each sealed token to its expiry.
		seals    map[Nonce]time.Time
		disabled disabledChecks
	}

	// intent is a recorded intent. Its outcome is Unknown until RecordOutcome.
	intent struct {
		expiry  time.Time
		outcome Outcome
		digest  Digest
	}
)

// NewWitness returns the witness of one incarnation, which stores at most
// maxRecords intents and as many seals.
func NewWitness(self namer.Incarnation, maxRecords int) *Witness {
	return &Witness{
		self:       self,
		maxRecords: maxRecords,
		intents:    make(map[Nonce]*intent),
		seals:      make(map[Nonce]time.Time),
	}
}

// RecordIntent records that the owner is about to dispatch. It refuses a token
// that was sealed, or whose seal may have been deleted.
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

// Seal makes the witness refuse the token's intent from now on. It reports NotRun
// only if no intent was recorded, and stores the seal before it does.
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

// RecordOutcome stores a finished request's outcome for callers that retry when
// the owner is unreachable.
func (w *Witness) RecordOutcome(t Token, out Outcome, digest Digest) {
	if i, ok := w.intents[t.Nonce]; ok && t.Witness == w.self {
		i.outcome = out
		i.digest = digest
	}
}

// Sweep deletes the intents and seals of expired tokens. RecordIntent and Seal
// answer later messages about them as expired.
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

// Len returns the numbers of stored intents and seals.
func (w *Witness) Len() (intents, seals int) {
	return len(w.intents), len(w.seals)
}

func refused(reason string) Verdict {
	return Verdict{Outcome: notRun(CodeSealed, reason)}
}
