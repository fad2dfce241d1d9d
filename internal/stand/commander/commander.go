// Package commander runs the stand-ins and the load tool as processes. Each
// logs where it listens, since the kernel may choose the port.
//
// # Usage
//
//	err := commander.Platform(ctx, "127.0.0.1:0")
package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/stand/driver"
	"github.com/waxwingloom/waxwingloom/internal/stand/storekeeper"
	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

const (
	headerTime   = 10 * time.Second
	shutdownTime = time.Second
)

// CallerOptions is the load tool's options as given on the command line.
type CallerOptions struct {
	Plan     string
	Entries  string
	Sources  string
	Duration time.Duration
	Try      time.Duration
	Seed     uint64
	Out      string
}

// Platform serves the stand-in of the object API until ctx ends.
func Platform(ctx context.Context, listen string) error {
	return serve(ctx, listen, storekeeper.New(clockwork.NewRealClock()).Handler())
}

// Upstream serves the stand-in of an upstream until ctx ends.
func Upstream(ctx context.Context, listen, name string, limits worker.Limits) error {
	return serve(ctx, listen, worker.New(name, limits, clockwork.NewRealClock()).Handler())
}

// Callers sends the plan's load and writes the report.
func Callers(ctx context.Context, o CallerOptions, out io.Writer) error {
	text, err := os.ReadFile(o.Plan)
	if err != nil {
		return errors.Wrap(err, "reading the plan")
	}
	loads, err := driver.ParseLoads(o.Plan, text)
	if err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	slog.Info("listening", "address", "none")
	report, err := driver.Run(ctx, driver.Plan{
		EntryAddresses: strings.Split(o.Entries, ","), SourceAddresses: strings.Split(o.Sources, ","),
		Loads: loads, Duration: o.Duration, AttemptTimeout: o.Try, Seed: o.Seed,
	})
	if err != nil {
		return err
	}
	if o.Out != "" {
		raw, err := json.Marshal(report)
		if err != nil {
			return errors.Wrap(err, "encoding the report")
		}
		if err := os.WriteFile(o.Out, raw, 0o600); err != nil {
			return errors.Wrap(err, "writing the report")
		}
	}
	_, err = fmt.Fprintf(out, "requests=%d answered=%d refused=%d unknown=%d mismatched=%d p50=%dus p99=%dus\n",
		report.Requests, report.Answered, report.Refused, report.Unknown, report.Mismatched, report.P50Micros, report.P99Micros)
	return errors.Wrap(err, "printing the report")
}

func serve(ctx context.Context, listen string, handler http.Handler) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "opening a listener")
	}
	slog.Info("listening", "address", ln.Addr().String())
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTime,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTime)
		defer cancel()
		_ = server.Shutdown(ctx)
		_ = server.Close()
	})
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serving")
	}
	return nil
}
