package arbiter

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// mutants are the rules, each switched off alone.
var mutants = []struct {
	name     string
	disabled disabledChecks
}{
	{"intent before dispatch", disabledChecks{skipIntent: true}},
	{"refusal of an intent after a seal", disabledChecks{skipSealCheck: true}},
	{"finality of not-run", disabledChecks{skipFinality: true}},
	{"incarnation check", disabledChecks{skipIncarnation: true}},
	{"expiry refusal", disabledChecks{skipExpiry: true}},
	{"no second try after a broken spill", disabledChecks{skipProof: true}},
}

// pathLimits are the walk's limits on one path.
type pathLimits struct {
	crashes    int
	copies     int
	seals      int
	expiries   int
	duplicates int
}

// search visits every interleaving from a world on, and returns the first path
// that breaks a promise.
type search struct {
	seen map[string]bool
}

func (k *search) visit(w *simulation, left pathLimits, path []string) []string {
	if why := w.violation(); why != "" {
		return append(path, why)
	}
	key := fmt.Sprint(left) + w.stateKey()
	if k.seen[key] {
		return nil
	}
	k.seen[key] = true
	for _, next := range k.moves(w, left) {
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

func (k *search) moves(w *simulation, left pathLimits) []move {
	var moves []move
	add := func(name string, left pathLimits, change func(*simulation)) {
		next := w.clone()
		change(next)
		moves = append(moves, move{name: name, sim: next, left: left})
	}
	for i, m := range w.inFlight {
		add(fmt.Sprintf("deliver %d", m.kind), left, func(w *simulation) { w.deliver(w.remove(i)) })
		add(fmt.Sprintf("lose %d", m.kind), left, func(w *simulation) { w.remove(i) })
		if m.kind == msgDispatch {
			add("refuse", left, func(w *simulation) { w.refuse(i) })
		}
		if left.duplicates > 0 && (m.kind == msgIntent || m.kind == msgIntentVerdict || m.kind == msgSeal) {
			fewer := left
			fewer.duplicates--
			add(fmt.Sprintf("repeat %d", m.kind), fewer, func(w *simulation) { w.deliver(m) })
		}
	}
	if left.copies > 0 {
		fewer := left
		fewer.copies--
		add("copy", fewer, func(w *simulation) { w.send(message{kind: msgRequest, copyID: left.copies}) })
	}
	if left.seals > 0 {
		fewer := left
		fewer.seals--
		add("seal", fewer, func(w *simulation) { w.send(message{kind: msgSeal, copyID: left.seals}) })
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
		add("age owner", fewer, func(w *simulation) { w.expireToken(0) })
		add("age witness", fewer, func(w *simulation) { w.expireToken(2 * time.Minute) })
	}
	return moves
}

// expireToken lets the token expire and be forgotten, at both, or at the witness alone
// when its clock has jumped ahead by skew.
func (w *simulation) expireToken(skew time.Duration) {
	if skew > 0 {
		w.witnessSkew = skew
	} else {
		w.now = w.now.Add(2 * time.Minute)
	}
	w.owner.Sweep(w.now)
	w.witness.Sweep(w.now.Add(w.witnessSkew))
}

func findViolation(rules disabledChecks, left pathLimits) []string {
	k := &search{seen: make(map[string]bool)}
	return k.visit(newSimulation(rules), left, nil)
}

// The small case: one token, two relays, one crash at any step, and one
// message repeated or one clock that jumps.
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

// TestModelFindsFaults shows that the walk bites: with any one rule off it
// finds a path that breaks a promise.
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
			t.Fatal("no path found that breaks a promise")
		})
	}
}

// runRandomSteps takes random steps, longer and with more of everything than the walk.
func runRandomSteps(t *rapid.T, rules disabledChecks) {
	w := newSimulation(rules)
	actions := map[string]func(*rapid.T){
		"copy": func(*rapid.T) { w.send(message{kind: msgRequest}) },
		"seal": func(*rapid.T) { w.send(message{kind: msgSeal}) },
		"deliver": func(t *rapid.T) {
			w.deliver(w.remove(anyMessage(t, w)))
		},
		"lose": func(t *rapid.T) { w.remove(anyMessage(t, w)) },
		"repeat": func(t *rapid.T) {
			m := w.inFlight[anyMessage(t, w)]
			// The streams never repeat what reaches an upstream.
			if m.kind == msgDispatch || m.kind == msgRan {
				t.Skip("not repeated")
			}
			w.deliver(m)
		},
		"refuse": func(t *rapid.T) {
			i := anyMessage(t, w)
			if w.inFlight[i].kind != msgDispatch {
				t.Skip("not at an upstream")
			}
			w.refuse(i)
		},
		"crash owner":   func(*rapid.T) { w.restartOwner() },
		"crash witness": func(*rapid.T) { w.restartWitness() },
		"jump": func(t *rapid.T) {
			w.witnessSkew = time.Duration(rapid.IntRange(-300, 300).Draw(t, "skew")) * time.Second
		},
		"pass": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(-60, 90).Draw(t, "time")) * time.Second)
		},
		"sweep": func(*rapid.T) {
			w.owner.Sweep(w.now)
			w.witness.Sweep(w.now.Add(w.witnessSkew))
		},
		"": func(t *rapid.T) {
			if why := w.violation(); why != "" {
				t.Fatalf("%s", why)
			}
		},
	}
	t.Repeat(actions)
}

func anyMessage(t *rapid.T, w *simulation) int {
	if len(w.inFlight) == 0 {
		t.Skip("nothing on its way")
	}
	return rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")
}

func TestModelRandom(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		t.Logf("no fixed seed; rapid prints the seed of what it finds")
	}
	rapid.Check(t, func(t *rapid.T) { runRandomSteps(t, disabledChecks{}) })
}
