package follower

import "time"

// State is what keeps a follower's records from being known, or in force.
type State struct {
	// Listed is whether all records were read, from the store or from a relay parent.
	Listed bool
	// StoreErr is the error of this VM's last call to the store, nil if there was an answer, and
	// StoreLostAt is when the first call without one failed.
	StoreErr    error
	StoreLostAt time.Time
	// Refusal is why the handler could not take over the latest records, or nil.
	Refusal error
}

// State returns the current state.
func (f *Follower) State() State {
	f.feed.mu.Lock()
	listed := f.feed.listed
	f.feed.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	return State{Listed: listed, StoreErr: f.storeErr, StoreLostAt: f.unreachableSince, Refusal: f.refusal}
}
