package dispatcher

import "sync"

// budgetMost is how many retries may be saved up.
const budgetMost = 10

// budgetState is shared by the successive states of a service.
type budgetState struct {
	mu     sync.Mutex
	credit float64
}

// budget allows retries as a part of first tries, so that retries can't turn
// a failing upstream into an overload.
type budget struct {
	percent int
	state   *budgetState
}

func newBudget() budget {
	return budget{state: &budgetState{credit: budgetMost}}
}

// first notes a first try.
func (b budget) first() {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	b.state.credit = min(budgetMost, b.state.credit+float64(b.percent)/100)
}

// retry reports whether a retry is allowed, and spends it if so.
func (b budget) retry() bool {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	if b.state.credit < 1 || b.percent == 0 {
		return false
	}
	b.state.credit--
	return true
}
