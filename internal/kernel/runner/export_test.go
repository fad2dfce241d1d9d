package runner

import (
	"context"
	"log/slog"

	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

// RunWithLogger is Run with a logger that the test provides.
func RunWithLogger(ctx context.Context, s loader.Settings, log *slog.Logger, opts ...Option) error {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	return run(ctx, s, log, o)
}
