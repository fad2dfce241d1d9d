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
	name  string
	rules guards
}{
	{"intent before dispatch", guards{skipIntent: true}},
	{"refusal of an intent after a seal", guards{skipSealCheck: true}},
	{"finality of not-run", guards{skipFinality: true}},
	{"incarnation check", guards{skipIncarnation: true}},
	{"expiry refusal", guards{skipExpiry: true}},
	{"no second try after a broken spill", guards{skipProof: true}},
}

// choices are the walk's limits on one path.
type choices struct {
	crashes int
	copies  int
	seals   int
	ages    int
	dups    int
}

// walk visits every interleaving from a world on, and returns the first path
// that breaks a promise.
type walk struct {
	seen map[string]bool
}

func (k *walk) visit(w *world, left choices, path []string) []string {
	if why := w.violation(); why != "" {
		return append(path, why)
	}
	key := fmt.Sprint(left) + w.print()
	if k.seen[key] {
		return nil
	}
	k.seen[key] = true
	for _, next := range k.moves(w, left) {
		if bad := k.visit(next.world, next.left, append(path[:len(path):len(path)], next.name)); bad != nil {
			return bad
		}
	}
	return nil
}

type move struct {
	name  string
	world *world
	left  choices
}

func (k *walk) moves(w *world, left choices) []move {
	var moves []move
	add := func(name string, left choices, change func(*world)) {
		next := w.clone()
		change(next)
		moves = append(moves, move{name: name, world: next, left: left})
	}
	for i, m := range w.net {
		add(fmt.Sprintf("deliver %d", m.kind), left, func(w *world) { w.deliver(w.take(i)) })
		add(fmt.Sprintf("lose %d", m.kind), left, func(w *world) { w.take(i) })
		if m.kind == toRun {
			add("refuse", left, func(w *world) { w.refuse(i) })
		}
		if left.dups > 0 && (m.kind == toWitness || m.kind == toRecorded || m.kind == toSeal) {
			fewer := left
			fewer.dups--
			add(fmt.Sprintf("repeat %d", m.kind), fewer, func(w *world) { w.deliver(m) })
		}
	}
	if left.copies > 0 {
		fewer := left
		fewer.copies--
		add("copy", fewer, func(w *world) { w.send(message{kind: toOwner, copy: left.copies}) })
	}
	if left.seals > 0 {
		fewer := left
		fewer.seals--
		add("seal", fewer, func(w *world) { w.send(message{kind: toSeal, copy: left.seals}) })
	}
	if left.crashes > 0 {
		fewer := left
		fewer.crashes--
		add("crash owner", fewer, (*world).restartOwner)
		add("crash witness", fewer, (*world).restartWitness)
	}
	if left.ages > 0 {
		fewer := left
		fewer.ages--
		add("age owner", fewer, func(w *world) { w.age(0) })
		add("age witness", fewer, func(w *world) { w.age(2 * time.Minute) })
	}
	return moves
}

// age lets the token expire and be forgotten, at both, or at the witness alone
// when its clock has jumped ahead by skew.
func (w *world) age(skew time.Duration) {
	if skew > 0 {
		w.skew = skew
	} else {
		w.now = w.now.Add(2 * time.Minute)
	}
	w.owner.Sweep(w.now)
	w.book.Sweep(w.now.Add(w.skew))
}

func exhaust(rules guards, left choices) []string {
	k := &walk{seen: make(map[string]bool)}
	return k.visit(newWorld(rules), left, nil)
}

// The small case: one token, two relays, one crash at any step, and one
// message repeated or one clock that jumps.
var smallCases = []choices{
	{copies: 2, seals: 2, crashes: 1},
	{copies: 2, seals: 1, dups: 1},
	{copies: 2, seals: 1, ages: 1, crashes: 1},
}

func TestModelExhaustive(t *testing.T) {
	t.Parallel()
	for _, c := range smallCases {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			k := &walk{seen: make(map[string]bool)}
			bad := k.visit(newWorld(guards{}), c, nil)
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
			for _, c := range smallCases {
				if bad := exhaust(m.rules, c); bad != nil {
					t.Logf("found: %v", bad)
					return
				}
			}
			t.Fatal("no path found that breaks a promise")
		})
	}
}

// drive takes random steps, longer and with more of everything than the walk.
func drive(t *rapid.T, rules guards) {
	w := newWorld(rules)
	actions := map[string]func(*rapid.T){
		"copy": func(*rapid.T) { w.send(message{kind: toOwner}) },
		"seal": func(*rapid.T) { w.send(message{kind: toSeal}) },
		"deliver": func(t *rapid.T) {
			w.deliver(w.take(anyMessage(t, w)))
		},
		"lose": func(t *rapid.T) { w.take(anyMessage(t, w)) },
		"repeat": func(t *rapid.T) {
			m := w.net[anyMessage(t, w)]
			// The streams never repeat what reaches an upstream.
			if m.kind == toRun || m.kind == toRan {
				t.Skip("not repeated")
			}
			w.deliver(m)
		},
		"refuse": func(t *rapid.T) {
			i := anyMessage(t, w)
			if w.net[i].kind != toRun {
				t.Skip("not at an upstream")
			}
			w.refuse(i)
		},
		"crash owner":   func(*rapid.T) { w.restartOwner() },
		"crash witness": func(*rapid.T) { w.restartWitness() },
		"jump": func(t *rapid.T) {
			w.skew = time.Duration(rapid.IntRange(-300, 300).Draw(t, "skew")) * time.Second
		},
		"pass": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(-60, 90).Draw(t, "time")) * time.Second)
		},
		"sweep": func(*rapid.T) {
			w.owner.Sweep(w.now)
			w.book.Sweep(w.now.Add(w.skew))
		},
		"": func(t *rapid.T) {
			if why := w.violation(); why != "" {
				t.Fatalf("%s", why)
			}
		},
	}
	t.Repeat(actions)
}

func anyMessage(t *rapid.T, w *world) int {
	if len(w.net) == 0 {
		t.Skip("nothing on its way")
	}
	return rapid.IntRange(0, len(w.net)-1).Draw(t, "message")
}

func TestModelRandom(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		t.Logf("no fixed seed; rapid prints the seed of what it finds")
	}
	rapid.Check(t, func(t *rapid.T) { drive(t, guards{}) })
}
