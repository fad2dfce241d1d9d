// Package logger writes one line of key=value pairs for each event. Lines are buffered for
// a short time, since every routing and placement decision is logged. Lines below level
// warn are limited in rate; the number of dropped lines is logged.
//
// # Usage
//
//	log, flush := logger.New(os.Stderr, "info")
//	defer flush()
//	log.Info("routed", "service", "blank-desk")
package logger

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	flushInterval = 100 * time.Millisecond
	// flushThresholdBytes is the buffered size above which lines are flushed before the
	// interval is over.
	flushThresholdBytes = 64 << 10
	// maxBufferedBytes bounds the buffer while the log's reader stalls. Lines beyond it are
	// dropped and counted, so that a full disk does not block requests.
	maxBufferedBytes = 16 << 20
)

// bufferedWriter buffers lines and flushes them at intervals. It writes without holding its
// lock, so that a slow write does not block requests. If the process is killed, the lines
// since the last flush are lost.
type bufferedWriter struct {
	out      io.Writer
	flushNow chan struct{}
	stop     chan struct{}
	done     chan struct{}
	// overRate counts the lines dropped since the last flush because of their rate.
	overRate atomic.Int64

	mu    sync.Mutex
	lines []byte
	// spare is the buffer of the previous flush, for reuse.
	spare []byte
	// overSize counts the lines dropped since the last flush because the buffer was full.
	overSize int
}

// New returns a logger that writes lines of at least a level to w: debug, info, warn or
// error; any other level means info. The returned function flushes the buffered lines and
// stops the flushing at intervals.
func New(w io.Writer, level string) (*slog.Logger, func()) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		minLevel = slog.LevelInfo
	}
	b := &bufferedWriter{out: w, flushNow: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	log := slog.New(limitRate(slog.NewTextHandler(b, &slog.HandlerOptions{Level: minLevel}), &b.overRate))
	return log, sync.OnceFunc(func() {
		close(b.stop)
		<-b.done
	})
}

// Write implements io.Writer.
func (b *bufferedWriter) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lines)+len(p) > maxBufferedBytes {
		b.overSize++
		return len(p), nil
	}
	b.lines = append(b.lines, p...)
	if len(b.lines) > flushThresholdBytes {
		select {
		case b.flushNow <- struct{}{}:
		default:
		}
	}
	return len(p), nil
}

// run flushes the lines until stop is closed, and then once more.
func (b *bufferedWriter) run() {
	defer close(b.done)
	defer b.flush()
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-b.flushNow:
		case <-ticker.C:
		}
		b.flush()
	}
}

// flush writes the buffered lines. Only run calls it, so lines keep their order.
func (b *bufferedWriter) flush() {
	b.mu.Lock()
	lines := b.lines
	overSize := b.overSize
	b.lines = b.spare[:0]
	b.overSize = 0
	b.mu.Unlock()
	if overRate := b.overRate.Swap(0); overRate > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"lines dropped\" count=%d reason=\"more lines than the rate allows\"\n", overRate)
	}
	if overSize > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"lines dropped\" count=%d reason=\"the log's reader is too slow\"\n", overSize)
	}
	if len(lines) > 0 {
		_, _ = b.out.Write(lines)
	}
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}
