package arbiter

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// The messages of the simulated network.
const (
	msgRequest         msgKind = iota // a copy of the request reaches the owner
	msgIntent                         // the owner's intent reaches the witness
	msgIntentVerdict                  // the witness's verdict reaches the owner
	msgIntentTimeout                  // the owner gives up waiting for the verdict
	msgDispatch                       // the request reaches an upstream
	msgRan                            // the upstream's response reaches the owner
	msgUpstreamTimeout                // the owner gives up waiting for the upstream
	msgNotRun                         // the upstream's proof that it did not run the request reaches the owner
	msgSeal                           // a relay's request for a seal reaches the witness
	msgSealVerdict                    // the verdict of a seal reaches the relay
	msgOutcome                        // the owner's outcome reaches a caller
)

type (
	msgKind int

	message struct {
		kind    msgKind
		copyID  int
		owner   namer.Incarnation
		verdict Verdict
		outcome Outcome
	}

	// simulation has one token's owner and witness, the network between them, and one
	// upstream that counts its runs. The tests choose every next step.
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

	// acceptAll is a TokenVerifier that checks nothing.
	acceptAll struct{}
)

// Verify implements TokenVerifier. It accepts every token, to show that the
// incarnation check is sufficient without the key.
func (acceptAll) Verify(Token) bool { return true }

func newSimulation(disabled disabledChecks) *simulation {
	sim := &simulation{disabled: disabled, now: time.Unix(1000, 0)}
	sim.restartOwner()
	sim.restartWitness()
	sim.token = Token{Owner: sim.ownerInc, Witness: sim.witnessInc, Nonce: Nonce{7}, Expiry: sim.now.Add(time.Minute)}
	return sim
}

func (sim *simulation) restartOwner() {
	sim.incarnations++
	sim.ownerInc = namer.Incarnation{sim.incarnations}
	sim.owner = NewOwner(sim.ownerInc, acceptAll{})
	sim.owner.disabled = sim.disabled
}

func (sim *simulation) restartWitness() {
	sim.incarnations++
	sim.witnessInc = namer.Incarnation{sim.incarnations}
	sim.witness = NewWitness(sim.witnessInc, 10)
	sim.witness.disabled = sim.disabled
}

func (sim *simulation) send(m message) {
	sim.inFlight = append(sim.inFlight, m)
}

func (sim *simulation) remove(i int) message {
	m := sim.inFlight[i]
	sim.inFlight = append(append([]message{}, sim.inFlight[:i]...), sim.inFlight[i+1:]...)
	return m
}

// deliver passes one message to its receiver. Messages to an earlier incarnation
// of the owner are dropped. Requests, intents and seals reach any incarnation.
func (sim *simulation) deliver(m message) {
	switch m.kind {
	case msgRequest:
		sim.apply(sim.owner.Begin(sim.now, sim.token, Digest{1}))
	case msgIntent:
		v := sim.witness.RecordIntent(sim.now.Add(sim.witnessSkew), sim.token)
		sim.send(message{kind: msgIntentVerdict, owner: m.owner, verdict: v})
	case msgSeal:
		sim.send(message{kind: msgSealVerdict, verdict: sim.witness.Seal(sim.now.Add(sim.witnessSkew), sim.token)})
	case msgSealVerdict:
		r := NewRelay(sim.token, Digest{1})
		r.WitnessAnswered(m.verdict)
		sim.outcomes = append(sim.outcomes, r.Outcome().Execution)
	case msgOutcome:
		sim.outcomes = append(sim.outcomes, m.outcome.Execution)
	case msgDispatch:
		sim.runs++
		sim.send(message{kind: msgRan, owner: m.owner})
	default:
		if m.owner == sim.ownerInc {
			sim.deliverOwner(m)
		}
	}
}

func (sim *simulation) deliverOwner(m message) {
	n := sim.token.Nonce
	switch m.kind {
	case msgIntentVerdict:
		sim.apply(sim.owner.IntentAnswered(n, m.verdict))
	case msgIntentTimeout:
		sim.apply(sim.owner.IntentFailed(n, "lost"))
	case msgRan:
		sim.apply(sim.finish(Outcome{Execution: Ran}))
	case msgNotRun:
		sim.owner.MarkNotRun(n)
		sim.dispatch()
	case msgUpstreamTimeout:
		// Without the check an attempt with an unknown result would be retried.
		if sim.disabled.skipSentCheck {
			sim.dispatch()
			return
		}
		sim.apply(sim.finish(Outcome{Execution: Unknown}))
	}
}

func (sim *simulation) finish(out Outcome) Step {
	step := sim.owner.Finish(sim.token.Nonce, out)
	if step.Action == Decided {
		sim.witness.RecordOutcome(sim.token, step.Outcome, Digest{1})
	}
	return step
}

func (sim *simulation) apply(s Step) {
	switch s.Action {
	case RecordIntent:
		sim.send(message{kind: msgIntent, owner: sim.ownerInc})
		sim.send(message{kind: msgIntentTimeout, owner: sim.ownerInc})
	case Dispatch:
		sim.dispatch()
	case Decided:
		sim.send(message{kind: msgOutcome, outcome: s.Outcome})
	case Foreign:
		sim.send(message{kind: msgSeal})
	case Wait, Mismatch:
	}
}

// dispatch sends the request to an upstream if the owner permits it. The network
// may lose the request, time out, or return a proof that it did not run. There are at
// most two attempts: refusals and new attempts would otherwise alternate without end.
func (sim *simulation) dispatch() {
	if sim.attempts >= 2 || !sim.owner.MarkSent(sim.token.Nonce) {
		return
	}
	sim.attempts++
	sim.send(message{kind: msgDispatch, owner: sim.ownerInc})
	sim.send(message{kind: msgUpstreamTimeout, owner: sim.ownerInc})
}

// refuse makes the upstream refuse the request and confirm that it did not run.
func (sim *simulation) refuse(i int) {
	m := sim.remove(i)
	sim.send(message{kind: msgNotRun, owner: m.owner})
}

// violation describes the guarantee that is violated, or is empty.
func (sim *simulation) violation() string {
	if sim.runs > 1 {
		return fmt.Sprintf("ran %d times", sim.runs)
	}
	for _, t := range sim.outcomes {
		if t == NotRun && sim.runs > 0 {
			return "reported not-run, but the request ran"
		}
		if t == Ran && sim.runs == 0 {
			return "reported ran, but the request did not run"
		}
	}
	return ""
}

// clone copies everything that a step can change.
func (sim *simulation) clone() *simulation {
	c := *sim
	c.inFlight = append([]message{}, sim.inFlight...)
	c.outcomes = append([]Execution{}, sim.outcomes...)
	owner := *sim.owner
	owner.records = make(map[Nonce]*record)
	for n, r := range sim.owner.records {
		copied := *r
		owner.records[n] = &copied
	}
	c.owner = &owner
	witness := *sim.witness
	witness.intents = make(map[Nonce]*intent)
	for n, i := range sim.witness.intents {
		copied := *i
		witness.intents[n] = &copied
	}
	witness.seals = make(map[Nonce]time.Time)
	for n, t := range sim.witness.seals {
		witness.seals[n] = t
	}
	c.witness = &witness
	return &c
}

// stateKey returns the state as text. Equal states have equal texts.
func (sim *simulation) stateKey() string {
	var b bytes.Buffer
	lines := make([]string, len(sim.inFlight))
	for i, m := range sim.inFlight {
		lines[i] = fmt.Sprint(m.kind, m.copyID, m.owner, m.verdict.Accepted, m.verdict.Outcome.Execution, m.outcome.Execution)
	}
	sort.Strings(lines)
	fmt.Fprint(&b, strings.Join(lines, ";"), sim.runs, sim.attempts, sim.ownerInc, sim.witnessInc, sim.now.Unix(), sim.witnessSkew)
	for _, r := range sim.owner.records {
		fmt.Fprint(&b, "r", r.phase, r.outcome.Execution)
	}
	for _, i := range sim.witness.intents {
		fmt.Fprint(&b, "i", i.outcome.Execution)
	}
	fmt.Fprint(&b, "s", len(sim.witness.seals))
	reported := [3]bool{}
	for _, t := range sim.outcomes {
		reported[t] = true
	}
	fmt.Fprint(&b, reported)
	return b.String()
}
