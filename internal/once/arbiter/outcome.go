// Package arbiter implements the token protocol that runs a once-only request
// at most once. It has three state machines, one for each role of an entry VM:
//
//   - The Owner minted the token. It records an intent at the witness and then
//     dispatches the request to an upstream.
//   - The Witness stores the owner's intent, or a seal. A sealed token's intent
//     is refused, so its request never runs.
//   - The Relay received a request whose token has another owner. It asks the
//     owner, and when that fails it asks the witness to seal the token.
//
// The state machines do no I/O and read no clock: the caller passes messages
// and times in and gets steps and outcomes back. They are not safe for
// concurrent use; the conductor package adds the lock and the network.
//
// The protocol guarantees that a token's request runs at most once, that
// NotRun is reported only for a request that has not run and never will, and
// that an outcome that can't be known is reported as Unknown. These guarantees
// don't depend on clocks. Clocks decide only when state is deleted, and a token
// whose state may have been deleted is Unknown.
//
// # Usage
//
//	owner := arbiter.NewOwner(self, minter)
//	step := owner.Begin(now, token, digest)
//	if step.Action == arbiter.RecordIntent {
//		// Send the intent to token.Witness, then:
//		step = owner.IntentAnswered(token.Nonce, verdict)
//	}
//	if step.Action == arbiter.Dispatch && owner.MarkSent(token.Nonce) {
//		// Forward the request, then:
//		owner.Finish(token.Nonce, outcome)
//	}
package arbiter

import "github.com/waxwingloom/waxwingloom/internal/kernel/namer"

// The values of Execution.
const (
	// Unknown means that the request may or may not have run.
	Unknown Execution = iota
	// Ran means that the request ran once and the upstream's response is known.
	Ran
	// NotRun means that the request has not run and never will.
	NotRun
)

type (
	// Execution says whether a once-only request ran.
	Execution int

	// Header is one header of a response.
	Header struct {
		Name  string
		Value string
	}

	// Response is an upstream's response. BodyOmitted is set when the body was
	// larger than what is stored for retries.
	Response struct {
		Status      int
		Headers     []Header
		Body        []byte
		Upstream    namer.Upstream
		VM          namer.VM
		BodyOmitted bool
	}

	// Outcome is the result of a once-only request. Response is set when
	// Execution is Ran; Code and Reason are set otherwise.
	Outcome struct {
		Execution Execution
		Response  Response
		Code      Code
		Reason    string
	}

	// Code is a machine-readable reason for an outcome.
	Code string
)

// The codes of outcomes that the token protocol decides.
const (
	// CodeExpired means that the token expired, so its state may have been deleted.
	CodeExpired Code = "token-expired"
	// CodeForeign means that the token names an earlier incarnation as its owner or
	// witness.
	CodeForeign Code = "token-foreign"
	// CodeForged means that the named owner did not mint the token.
	CodeForged Code = "token-forged"
	// CodeMismatch means that the token was used for another request or belongs to
	// another service.
	CodeMismatch Code = "token-reused"
	// CodeSealed means that the witness sealed the token or refused its intent.
	CodeSealed Code = "token-sealed"
	// CodeIntentLost means that the witness gave no verdict on the intent.
	CodeIntentLost Code = "intent-lost"
	// CodeOwnerUnreachable means that the owner didn't respond or was replaced, and that
	// the token has no witness or the witness didn't respond either.
	CodeOwnerUnreachable Code = "owner-unreached"
	// CodeInProgress means that the request may still be running: its deadline passed
	// or its caller went away before the outcome was known.
	CodeInProgress Code = "in-progress"
	// CodeMayHaveRun means that the request may have reached an upstream, and its
	// response is not known.
	CodeMayHaveRun Code = "broken"
)

// String returns the value's text in headers, logs and errors.
func (t Execution) String() string {
	switch t {
	case Ran:
		return "ran"
	case NotRun:
		return "not-run"
	}
	return "unknown"
}

func unknown(code Code, reason string) Outcome {
	return Outcome{Execution: Unknown, Code: code, Reason: reason}
}

func notRun(code Code, reason string) Outcome {
	return Outcome{Execution: NotRun, Code: code, Reason: reason}
}
