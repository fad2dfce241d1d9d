// Command waxwingstand simulates the systems around waxwingloom (the platform, upstreams
// and callers) and runs tests and measurements with them. It is not part of a deployment.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/waxwingloom/waxwingloom/internal/stand/assessor"
	"github.com/waxwingloom/waxwingloom/internal/stand/commander"
	"github.com/waxwingloom/waxwingloom/internal/stand/demonstrator"
	"github.com/waxwingloom/waxwingloom/internal/stand/gauger"
	"github.com/waxwingloom/waxwingloom/internal/stand/plotter"
	"github.com/waxwingloom/waxwingloom/internal/stand/prover"
	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	app := &cli.Command{
		Name:     "waxwingstand",
		Usage:    "stand-ins of the systems that waxwingloom serves, and a load of callers",
		Commands: []*cli.Command{platform(), upstream(), caller(), demo(), measure(), capacity(), faults(), plots()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "the `ADDRESS` to listen on", Value: "127.0.0.1:0"}
}

func platform() *cli.Command {
	return &cli.Command{
		Name: "platform", Usage: "the platform's object API",
		Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return commander.ServePlatform(ctx, c.String("listen"))
		},
	}
}

func upstream() *cli.Command {
	return &cli.Command{
		Name: "upstream", Usage: "an upstream with slots and a journal",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Usage: "the upstream's `NAME`", Required: true},
			&cli.Int64Flag{Name: "slots", Usage: "the weight that it runs at once", Value: 6},
			&cli.DurationFlag{Name: "work", Usage: "how long one request takes", Value: 8 * time.Millisecond},
			&cli.FloatFlag{Name: "cold", Usage: "how much longer its first answers take, as a factor"},
			&cli.DurationFlag{Name: "warm", Usage: "how long it takes to warm up"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			limits := worker.Limits{
				Slots: c.Int64("slots"), Work: c.Duration("work"), Cold: c.Float("cold"), Warm: c.Duration("warm"),
			}
			return commander.ServeUpstream(ctx, c.String("listen"), c.String("name"), limits)
		},
	}
}

func caller() *cli.Command {
	return &cli.Command{
		Name: "caller", Usage: "an open-loop load of callers, which stops by itself",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plan", Usage: "the INI `FILE` of loads", Required: true},
			&cli.StringFlag{Name: "entries", Usage: "`ADDRESSES` of entry VMs, separated by commas", Required: true},
			&cli.StringFlag{Name: "sources", Usage: "loopback `IPS` of callers, separated by commas", Value: "127.0.0.1"},
			&cli.DurationFlag{Name: "duration", Usage: "how long to send", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "try", Usage: "the time for one try at one entry VM", Value: 2 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "the seed of the requests' bodies", Value: 1},
			&cli.StringFlag{Name: "out", Usage: "the `FILE` of the report as JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return commander.RunCallers(ctx, commander.CallerOptions{
				PlanFile: c.String("plan"), EntryAddresses: c.String("entries"), SourceAddresses: c.String("sources"),
				Duration: c.Duration("duration"), AttemptTimeout: c.Duration("try"), Seed: c.Uint64("seed"), ReportFile: c.String("out"),
			}, os.Stdout)
		},
	}
}

func demo() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "a whole deployment on loopback under faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "programs", Usage: "the `FOLDER` of the built programs", Value: "bin"},
			&cli.StringFlag{Name: "example", Usage: "the `FOLDER` of the steering document", Value: "examples/lonestar"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the logs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			o := demonstrator.Options{ProgramDir: c.String("programs"), ExampleDir: c.String("example"), KeepLogs: c.Bool("keep")}
			return demonstrator.Run(ctx, o, os.Stdout)
		},
	}
}

func measure() *cli.Command {
	return &cli.Command{
		Name: "measure", Usage: "what the system adds to a request's way, and what a kill costs, on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "programs", Usage: "the `FOLDER` of the built programs", Value: "bin"},
			&cli.BoolFlag{Name: "once", Usage: "of a once-only request, rather than of an idempotent read"},
			&cli.BoolFlag{Name: "spread", Usage: "how long an edit takes to be in force everywhere"},
			&cli.BoolFlag{Name: "kill", Usage: "how many orders end as unknown when a daemon is killed"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Bool("spread") {
				return gauger.MeasureEditPropagation(ctx, c.String("programs"), "examples/lonestar", os.Stdout)
			}
			if c.Bool("kill") {
				return gauger.MeasureKill(ctx, c.String("programs"), os.Stdout)
			}
			if c.Bool("once") {
				return gauger.MeasureOnce(ctx, c.String("programs"), os.Stdout)
			}
			return gauger.MeasureRead(ctx, c.String("programs"), os.Stdout)
		},
	}
}

func capacity() *cli.Command {
	return &cli.Command{
		Name: "capacity", Usage: "what control costs one entry VM at the planned size",
		Action: func(context.Context, *cli.Command) error {
			return assessor.Run(os.Stdout)
		},
	}
}

func faults() *cli.Command {
	return &cli.Command{
		Name: "faults", Usage: "every fault at every step of a once-only request's way",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "programs", Usage: "the `FOLDER` of the built programs", Value: "bin"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return prover.Run(ctx, c.String("programs"), os.Stdout)
		},
	}
}

func plots() *cli.Command {
	return &cli.Command{
		Name: "plots", Usage: "draw the scores in the journal of the users' bench, one file a site",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "journal", Usage: "the `DIRECTORY` of the journal", Value: "journal"},
			&cli.StringFlag{Name: "to", Usage: "the `DIRECTORY` of the plots", Value: "docs/plots"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			sites, err := plotter.ReadScores(c.String("journal"))
			if err != nil {
				return err
			}
			return plotter.Draw(c.String("to"), sites)
		},
	}
}
