// Package tallier counts the requests of client accounts by result. What it returns is
// bounded: the accounts with most requests one by one, and all others together, so that
// thousands of accounts don't flood the metrics.
//
// # Usage
//
//	t := tallier.New()
//	t.Record("acme", http.StatusOK, authenticator.None)
//	summary := t.Summary(10)
package tallier

import (
	"cmp"
	"net/http"
	"slices"
	"sync"

	"github.com/waxwingloom/waxwingloom/internal/account/authenticator"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// maxAccounts bounds the accounts that are counted one by one. Further ones count as others.
const maxAccounts = 4096

type (
	// Counts are the requests of an account: all, those that were refused since its limit was
	// reached, and those that were refused for other reasons that a retry may overcome.
	Counts struct {
		Requests    int64
		Limited     int64
		Unavailable int64
	}

	// Summary has the counts of the accounts with most requests, the sum of all others, and
	// the denials by reason.
	Summary struct {
		Accounts map[namer.Account]Counts
		Others   Counts
		Denials  map[authenticator.Denial]int64
	}

	// Tallier counts the requests of one VM. It is safe for concurrent use.
	Tallier struct {
		mu       sync.Mutex
		accounts map[namer.Account]*Counts
		others   Counts
		denials  map[authenticator.Denial]int64
	}
)

// New returns a tallier without counts.
func New() *Tallier {
	return &Tallier{accounts: make(map[namer.Account]*Counts), denials: make(map[authenticator.Denial]int64)}
}

// Record counts a request with the status of its response. The account is empty if it was not
// identified.
func (t *Tallier) Record(account namer.Account, status int, denial authenticator.Denial) {
	if account == "" && denial == authenticator.None {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if denial != authenticator.None {
		t.denials[denial]++
	}
	if account == "" {
		return
	}
	c := t.accounts[account]
	switch {
	case c == nil && len(t.accounts) < maxAccounts:
		c = &Counts{}
		t.accounts[account] = c
	case c == nil:
		c = &t.others
	}
	c.Requests++
	switch status {
	case http.StatusTooManyRequests:
		c.Limited++
	case http.StatusServiceUnavailable:
		c.Unavailable++
	}
}

// Summary returns the counts, with at most limit accounts one by one.
func (t *Tallier) Summary(limit int) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]namer.Account, 0, len(t.accounts))
	for name := range t.accounts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b namer.Account) int {
		return cmp.Or(cmp.Compare(t.accounts[b].Requests, t.accounts[a].Requests), cmp.Compare(a, b))
	})
	s := Summary{Accounts: make(map[namer.Account]Counts), Others: t.others, Denials: make(map[authenticator.Denial]int64)}
	for i, name := range names {
		c := *t.accounts[name]
		if i < limit {
			s.Accounts[name] = c
			continue
		}
		s.Others.Requests += c.Requests
		s.Others.Limited += c.Limited
		s.Others.Unavailable += c.Unavailable
	}
	for denial, n := range t.denials {
		s.Denials[denial] = n
	}
	return s
}
