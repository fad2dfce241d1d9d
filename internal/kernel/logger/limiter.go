package logger

import (
	"context"
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond bounds the lines below a warning. A VM of the planned kind
	// takes about a hundred requests a second, with two lines each.
	linesPerSecond = 400
	// linesBurst is how many of them may come at once.
	linesBurst = 800
)

// limited is a handler that drops lines beyond a rate and counts them.
// Warnings and errors always pass.
type limited struct {
	slog.Handler
	limiter *rate.Limiter
	dropped *atomic.Int64
}

func limit(h slog.Handler, dropped *atomic.Int64) slog.Handler {
	return limited{Handler: h, limiter: rate.NewLimiter(linesPerSecond, linesBurst), dropped: dropped}
}

// Handle implements slog.Handler.
func (l limited) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelWarn && !l.limiter.AllowN(r.Time, 1) {
		l.dropped.Add(1)
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l limited) WithAttrs(attrs []slog.Attr) slog.Handler {
	l.Handler = l.Handler.WithAttrs(attrs)
	return l
}

// WithGroup implements slog.Handler.
func (l limited) WithGroup(name string) slog.Handler {
	l.Handler = l.Handler.WithGroup(name)
	return l
}
