// Package commander runs the test doubles and the load generator as processes.
// Each logs its listen address, since the kernel may choose the port.
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
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = time.Second
)

// CallerOptions are the load generator's options as given on the command line.
// EntryAddresses and SourceAddresses are lists separated by commas.
type CallerOptions struct {
	PlanFile        string
	EntryAddresses  string
	SourceAddresses string
	Duration        time.Duration
	AttemptTimeout  time.Duration
	Seed            uint64
	ReportFile      string
}

// ServePlatform serves the test double of the platform's object API until ctx
// ends.
func ServePlatform(ctx context.Context, listen string) error {
	return serve(ctx, listen, storekeeper.New(clockwork.NewRealClock()).Handler())
}

// ServeUpstream serves the test double of an upstream until ctx ends.
func ServeUpstream(ctx context.Context, listen, name string, limits worker.Limits) error {
	return serve(ctx, listen, worker.New(name, limits, clockwork.NewRealClock()).Handler())
}

// RunCallers sends the load that the plan file describes, writes the report as
// JSON if a file was given for it, and prints a summary to out. It logs that it
// listens on no address, as the other processes log theirs.
func RunCallers(ctx context.Context, opts CallerOptions, out io.Writer) error {
	text, err := os.ReadFile(opts.PlanFile)
	if err != nil {
		return errors.Wrap(err, "reading the plan")
	}
	loads, err := driver.ParseLoads(opts.PlanFile, text)
	if err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	slog.Info("listening", "address", "none")
	report, err := driver.Run(ctx, driver.Plan{
		EntryAddresses: strings.Split(opts.EntryAddresses, ","), SourceAddresses: strings.Split(opts.SourceAddresses, ","),
		Loads: loads, Duration: opts.Duration, AttemptTimeout: opts.AttemptTimeout, Seed: opts.Seed,
	})
	if err != nil {
		return err
	}
	if opts.ReportFile != "" {
		raw, err := json.Marshal(report)
		if err != nil {
			return errors.Wrap(err, "encoding the report")
		}
		if err := os.WriteFile(opts.ReportFile, raw, 0o600); err != nil {
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
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
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
