package arbiter

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// The messages of the model's network.
const (
	msgRequest         msgKind = iota // a copy of the request reaches the owner
	msgIntent                         // the owner's intent reaches the witness
	msgIntentVerdict                  // the witness's verdict reaches the owner
	msgIntentTimeout                  // the owner gives up waiting for the verdict
	msgDispatch                       // the request reaches an upstream
	msgRan                            // the upstream's answer reaches the owner
	msgUpstreamTimeout                // the owner gives up on the upstream
	msgNotRun                         // the upstream's proof that it ran nothing
	msgSeal                           // a relay's seal reaches the witness
	msgSealVerdict                    // the verdict of a seal reaches the relay
	msgOutcome                        // the owner's outcome reaches a caller
)

// simulation is one token's owner and witness, their network, and one upstream
// that notes each run. Every choice is left to whoever drives it.
type (
	msgKind int

	message struct {
		kind    msgKind
		copyID  int
		owner   namer.Incarnation
		verdict Verdict
		outcome Outcome
	}

	simulation struct {
		disabled     disabledChecks
		now          time.Time
		witnessSkew  time.Duration
		token        Token
		owner        *Owner
		ownerInc     namer.Incarnation
		witness      *Witness
		witnessInc   namer.Incarnation
		incarnations byte
		inFlight     []message
		runs         int
		outcomes     []Execution
		attempts     int
	}

	acceptAll struct{}
)

// Verify implements Checker. It lets the model show that the incarnation check
// alone protects, without the key.
func (acceptAll) Verify(Token) bool { return true }

func newSimulation(rules disabledChecks) *simulation {
	w := &simulation{disabled: rules, now: time.Unix(1000, 0)}
	w.restartOwner()
	w.restartWitness()
	w.token = Token{Owner: w.ownerInc, Witness: w.witnessInc, Nonce: Nonce{7}, Expiry: w.now.Add(time.Minute)}
	return w
}

func (w *simulation) restartOwner() {
	w.incarnations++
	w.ownerInc = namer.Incarnation{w.incarnations}
	w.owner = NewOwner(w.ownerInc, acceptAll{})
	w.owner.disabled = w.disabled
}

func (w *simulation) restartWitness() {
	w.incarnations++
	w.witnessInc = namer.Incarnation{w.incarnations}
	w.witness = NewWitness(w.witnessInc, 10)
	w.witness.disabled = w.disabled
}

func (w *simulation) send(m message) {
	w.inFlight = append(w.inFlight, m)
}

func (w *simulation) remove(i int) message {
	m := w.inFlight[i]
	w.inFlight = append(append([]message{}, w.inFlight[:i]...), w.inFlight[i+1:]...)
	return m
}

// deliver hands over one message. A message of an earlier incarnation reaches
// nobody, but for requests and seals, which any incarnation may receive.
func (w *simulation) deliver(m message) {
	switch m.kind {
	case msgRequest:
		w.apply(w.owner.Begin(w.now, w.token, Digest{1}))
	case msgIntent:
		v := w.witness.RecordIntent(w.now.Add(w.witnessSkew), w.token)
		w.send(message{kind: msgIntentVerdict, owner: m.owner, verdict: v})
	case msgSeal:
		w.send(message{kind: msgSealVerdict, verdict: w.witness.Seal(w.now.Add(w.witnessSkew), w.token)})
	case msgSealVerdict:
		r := NewRelay(w.token, Digest{1})
		r.WitnessAnswered(m.verdict)
		w.outcomes = append(w.outcomes, r.Outcome().Execution)
	case msgOutcome:
		w.outcomes = append(w.outcomes, m.outcome.Execution)
	case msgDispatch:
		w.runs++
		w.send(message{kind: msgRan, owner: m.owner})
	default:
		if m.owner == w.ownerInc {
			w.deliverOwner(m)
		}
	}
}

func (w *simulation) deliverOwner(m message) {
	n := w.token.Nonce
	switch m.kind {
	case msgIntentVerdict:
		w.apply(w.owner.IntentAnswered(n, m.verdict))
	case msgIntentTimeout:
		w.apply(w.owner.IntentFailed(n, "lost"))
	case msgRan:
		w.apply(w.finish(Outcome{Execution: Ran}))
	case msgNotRun:
		w.owner.MarkNotRun(n)
		w.dispatch()
	case msgUpstreamTimeout:
		// Without the guard a broken spill would be tried elsewhere.
		if w.disabled.skipProof {
			w.dispatch()
			return
		}
		w.apply(w.finish(Outcome{Execution: Unknown}))
	}
}

func (w *simulation) finish(out Outcome) Step {
	step := w.owner.Finish(w.token.Nonce, out)
	if step.Action == Decided {
		w.witness.RecordOutcome(w.token, step.Outcome, Digest{1})
	}
	return step
}

func (w *simulation) apply(s Step) {
	switch s.Action {
	case RecordIntent:
		w.send(message{kind: msgIntent, owner: w.ownerInc})
		w.send(message{kind: msgIntentTimeout, owner: w.ownerInc})
	case Dispatch:
		w.dispatch()
	case Decided:
		w.send(message{kind: msgOutcome, outcome: s.Outcome})
	case Foreign:
		w.send(message{kind: msgSeal})
	case Wait, Mismatch:
	}
}

// dispatch sends the request to an upstream if the owner agrees. The network
// may lose it, break off, or bring back a proof that nothing ran.
func (w *simulation) dispatch() {
	if w.attempts >= 2 || !w.owner.MarkSent(w.token.Nonce) {
		return
	}
	w.attempts++
	w.send(message{kind: msgDispatch, owner: w.ownerInc})
	w.send(message{kind: msgUpstreamTimeout, owner: w.ownerInc})
}

// refuse lets an upstream that was reached promise that it ran nothing.
func (w *simulation) refuse(i int) {
	m := w.remove(i)
	w.send(message{kind: msgNotRun, owner: m.owner})
}

// violation returns which promise is broken, or nothing.
func (w *simulation) violation() string {
	if w.runs > 1 {
		return fmt.Sprintf("ran %d times", w.runs)
	}
	for _, t := range w.outcomes {
		if t == NotRun && w.runs > 0 {
			return "told not-run, and it ran"
		}
		if t == Ran && w.runs == 0 {
			return "told ran, and it did not"
		}
	}
	return ""
}

// clone copies everything that a step can change.
func (w *simulation) clone() *simulation {
	c := *w
	c.inFlight = append([]message{}, w.inFlight...)
	c.outcomes = append([]Execution{}, w.outcomes...)
	owner := *w.owner
	owner.records = make(map[Nonce]*record)
	for n, r := range w.owner.records {
		kept := *r
		owner.records[n] = &kept
	}
	c.owner = &owner
	book := *w.witness
	book.intents = make(map[Nonce]*intent)
	for n, i := range w.witness.intents {
		kept := *i
		book.intents[n] = &kept
	}
	book.seals = make(map[Nonce]time.Time)
	for n, t := range w.witness.seals {
		book.seals[n] = t
	}
	c.witness = &book
	return &c
}

// stateKey returns the world's state as text, equal for equal states.
func (w *simulation) stateKey() string {
	var b bytes.Buffer
	lines := make([]string, len(w.inFlight))
	for i, m := range w.inFlight {
		lines[i] = fmt.Sprint(m.kind, m.copyID, m.owner, m.verdict.Accepted, m.verdict.Outcome.Execution, m.outcome.Execution)
	}
	sort.Strings(lines)
	fmt.Fprint(&b, strings.Join(lines, ";"), w.runs, w.attempts, w.ownerInc, w.witnessInc, w.now.Unix(), w.witnessSkew)
	for _, r := range w.owner.records {
		fmt.Fprint(&b, "r", r.phase, r.outcome.Execution)
	}
	for _, i := range w.witness.intents {
		fmt.Fprint(&b, "i", i.outcome.Execution)
	}
	fmt.Fprint(&b, "s", len(w.witness.seals))
	told := [3]bool{}
	for _, t := range w.outcomes {
		told[t] = true
	}
	fmt.Fprint(&b, told)
	return b.String()
}
