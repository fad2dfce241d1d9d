package dispatcher

import "sync"

// maxRetryCredit is the highest number of retries that a budget can accumulate.
const maxRetryCredit = 10

// retryCredit is the number of retries that a service may still make. It is kept when a
// new document replaces the service's state.
type retryCredit struct {
	mu     sync.Mutex
	credit float64
}

// retryBudget limits retries to a percentage of the requests, so that retries can't
// turn a failing upstream into an overload.
type retryBudget struct {
	percent int
	shared  *retryCredit
}

func newRetryBudget() retryBudget {
	return retryBudget{shared: &retryCredit{credit: maxRetryCredit}}
}

// addCredit adds the credit of one request.
func (b retryBudget) addCredit() {
	b.shared.mu.Lock()
	defer b.shared.mu.Unlock()
	b.shared.credit = min(maxRetryCredit, b.shared.credit+float64(b.percent)/100)
}

// takeRetry reports whether a retry is allowed, and takes it out of the credit if so.
func (b retryBudget) takeRetry() bool {
	b.shared.mu.Lock()
	defer b.shared.mu.Unlock()
	if b.shared.credit < 1 || b.percent == 0 {
		return false
	}
	b.shared.credit--
	return true
}
