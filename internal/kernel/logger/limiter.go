package logger

import (
	"context"
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// maxLinesPerSecond limits the rate of lines below level warn. A VM of the planned
	// type handles about 100 requests per second and logs two lines for each.
	maxLinesPerSecond = 400
	// maxLinesBurst is how many such lines may be logged at once.
	maxLinesBurst = 800
)

// rateLimitedHandler drops and counts the records that exceed a rate. Warnings and errors
// are never dropped.
type rateLimitedHandler struct {
	slog.Handler
	limiter *rate.Limiter
	dropped *atomic.Int64
}

func limitRate(h slog.Handler, dropped *atomic.Int64) slog.Handler {
	return rateLimitedHandler{Handler: h, limiter: rate.NewLimiter(maxLinesPerSecond, maxLinesBurst), dropped: dropped}
}

// Handle implements slog.Handler.
func (h rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelWarn && !h.limiter.AllowN(r.Time, 1) {
		h.dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	h.Handler = h.Handler.WithAttrs(attrs)
	return h
}

// WithGroup implements slog.Handler.
func (h rateLimitedHandler) WithGroup(name string) slog.Handler {
	h.Handler = h.Handler.WithGroup(name)
	return h
}
