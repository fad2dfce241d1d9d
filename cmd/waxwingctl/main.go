// Command waxwingctl is the operators' command line client. It exits with 0 on success, 1
// when a command failed or was refused or a check found something, 2 on wrong usage or a
// document that can't be used, and 3 when the outcome of an edit is unknown.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/waxwingloom/waxwingloom/internal/ctl/executor"
	"github.com/waxwingloom/waxwingloom/internal/ctl/requester"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/platform"
)

func main() {
	os.Exit(run())
}

func run() int {
	app := &cli.Command{
		Name:  "waxwingctl",
		Usage: "edit sections of the steering document and read back what is in force",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Usage: "the operators' `ADDRESS` of any daemon", Value: "127.0.0.1:7001", Sources: cli.EnvVars("WAXWING_DAEMON")},
			&cli.StringFlag{Name: "token", Usage: "the `FILE` that holds the operator's token", Sources: cli.EnvVars("WAXWING_TOKEN_FILE")},
			&cli.StringFlag{Name: "o", Usage: "the output's `FORM`: table or json", Value: "table"},
		},
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a document before it is sent, without a daemon", ArgsUsage: "FILE|FOLDER", Action: withExecutor(check),
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "against", Usage: "the document in force: a `FILE`, a folder, or daemon"},
					&cli.StringFlag{Name: "form", Usage: "the document's `FORM`: ini, or platform for the platform's record", Value: "ini"},
					&cli.StringFlag{Name: "section", Usage: "the `SECTION` in a file that is not named for it"},
				},
			},
			{
				Name: "apply", Usage: "send an edit of a section", ArgsUsage: "SECTION", Action: withExecutor(apply),
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "f", Usage: "the edit's `FILE`, as get printed it and then changed", Required: true},
					&cli.StringFlag{Name: "edit", Usage: "the edit's `ID`; the same ID again is no second edit"},
				},
			},
			{Name: "settle", Usage: "find out whether an edit was accepted", ArgsUsage: "EDIT", Action: withExecutor(settle)},
			{Name: "get", Usage: "print a section in force", ArgsUsage: "SECTION", Action: withExecutor(get)},
			{
				Name: "show", Usage: "print every key in force", Action: withExecutor(show),
				Flags: []cli.Flag{&cli.BoolFlag{Name: "why", Usage: "with generation, author and time of each"}},
			},
			{
				Name: "explain", Usage: "print where a caller is placed and why", Action: withExecutor(explain),
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "caller", Usage: "the caller's `IP`", Required: true},
					&cli.StringFlag{Name: "service", Aliases: []string{"s"}, Usage: "the `SERVICE`", Required: true},
				},
			},
			{Name: "status", Usage: "print every entry VM with its state and generation", Action: withExecutor(status)},
			{Name: "history", Usage: "print the latest accepted edits", Action: withExecutor(history)},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return errors.Mark(err, executor.ErrUsage)
		},
	}
	err := app.Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return executor.ExitCode(markUsage(err))
}

// markUsage marks the command line library's error about a missing flag as wrong usage.
// The library exports no type for it, and a subcommand does not inherit OnUsageError.
func markUsage(err error) error {
	if err != nil && strings.HasPrefix(err.Error(), "Required flag") {
		return errors.Mark(err, executor.ErrUsage)
	}
	return err
}

func newExecutor(c *cli.Command) (*executor.Executor, error) {
	if form := c.String("o"); form != "table" && form != "json" {
		return nil, errors.Wrapf(executor.ErrUsage, "-o %q; allowed: table, json", form)
	}
	token := ""
	if file := c.String("token"); file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "reading the token"), executor.ErrUsage)
		}
		token = strings.TrimSpace(string(raw))
	}
	return executor.New(requester.New(c.String("daemon"), token), os.Stdout, c.String("o") == "json"), nil
}

// withExecutor returns a command's action that creates an executor from the global flags
// and passes it to do.
func withExecutor(do func(ctx context.Context, e *executor.Executor, c *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		e, err := newExecutor(c)
		if err != nil {
			return err
		}
		return do(ctx, e, c)
	}
}

func onlyArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", errors.Wrapf(executor.ErrUsage, "%s takes one argument: %s", c.Name, name)
	}
	return c.Args().First(), nil
}

func sectionArgument(c *cli.Command) (parser.Section, error) {
	name, err := onlyArgument(c, "SECTION")
	if err != nil {
		return "", err
	}
	if !parser.Section(name).Valid() {
		return "", errors.Wrapf(executor.ErrUsage, "no section %q; allowed: %v", name, parser.Sections())
	}
	return parser.Section(name), nil
}

func check(ctx context.Context, e *executor.Executor, c *cli.Command) error {
	path, err := onlyArgument(c, "FILE|FOLDER")
	if err != nil {
		return err
	}
	options := executor.CheckOptions{Section: c.String("section"), Against: c.String("against")}
	switch form := c.String("form"); form {
	case "ini":
	case "platform":
		options.Decode = platform.DecodeConfig
	default:
		return errors.Wrapf(executor.ErrUsage, "-form %q; allowed: ini, platform", form)
	}
	return e.Check(ctx, path, options)
}

func apply(ctx context.Context, e *executor.Executor, c *cli.Command) error {
	s, err := sectionArgument(c)
	if err != nil {
		return err
	}
	return e.Apply(ctx, s, c.String("f"), c.String("edit"))
}

func settle(ctx context.Context, e *executor.Executor, c *cli.Command) error {
	id, err := onlyArgument(c, "EDIT")
	if err != nil {
		return err
	}
	return e.Settle(ctx, id)
}

func get(ctx context.Context, e *executor.Executor, c *cli.Command) error {
	s, err := sectionArgument(c)
	if err != nil {
		return err
	}
	return e.Get(ctx, s)
}

func show(ctx context.Context, e *executor.Executor, c *cli.Command) error {
	return e.Show(ctx, c.Bool("why"))
}

func explain(ctx context.Context, e *executor.Executor, c *cli.Command) error {
	return e.Explain(ctx, c.String("caller"), namer.Service(c.String("service")))
}

func status(ctx context.Context, e *executor.Executor, _ *cli.Command) error {
	return e.Status(ctx)
}

func history(ctx context.Context, e *executor.Executor, _ *cli.Command) error {
	return e.History(ctx)
}
