package demonstrator

import (
	"context"
	"strings"

	"github.com/waxwingloom/waxwingloom/internal/stand/driver"
	"github.com/waxwingloom/waxwingloom/internal/stand/launcher"
	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

type (
	// OutcomeCheck holds what callers were told against what upstreams ran.
	OutcomeCheck struct {
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

// ReadJournals reads every upstream's journal.
func ReadJournals(ctx context.Context, upstreams []*launcher.Upstream) ([]worker.JournalEntry, error) {
	var all []worker.JournalEntry
	for _, u := range upstreams {
		var journal []worker.JournalEntry
		if err := launcher.Get(ctx, u.Process.Address("address"), "/stand/journal", &journal); err != nil {
			return nil, err
		}
		all = append(all, journal...)
	}
	return all, nil
}

// CheckOutcomes compares attempts with the journals. An attempt's name is its order's
// name, a slash and its number.
func CheckOutcomes(attempts []driver.TokenUse, journal []worker.JournalEntry) OutcomeCheck {
	byAttempt := make(runs)
	byOrder := make(runs)
	for _, r := range journal {
		byAttempt[r.Order]++
		order, _, _ := strings.Cut(r.Order, "/")
		byOrder[order]++
	}
	v := OutcomeCheck{Ran: len(byOrder)}
	for _, n := range byOrder {
		if n > 1 {
			v.Duplicated++
		}
	}
	for _, a := range attempts {
		switch {
		case a.Outcome == "not-run" && byAttempt[a.Name] > 0:
			v.FalseNotRun++
		case a.Outcome == "ran" && byAttempt[a.Name] == 0:
			v.FalseRan++
		}
	}
	return v
}
