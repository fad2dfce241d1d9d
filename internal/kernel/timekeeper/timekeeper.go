// Package timekeeper tells for how long the machine has been suspended. A machine's steady
// clock, from which Go measures durations, stands still meanwhile, so that what was learned
// before the suspension looks younger than it is. The boot clock goes on.
//
// # Usage
//
//	k := timekeeper.New(clock, timekeeper.BootClock{})
//	suspended := k.Suspended()
package timekeeper

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

type (
	// Boot reads a clock that also goes on while the machine is suspended.
	Boot interface {
		// Read returns the time since an arbitrary moment.
		Read() (time.Duration, error)
	}

	// BootClock is the boot clock of the kernel.
	BootClock struct{}

	// Timekeeper compares the steady clock with the boot clock. It is safe for concurrent use.
	Timekeeper struct {
		clock     clockwork.Clock
		boot      Boot
		started   time.Time
		startedAt time.Duration

		mu        sync.Mutex
		suspended time.Duration
	}
)

// Read implements Boot.
func (BootClock) Read() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, errors.Wrap(err, "reading the boot clock")
	}
	return time.Duration(ts.Nano()), nil
}

// New returns a timekeeper that counts suspensions from now on. It fails if the boot clock
// can't be read.
func New(clock clockwork.Clock, boot Boot) (*Timekeeper, error) {
	// The boot clock is read first: a delay between both readings must not shorten suspensions.
	at, err := boot.Read()
	if err != nil {
		return nil, err
	}
	return &Timekeeper{clock: clock, boot: boot, started: clock.Now(), startedAt: at}, nil
}

// Suspended returns for how long the machine has been suspended since New. It never
// decreases. The boot clock is read first, so that a delay between both readings does not
// count as a suspension.
func (k *Timekeeper) Suspended() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, err := k.boot.Read()
	if err != nil {
		return k.suspended
	}
	k.suspended = max(k.suspended, at-k.startedAt-k.clock.Since(k.started))
	return k.suspended
}
