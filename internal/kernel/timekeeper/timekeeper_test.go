package timekeeper_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/timekeeper"
)

type boot struct {
	at  time.Duration
	err error
}

func (b *boot) Read() (time.Duration, error) { return b.at, b.err }

// TestSuspended checks that only time that the steady clock lacks counts.
func TestSuspended(t *testing.T) {
	t.Parallel()
	clock, b := clockwork.NewFakeClock(), &boot{at: time.Hour}
	k, err := timekeeper.New(clock, b)
	assert.NilError(t, err)
	run := func(d time.Duration) { clock.Advance(d); b.at += d }
	run(time.Minute)
	assert.Equal(t, k.Suspended(), time.Duration(0))
	b.at += 8 * time.Second
	run(time.Second)
	assert.Equal(t, k.Suspended(), 8*time.Second)
	// The boot clock was read before a pause, and the steady clock after it.
	clock.Advance(time.Second)
	assert.Equal(t, k.Suspended(), 8*time.Second)
	b.at, b.err = b.at+time.Hour, errors.New("none")
	assert.Equal(t, k.Suspended(), 8*time.Second)
	_, err = timekeeper.New(clock, b)
	assert.ErrorContains(t, err, "none")
}

// TestBootClock checks that the kernel's boot clock can be read and goes on.
func TestBootClock(t *testing.T) {
	t.Parallel()
	first, err := timekeeper.BootClock{}.Read()
	assert.NilError(t, err)
	second, err := timekeeper.BootClock{}.Read()
	assert.NilError(t, err)
	assert.Assert(t, first > 0 && second >= first)
}

// slowBoot is a boot clock before whose first reading the process gets no processor time.
type slowBoot struct {
	boot
	clock  *clockwork.FakeClock
	paused bool
}

func (b *slowBoot) Read() (time.Duration, error) {
	if !b.paused {
		b.paused = true
		b.clock.Advance(time.Second)
		b.at += time.Second
	}
	return b.at, nil
}

// TestPauseAtStart guards against a suspension that counts as shorter since the process got no
// processor time while the timekeeper was made.
func TestPauseAtStart(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	slow := &slowBoot{clock: clock}
	k, err := timekeeper.New(clock, slow)
	assert.NilError(t, err)
	slow.at += 8 * time.Second
	assert.Equal(t, k.Suspended(), 8*time.Second)
}
