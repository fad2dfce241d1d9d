// Package logger writes one key=value line for each event. Lines are buffered
// for a short time, since every routing and placement decision has one. Lines
// below a warning are bounded in rate; what is dropped is counted in a line.
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
	// fullBytes is how much is buffered before a flush comes early.
	fullBytes = 64 << 10
	// mostBytes bounds the buffer when the log's reader stalls. Lines beyond
	// it are dropped and counted, so that a full disk stops no request.
	mostBytes = 16 << 20
)

// buffered is a writer that is flushed at intervals, outside its lock, so that
// a slow write holds up no request. A process that is killed loses what came
// since the last flush.
type buffered struct {
	out   io.Writer
	full  chan struct{}
	stop  chan struct{}
	ended chan struct{}
	// over counts the lines beyond the rate since the last flush.
	over atomic.Int64

	mu      sync.Mutex
	lines   []byte
	spare   []byte
	dropped int
}

// New returns a logger at a level: debug, info, warn or error.
func New(w io.Writer, level string) (*slog.Logger, func()) {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		least = slog.LevelInfo
	}
	b := &buffered{out: w, full: make(chan struct{}, 1), stop: make(chan struct{}), ended: make(chan struct{})}
	go b.run()
	log := slog.New(limit(slog.NewTextHandler(b, &slog.HandlerOptions{Level: least}), &b.over))
	return log, sync.OnceFunc(func() {
		close(b.stop)
		<-b.ended
	})
}

// Write implements io.Writer.
func (b *buffered) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lines)+len(p) > mostBytes {
		b.dropped++
		return len(p), nil
	}
	b.lines = append(b.lines, p...)
	if len(b.lines) > fullBytes {
		select {
		case b.full <- struct{}{}:
		default:
		}
	}
	return len(p), nil
}

func (b *buffered) run() {
	defer close(b.ended)
	defer b.flush()
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-b.full:
		case <-ticker.C:
		}
		b.flush()
	}
}

// flush writes what is buffered. Only run calls it, so lines keep their order.
func (b *buffered) flush() {
	b.mu.Lock()
	lines := b.lines
	dropped := b.dropped
	b.lines = b.spare[:0]
	b.dropped = 0
	b.mu.Unlock()
	if over := b.over.Swap(0); over > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"lines dropped\" count=%d reason=\"more lines than the rate allows\"\n", over)
	}
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"lines dropped\" count=%d reason=\"the log's reader is too slow\"\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = b.out.Write(lines)
	}
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}
