package demonstrator

import (
	"context"
	"strings"

	"github.com/waxwingloom/waxwingloom/internal/stand/driver"
	"github.com/waxwingloom/waxwingloom/internal/stand/launcher"
	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

type (
	// OutcomeCheck is the comparison of the outcomes that callers got with what
	// the upstreams ran.
	OutcomeCheck struct {
		// Duplicated counts orders that ran more than once, with the same token
		// or with several.
		Duplicated int
		// FalseNotRun counts tokens whose outcome was not-run although the request
		// ran.
		FalseNotRun int
		// FalseRan counts tokens whose outcome was ran although the request did
		// not run.
		FalseRan int
		// Ran counts the orders that ran at least once.
		Ran int
	}

	// runCounts has the number of journal entries for each name.
	runCounts map[string]int
)

// ReadJournals returns the entries of all upstreams' journals.
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

// CheckOutcomes compares the outcomes of token uses with the journals. The journal
// has a request by the name of its token use: the order's name, a slash and the
// number of the token.
func CheckOutcomes(tokenUses []driver.TokenUse, journal []worker.JournalEntry) OutcomeCheck {
	byTokenUse := make(runCounts)
	byOrder := make(runCounts)
	for _, r := range journal {
		byTokenUse[r.Order]++
		order, _, _ := strings.Cut(r.Order, "/")
		byOrder[order]++
	}
	v := OutcomeCheck{Ran: len(byOrder)}
	for _, n := range byOrder {
		if n > 1 {
			v.Duplicated++
		}
	}
	for _, use := range tokenUses {
		switch {
		case use.Outcome == "not-run" && byTokenUse[use.Name] > 0:
			v.FalseNotRun++
		case use.Outcome == "ran" && byTokenUse[use.Name] == 0:
			v.FalseRan++
		}
	}
	return v
}
