package responder

import (
	"expvar"

	"github.com/waxwingloom/waxwingloom/internal/once/arbiter"
)

// Counts are the counters of callers' requests on the metrics page. Tokens counts minted
// tokens, and Aborted the responses that were truncated. Ran, NotRun and Unknown count
// outcomes, and Codes counts those other than Ran by their code.
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

// countOutcome counts an outcome by execution and, unless it is "ran", by its code.
func (n *Counts) countOutcome(out arbiter.Outcome) {
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
