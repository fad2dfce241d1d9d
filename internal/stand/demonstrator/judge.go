package demonstrator

import (
	"context"
	"strings"

	"github.com/waxwingloom/waxwingloom/internal/stand/driver"
	"github.com/waxwingloom/waxwingloom/internal/stand/launcher"
	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

type (
	// Verdict holds what callers were told against what upstreams ran.
	Verdict struct {
		// Duplicated counts orders that ran more than once, under one token or
		// under several.
		Duplicated int
		// FalseNotRun counts tokens of which a caller was told not-run and
		// which ran.
		FalseNotRun int
		// FalseRan counts tokens of which a caller was told ran and which did
		// not run.
		FalseRan int
		// Ran counts the orders that upstreams ran.
		Ran int
	}

	// runs counts how often a name stands in the journals.
	runs map[string]int
)

// Journals reads every upstream's journal.
func Journals(ctx context.Context, upstreams []*launcher.Upstream) ([]worker.Run, error) {
	var all []worker.Run
	for _, u := range upstreams {
		var journal []worker.Run
		if err := launcher.Get(ctx, u.Process.Address("address"), "/stand/journal", &journal); err != nil {
			return nil, err
		}
		all = append(all, journal...)
	}
	return all, nil
}

// Judge compares attempts with the journals. An attempt's name is its order's
// name, a slash and its number.
func Judge(attempts []driver.Attempt, journal []worker.Run) Verdict {
	byAttempt := make(runs)
	byOrder := make(runs)
	for _, r := range journal {
		byAttempt[r.Order]++
		order, _, _ := strings.Cut(r.Order, "/")
		byOrder[order]++
	}
	v := Verdict{Ran: len(byOrder)}
	for _, n := range byOrder {
		if n > 1 {
			v.Duplicated++
		}
	}
	for _, a := range attempts {
		switch {
		case a.Told == "not-run" && byAttempt[a.Name] > 0:
			v.FalseNotRun++
		case a.Told == "ran" && byAttempt[a.Name] == 0:
			v.FalseRan++
		}
	}
	return v
}
