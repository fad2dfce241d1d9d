package heartbeater

// staleSuffix marks the state of a member whose client accounts are stale, so that a change of
// that spreads like one of the state.
const staleSuffix = "+stale"

// SetAccountsStale sets the function that reports whether this VM refuses the keys of all client
// accounts, because it does not know the accounts as of now.
func (h *Heartbeater) SetAccountsStale(stale func() bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accountsStale = stale
}
