// Command waxwingd is the daemon that runs on each entry VM. It exits with 1 after a
// failure and with 2 on invalid settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/waxwingloom/waxwingloom/internal/kernel/runner"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

// Exit codes.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	app := &cli.Command{
		Name:  "waxwingd",
		Usage: "steer callers' requests to upstreams, on one entry VM",
		Commands: []*cli.Command{
			{Name: "check", Usage: "check the settings and end", Flags: settingsFlag(), Action: check},
			{Name: "serve", Usage: "run until a planned stop by SIGTERM or SIGINT", Flags: settingsFlag(), Action: serve},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCode(err)
	}
	return 0
}

// exitCode returns the exit code for an error. Invalid settings have a code of their own,
// since a restart does not help.
func exitCode(err error) int {
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return exitFailed
}

func settingsFlag() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "the INI `FILE` of settings", Required: true}}
}

func check(_ context.Context, c *cli.Command) error {
	_, err := loadSettings(c)
	if err == nil {
		fmt.Println("settings are good")
	}
	return err
}

func serve(ctx context.Context, c *cli.Command) error {
	// Without this, a line of the log after its reader has gone ends the process.
	signal.Ignore(syscall.SIGPIPE)
	// A request to reload may come while the settings are read for the first time.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	settings, err := loadSettings(c)
	if err != nil {
		return err
	}
	return runner.Run(ctx, settings, os.Stdout, runner.WithReload(c.String("settings"), reload))
}

func loadSettings(c *cli.Command) (loader.Settings, error) {
	settings, err := loader.Load(c.String("settings"))
	if err != nil {
		return settings, cli.Exit(err.Error(), exitInvalidSettings)
	}
	return settings, nil
}
