package arbiter

import "github.com/waxwingloom/waxwingloom/internal/kernel/namer"

// The values of RelayAction.
const (
	// AskOwner means that the request must be sent to the token's owner.
	AskOwner RelayAction = iota
	// AskWitness means that the token's witness must be asked to seal it.
	AskWitness
	// RelayDone means that Outcome returns the outcome.
	RelayDone
)

type (
	// RelayAction is what the relay's caller must do next.
	RelayAction int

	// Relay determines the outcome of a request whose token has another owner.
	// It reports NotRun only if the owner or the witness does.
	Relay struct {
		token   Token
		digest  Digest
		outcome Outcome
	}
)

// NewRelay returns a relay for one copy of a request.
func NewRelay(t Token, digest Digest) *Relay {
	return &Relay{token: t, digest: digest}
}

// Start returns the first action.
func (r *Relay) Start() RelayAction {
	return AskOwner
}

// OwnerAnswered handles the owner's outcome.
func (r *Relay) OwnerAnswered(out Outcome) RelayAction {
	r.outcome = out
	return RelayDone
}

// OwnerFailed handles an owner that is unreachable, was replaced or did not
// respond. The owner may still have received the request, so the witness has to
// be asked.
func (r *Relay) OwnerFailed(reason string) RelayAction {
	if r.token.Witness == (namer.Incarnation{}) {
		r.outcome = unknown(CodeOwnerUnreachable, "no witness, and the owner: "+reason)
		return RelayDone
	}
	return AskWitness
}

// WitnessAnswered handles the witness's verdict on a seal.
func (r *Relay) WitnessAnswered(v Verdict) RelayAction {
	r.outcome = v.Outcome
	if v.Outcome.Execution == Ran && v.Digest != r.digest {
		r.outcome = Outcome{Execution: Unknown, Code: CodeMismatch, Reason: "the token belongs to another request"}
	}
	if r.outcome.Execution == Unknown && r.outcome.Code == "" {
		// The witness recorded the intent and has received no outcome yet.
		r.outcome = unknown(CodeMayHaveRun, "the owner may have dispatched the request, and is out of reach")
	}
	return RelayDone
}

// WitnessFailed handles a witness that is unreachable too.
func (r *Relay) WitnessFailed(reason string) RelayAction {
	r.outcome = unknown(CodeOwnerUnreachable, "neither owner nor witness in reach: "+reason)
	return RelayDone
}

// Outcome returns the outcome. It is valid after an action of RelayDone.
func (r *Relay) Outcome() Outcome {
	return r.outcome
}
