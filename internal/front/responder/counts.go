package responder

import (
	"expvar"

	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
)

// Counts is what the metrics page shows of callers' requests.
type Counts struct {
	Lookups expvar.Int
	Tokens  expvar.Int
	Ran     expvar.Int
	NotRun  expvar.Int
	Unknown expvar.Int
	Aborted expvar.Int
	Codes   *expvar.Map
}

func newCounts() *Counts {
	return &Counts{Codes: new(expvar.Map).Init()}
}

func (n *Counts) note(out arbiter.Outcome) {
	switch out.Execution {
	case arbiter.Ran:
		n.Ran.Add(1)
		return
	case arbiter.NotRun:
		n.NotRun.Add(1)
	case arbiter.Unknown:
		n.Unknown.Add(1)
	}
	n.Codes.Add(string(out.Code), 1)
}
