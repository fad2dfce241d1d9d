package dialer_test

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/waxwingloom/waxwingloom/internal/kernel/dialer"
)

// TestRedial checks that a connection whose first packets are dropped, as by a machine that is
// starting, is tried again before the kernel sends them again, and that a refusal is final.
func TestRedial(t *testing.T) {
	t.Parallel()
	timedOut := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for name, tc := range map[string]struct {
		errs     []error
		attempts []time.Duration
		err      error
	}{
		"first":   {errs: []error{nil}, attempts: []time.Duration{250 * time.Millisecond}},
		"third":   {errs: []error{timedOut, timedOut, nil}, attempts: []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond}},
		"refused": {errs: []error{timedOut, refused}, attempts: []time.Duration{250 * time.Millisecond, 500 * time.Millisecond}, err: refused},
		"never": {
			errs:     []error{timedOut, timedOut, timedOut},
			attempts: []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond}, err: timedOut,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var attempts []time.Duration
			_, err := dialer.Redial(1500*time.Millisecond, func(timeout time.Duration) (net.Conn, error) {
				attempts = append(attempts, timeout)
				return nil, tc.errs[len(attempts)-1]
			})
			assert.DeepEqual(t, attempts, tc.attempts)
			assert.Equal(t, err, tc.err)
		})
	}
}
