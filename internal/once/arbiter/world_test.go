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
	toOwner    msgKind = iota // a copy of the request reaches the owner
	toWitness                 // the owner's intent reaches the witness
	toRecorded                // the witness's verdict reaches the owner
	toLost                    // the owner gives up waiting for the verdict
	toRun                     // the request reaches an upstream
	toRan                     // the upstream's answer reaches the owner
	toBroken                  // the owner gives up on the upstream
	toRefused                 // the upstream's proof that it ran nothing
	toSeal                    // a relay's seal reaches the witness
	toSealed                  // the verdict of a seal reaches the relay
	toTold                    // the owner's outcome reaches a caller
)

// world is one token's owner and witness, their network, and one upstream
// that notes each run. Every choice is left to whoever drives it.
type (
	msgKind int

	message struct {
		kind    msgKind
		copy    int
		owner   namer.Incarnation
		verdict Verdict
		outcome Outcome
	}

	world struct {
		rules    guards
		now      time.Time
		skew     time.Duration
		token    Token
		owner    *Owner
		ownerInc namer.Incarnation
		book     *Witness
		bookInc  namer.Incarnation
		born     byte
		net      []message
		runs     int
		told     []Execution
		spills   int
	}

	anyToken struct{}
)

// Verify implements Checker. It lets the model show that the incarnation check
// alone protects, without the key.
func (anyToken) Verify(Token) bool { return true }

func newWorld(rules guards) *world {
	w := &world{rules: rules, now: time.Unix(1000, 0)}
	w.restartOwner()
	w.restartWitness()
	w.token = Token{Owner: w.ownerInc, Witness: w.bookInc, Nonce: Nonce{7}, Expiry: w.now.Add(time.Minute)}
	return w
}

func (w *world) restartOwner() {
	w.born++
	w.ownerInc = namer.Incarnation{w.born}
	w.owner = NewOwner(w.ownerInc, anyToken{})
	w.owner.guards = w.rules
}

func (w *world) restartWitness() {
	w.born++
	w.bookInc = namer.Incarnation{w.born}
	w.book = NewWitness(w.bookInc, 10)
	w.book.guards = w.rules
}

func (w *world) send(m message) {
	w.net = append(w.net, m)
}

func (w *world) take(i int) message {
	m := w.net[i]
	w.net = append(append([]message{}, w.net[:i]...), w.net[i+1:]...)
	return m
}

// deliver hands over one message. A message of an earlier incarnation reaches
// nobody, but for requests and seals, which any incarnation may receive.
func (w *world) deliver(m message) {
	switch m.kind {
	case toOwner:
		w.step(w.owner.Begin(w.now, w.token, Digest{1}))
	case toWitness:
		v := w.book.RecordIntent(w.now.Add(w.skew), w.token)
		w.send(message{kind: toRecorded, owner: m.owner, verdict: v})
	case toSeal:
		w.send(message{kind: toSealed, verdict: w.book.Seal(w.now.Add(w.skew), w.token)})
	case toSealed:
		r := NewRelay(w.token, Digest{1})
		r.WitnessAnswered(m.verdict)
		w.told = append(w.told, r.Outcome().Execution)
	case toTold:
		w.told = append(w.told, m.outcome.Execution)
	case toRun:
		w.runs++
		w.send(message{kind: toRan, owner: m.owner})
	default:
		if m.owner == w.ownerInc {
			w.deliverOwner(m)
		}
	}
}

func (w *world) deliverOwner(m message) {
	n := w.token.Nonce
	switch m.kind {
	case toRecorded:
		w.step(w.owner.IntentAnswered(n, m.verdict))
	case toLost:
		w.step(w.owner.IntentFailed(n, "lost"))
	case toRan:
		w.step(w.finish(Outcome{Execution: Ran}))
	case toRefused:
		w.owner.MarkNotRun(n)
		w.dispatch()
	case toBroken:
		// Without the guard a broken spill would be tried elsewhere.
		if w.rules.skipProof {
			w.dispatch()
			return
		}
		w.step(w.finish(Outcome{Execution: Unknown}))
	}
}

func (w *world) finish(out Outcome) Step {
	step := w.owner.Finish(w.token.Nonce, out)
	if step.Action == Decided {
		w.book.RecordOutcome(w.token, step.Outcome, Digest{1})
	}
	return step
}

func (w *world) step(s Step) {
	switch s.Action {
	case RecordIntent:
		w.send(message{kind: toWitness, owner: w.ownerInc})
		w.send(message{kind: toLost, owner: w.ownerInc})
	case Dispatch:
		w.dispatch()
	case Decided:
		w.send(message{kind: toTold, outcome: s.Outcome})
	case Foreign:
		w.send(message{kind: toSeal})
	case Wait, Mismatch:
	}
}

// dispatch sends the request to an upstream if the owner agrees. The network
// may lose it, break off, or bring back a proof that nothing ran.
func (w *world) dispatch() {
	if w.spills >= 2 || !w.owner.MarkSent(w.token.Nonce) {
		return
	}
	w.spills++
	w.send(message{kind: toRun, owner: w.ownerInc})
	w.send(message{kind: toBroken, owner: w.ownerInc})
}

// refuse lets an upstream that was reached promise that it ran nothing.
func (w *world) refuse(i int) {
	m := w.take(i)
	w.send(message{kind: toRefused, owner: m.owner})
}

// violation returns which promise is broken, or nothing.
func (w *world) violation() string {
	if w.runs > 1 {
		return fmt.Sprintf("ran %d times", w.runs)
	}
	for _, t := range w.told {
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
func (w *world) clone() *world {
	c := *w
	c.net = append([]message{}, w.net...)
	c.told = append([]Execution{}, w.told...)
	owner := *w.owner
	owner.records = make(map[Nonce]*record)
	for n, r := range w.owner.records {
		kept := *r
		owner.records[n] = &kept
	}
	c.owner = &owner
	book := *w.book
	book.intents = make(map[Nonce]*intent)
	for n, i := range w.book.intents {
		kept := *i
		book.intents[n] = &kept
	}
	book.seals = make(map[Nonce]time.Time)
	for n, t := range w.book.seals {
		book.seals[n] = t
	}
	c.book = &book
	return &c
}

// print returns the world's state as text, equal for equal states.
func (w *world) print() string {
	var b bytes.Buffer
	lines := make([]string, len(w.net))
	for i, m := range w.net {
		lines[i] = fmt.Sprint(m.kind, m.copy, m.owner, m.verdict.Accepted, m.verdict.Outcome.Execution, m.outcome.Execution)
	}
	sort.Strings(lines)
	fmt.Fprint(&b, strings.Join(lines, ";"), w.runs, w.spills, w.ownerInc, w.bookInc, w.now.Unix(), w.skew)
	for _, r := range w.owner.records {
		fmt.Fprint(&b, "r", r.phase, r.outcome.Execution)
	}
	for _, i := range w.book.intents {
		fmt.Fprint(&b, "i", i.outcome.Execution)
	}
	fmt.Fprint(&b, "s", len(w.book.seals))
	told := [3]bool{}
	for _, t := range w.told {
		told[t] = true
	}
	fmt.Fprint(&b, told)
	return b.String()
}
