package arbiter

import "github.com/waxwingloom/waxwingloom/internal/kernel/namer"

// What a relay must do next.
const (
	// AskOwner means that the request must be sent to the token's owner.
	AskOwner RelayAction = iota
	// AskWitness means that the token's witness must seal it.
	AskWitness
	// RelayDone means that the outcome is decided.
	RelayDone
)

type (
	// RelayAction is what a relay must do next.
	RelayAction int

	// Relay takes a token whose owner is another incarnation to its outcome.
	// It never says NotRun of its own accord.
	Relay struct {
		token   Token
		digest  Digest
		outcome Outcome
	}
)

// NewRelay returns the relay of one copy of a request.
func NewRelay(t Token, digest Digest) *Relay {
	return &Relay{token: t, digest: digest}
}

// Start returns the first thing to do.
func (r *Relay) Start() RelayAction {
	return AskOwner
}

// OwnerAnswered takes the owner's outcome.
func (r *Relay) OwnerAnswered(out Outcome) RelayAction {
	r.outcome = out
	return RelayDone
}

// OwnerFailed notes that the owner could not be reached, was replaced, or gave
// no answer. The request may have reached it all the same; the witness tells.
func (r *Relay) OwnerFailed(reason string) RelayAction {
	if r.token.Witness == (namer.Incarnation{}) {
		r.outcome = unknown(CodeOwnerUnreachable, "no witness, and the owner: "+reason)
		return RelayDone
	}
	return AskWitness
}

// WitnessAnswered takes the verdict of a seal.
func (r *Relay) WitnessAnswered(v Verdict) RelayAction {
	r.outcome = v.Outcome
	if v.Outcome.Execution == Ran && v.Digest != r.digest {
		r.outcome = Outcome{Execution: Unknown, Code: CodeMismatch, Reason: "the token belongs to another request"}
	}
	if r.outcome.Execution == Unknown && r.outcome.Code == "" {
		r.outcome = unknown(CodeMayHaveRun, "the owner may have dispatched the request, and is out of reach")
	}
	return RelayDone
}

// WitnessFailed notes that the witness could not be reached either.
func (r *Relay) WitnessFailed(reason string) RelayAction {
	r.outcome = unknown(CodeOwnerUnreachable, "neither owner nor witness in reach: "+reason)
	return RelayDone
}

// Outcome returns the outcome once it is decided.
func (r *Relay) Outcome() Outcome {
	return r.outcome
}
