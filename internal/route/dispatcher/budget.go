package dispatcher

import "sync"

// maxRetryCredit is how many retries may be saved up.
const maxRetryCredit = 10

// retryCredit is shared by the successive states of a service.
type retryCredit struct {
	mu     sync.Mutex
	credit float64
}

// retryBudget allows retries as a part of first tries, so that retries can't turn
// a failing upstream into an overload.
type retryBudget struct {
	percent int
	shared  *retryCredit
}

func newRetryBudget() retryBudget {
	return retryBudget{shared: &retryCredit{credit: maxRetryCredit}}
}

// addCredit notes a addCredit try.
func (b retryBudget) addCredit() {
	b.shared.mu.Lock()
	defer b.shared.mu.Unlock()
	b.shared.credit = min(maxRetryCredit, b.shared.credit+float64(b.percent)/100)
}

// takeRetry reports whether a takeRetry is allowed, and spends it if so.
func (b retryBudget) takeRetry() bool {
	b.shared.mu.Lock()
	defer b.shared.mu.Unlock()
	if b.shared.credit < 1 || b.percent == 0 {
		return false
	}
	b.shared.credit--
	return true
}
