package arbiter

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// mutants are variants of the protocol, each with one check disabled.
var mutants = []struct {
	name     string
	disabled disabledChecks
}{
	{"intent before dispatch", disabledChecks{skipIntent: true}},
	{"seal check before accepting an intent", disabledChecks{skipSealCheck: true}},
	{"finality of not-run", disabledChecks{skipFinality: true}},
	{"incarnation check", disabledChecks{skipIncarnation: true}},
	{"expiry refusal", disabledChecks{skipExpiry: true}},
	{"no retry after an attempt with unknown result", disabledChecks{skipSentCheck: true}},
}

// pathLimits limits how often each event occurs on one path.
type pathLimits struct {
	crashes    int
	copies     int
	seals      int
	expiries   int
	duplicates int
}

// search is an exhaustive search over the interleavings of events. It returns the
// first path that violates a guarantee.
type search struct {
	seen map[string]bool
}

func (k *search) visit(sim *simulation, left pathLimits, path []string) []string {
	if why := sim.violation(); why != "" {
		return append(path, why)
	}
	key := fmt.Sprint(left) + sim.stateKey()
	if k.seen[key] {
		return nil
	}
	k.seen[key] = true
	for _, next := range k.moves(sim, left) {
		if bad := k.visit(next.sim, next.left, append(path[:len(path):len(path)], next.name)); bad != nil {
			return bad
		}
	}
	return nil
}

type move struct {
	name string
	sim  *simulation
	left pathLimits
}

func (k *search) moves(sim *simulation, left pathLimits) []move {
	var moves []move
	add := func(name string, left pathLimits, change func(*simulation)) {
		next := sim.clone()
		change(next)
		moves = append(moves, move{name: name, sim: next, left: left})
	}
	for i, m := range sim.inFlight {
		add(fmt.Sprintf("deliver %d", m.kind), left, func(sim *simulation) { sim.deliver(sim.remove(i)) })
		add(fmt.Sprintf("lose %d", m.kind), left, func(sim *simulation) { sim.remove(i) })
		if m.kind == msgDispatch {
			add("refuse", left, func(sim *simulation) { sim.refuse(i) })
		}
		if left.duplicates > 0 && (m.kind == msgIntent || m.kind == msgIntentVerdict || m.kind == msgSeal) {
			fewer := left
			fewer.duplicates--
			add(fmt.Sprintf("repeat %d", m.kind), fewer, func(sim *simulation) { sim.deliver(m) })
		}
	}
	if left.copies > 0 {
		fewer := left
		fewer.copies--
		add("copy", fewer, func(sim *simulation) { sim.send(message{kind: msgRequest, copyID: left.copies}) })
	}
	if left.seals > 0 {
		fewer := left
		fewer.seals--
		add("seal", fewer, func(sim *simulation) { sim.send(message{kind: msgSeal, copyID: left.seals}) })
	}
	if left.crashes > 0 {
		fewer := left
		fewer.crashes--
		add("crash owner", fewer, (*simulation).restartOwner)
		add("crash witness", fewer, (*simulation).restartWitness)
	}
	if left.expiries > 0 {
		fewer := left
		fewer.expiries--
		add("age owner", fewer, func(sim *simulation) { sim.expireToken(0) })
		add("age witness", fewer, func(sim *simulation) { sim.expireToken(2 * time.Minute) })
	}
	return moves
}

// expireToken lets the token expire and deletes its state, at owner and witness.
// With a skew it does so only at the witness, whose clock jumps ahead by skew.
func (sim *simulation) expireToken(skew time.Duration) {
	if skew > 0 {
		sim.witnessSkew = skew
	} else {
		sim.now = sim.now.Add(2 * time.Minute)
	}
	sim.owner.Sweep(sim.now)
	sim.witness.Sweep(sim.now.Add(sim.witnessSkew))
}

func findViolation(disabled disabledChecks, left pathLimits) []string {
	k := &search{seen: make(map[string]bool)}
	return k.visit(newSimulation(disabled), left, nil)
}

// searchLimits keep the exhaustive search small: one token, two copies of its
// request, up to two relays that ask for a seal, and a crash at any step, a
// duplicated message, or an expiry or clock jump with a crash.
var searchLimits = []pathLimits{
	{copies: 2, seals: 2, crashes: 1},
	{copies: 2, seals: 1, duplicates: 1},
	{copies: 2, seals: 1, expiries: 1, crashes: 1},
}

func TestModelExhaustive(t *testing.T) {
	t.Parallel()
	for _, c := range searchLimits {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			k := &search{seen: make(map[string]bool)}
			bad := k.visit(newSimulation(disabledChecks{}), c, nil)
			assert.Assert(t, bad == nil, "path: %v", bad)
			t.Logf("%d states", len(k.seen))
		})
	}
}

// TestModelFindsFaults checks that the search can detect faults: with any one
// check disabled it finds a path that violates a guarantee.
func TestModelFindsFaults(t *testing.T) {
	t.Parallel()
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for _, c := range searchLimits {
				if bad := findViolation(m.disabled, c); bad != nil {
					t.Logf("found: %v", bad)
					return
				}
			}
			t.Fatal("no path found that violates a guarantee")
		})
	}
}

// runRandomSteps takes random steps. Its paths are longer than those of the search,
// and have more of each event.
func runRandomSteps(t *rapid.T, disabled disabledChecks) {
	sim := newSimulation(disabled)
	actions := map[string]func(*rapid.T){
		"copy": func(*rapid.T) { sim.send(message{kind: msgRequest}) },
		"seal": func(*rapid.T) { sim.send(message{kind: msgSeal}) },
		"deliver": func(t *rapid.T) {
			sim.deliver(sim.remove(anyMessage(t, sim)))
		},
		"lose": func(t *rapid.T) { sim.remove(anyMessage(t, sim)) },
		"repeat": func(t *rapid.T) {
			m := sim.inFlight[anyMessage(t, sim)]
			// Streams never duplicate what is sent to an upstream or returned by it.
			if m.kind == msgDispatch || m.kind == msgRan {
				t.Skip("not a message that can be duplicated")
			}
			sim.deliver(m)
		},
		"refuse": func(t *rapid.T) {
			i := anyMessage(t, sim)
			if sim.inFlight[i].kind != msgDispatch {
				t.Skip("not a request at an upstream")
			}
			sim.refuse(i)
		},
		"crash owner":   func(*rapid.T) { sim.restartOwner() },
		"crash witness": func(*rapid.T) { sim.restartWitness() },
		"jump": func(t *rapid.T) {
			sim.witnessSkew = time.Duration(rapid.IntRange(-300, 300).Draw(t, "skew")) * time.Second
		},
		"pass": func(t *rapid.T) {
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(-60, 90).Draw(t, "time")) * time.Second)
		},
		"sweep": func(*rapid.T) {
			sim.owner.Sweep(sim.now)
			sim.witness.Sweep(sim.now.Add(sim.witnessSkew))
		},
		"": func(t *rapid.T) {
			if why := sim.violation(); why != "" {
				t.Fatalf("%s", why)
			}
		},
	}
	t.Repeat(actions)
}

func anyMessage(t *rapid.T, sim *simulation) int {
	if len(sim.inFlight) == 0 {
		t.Skip("no message in flight")
	}
	return rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "message")
}

func TestModelRandom(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		t.Logf("no fixed seed set; rapid prints the seed of a failure")
	}
	rapid.Check(t, func(t *rapid.T) { runRandomSteps(t, disabledChecks{}) })
}
