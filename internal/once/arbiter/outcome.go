// Package arbiter decides the outcome of once-only requests. It holds the
// three state machines of the token protocol: the owner that dispatches, the
// witness that remembers an intent or a seal, and the relay that asks both.
// All three are pure: messages and times go in, steps and outcomes come out.
// They are not safe for concurrent use; the conductor package locks them and
// wires them to streams.
//
// The guarantee: a token's request is dispatched at most once, NotRun is told
// only of a request that never ran and never will, and what can't be known is
// Unknown. No clock decides it. Clocks decide only what may be forgotten, and
// a token that may have been forgotten is Unknown.
//
// # Usage
//
//	owner := arbiter.NewOwner(self, minter)
//	step := owner.Begin(now, token, digest)
//	if step.Action == arbiter.Record {
//		// Send the intent to token.Witness, then:
//		step = owner.Recorded(token.Nonce, verdict)
//	}
//	if step.Action == arbiter.Dispatch && owner.Send(token.Nonce) {
//		// Forward the request, then:
//		owner.Finish(token.Nonce, outcome)
//	}
package arbiter

import "github.com/waxwingloom/waxwingloom/internal/kernel/namer"

// What a caller is told of a once-only request.
const (
	// Unknown means that nobody can tell whether the request ran.
	Unknown Execution = iota
	// Ran means that the request ran once and the answer is the upstream's.
	Ran
	// NotRun means that the request never ran and never will.
	NotRun
)

type (
	// Execution is the outcome as a caller is told it.
	Execution int

	// Header is one header of an answer.
	Header struct {
		Name  string
		Value string
	}

	// Response is an upstream's answer. Cut is set when the body was larger than
	// what is kept for retries.
	Response struct {
		Status      int
		Headers     []Header
		Body        []byte
		Upstream    namer.Upstream
		VM          namer.VM
		BodyOmitted bool
	}

	// Outcome is how a once-only request ended. Answer belongs to Ran; Code
	// and Reason to the others.
	Outcome struct {
		Execution Execution
		Response  Response
		Code      Code
		Reason    string
	}

	// Code classifies an outcome for programs.
	Code string
)

// The codes of outcomes about tokens.
const (
	CodeExpired          Code = "token-expired"
	CodeForeign          Code = "token-foreign"
	CodeForged           Code = "token-forged"
	CodeMismatch         Code = "token-reused"
	CodeSealed           Code = "token-sealed"
	CodeIntentLost       Code = "intent-lost"
	CodeOwnerUnreachable Code = "owner-unreached"
	CodeInProgress       Code = "in-progress"
	CodeMayHaveRun       Code = "broken"
)

// String returns the outcome's word in headers, logs and errors.
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
