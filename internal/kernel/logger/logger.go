// Package logger writes one key=value line for each event. Lines are buffered
// for a short time, since every routing and placement decision has one.
//
// # Usage
//
//	log, flush := logger.New(os.Stderr, "info")
//	defer flush()
//	log.Info("routed", "service", "blank-desk")
package logger

import (
	"bufio"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	bufferBytes   = 64 << 10
	flushInterval = 100 * time.Millisecond
)

// buffered is a writer that is flushed at intervals. A process that is killed
// loses what came since the last.
type buffered struct {
	mu   sync.Mutex
	buf  *bufio.Writer
	stop chan struct{}
}

// New returns a logger at a level: debug, info, warn or error.
func New(w io.Writer, level string) (*slog.Logger, func()) {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		least = slog.LevelInfo
	}
	b := &buffered{buf: bufio.NewWriterSize(w, bufferBytes), stop: make(chan struct{})}
	go b.run()
	log := slog.New(slog.NewTextHandler(b, &slog.HandlerOptions{Level: least}))
	return log, sync.OnceFunc(func() {
		close(b.stop)
		b.flush()
	})
}

// Write implements io.Writer.
func (b *buffered) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *buffered) run() {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
			b.flush()
		}
	}
}

func (b *buffered) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.buf.Flush()
}
