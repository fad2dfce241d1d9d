// Package authenticator maps the key that a request carries to the client account that holds
// it, or to the reason why the request is refused. It is pure, and answers the load of a VM
// that checks each request, and each again before it is sent to another upstream: a lookup of
// a digest in an index of thousands of keys, without allocation.
//
// # Usage
//
//	index := authenticator.New(document.Accounts)
//	credential := authenticator.Parse(header)
//	account, denial := index.Identify(credential)
//	if denial == authenticator.None {
//		// The request is one of account.
//	}
package authenticator

import (
	"slices"

	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// The reasons why a request is refused, written to log lines, metrics and responses.
const (
	// None means that the request is not refused.
	None Denial = ""
	// The request carries no key, or none that can be read.
	NoCredential        Denial = "no-credential"
	SeveralCredentials  Denial = "several-credentials"
	OtherScheme         Denial = "other-scheme"
	MalformedCredential Denial = "malformed-credential"
	OversizedCredential Denial = "oversized-credential"
	// UnknownKey means that no account holds the key.
	UnknownKey Denial = "unknown-key"
	// StaleAccounts means that the accounts were confirmed too long ago, or never.
	StaleAccounts Denial = "stale-accounts"
	// ExcludedRegions means that route and account permit no region in common.
	ExcludedRegions Denial = "excluded-regions"
	// Limited means that the account is over its limit.
	Limited Denial = "limited"
)

type (
	// Denial is the reason why a request is refused.
	Denial string

	// Index holds the accounts of one document by the digests of their keys. It is immutable.
	Index struct {
		accounts map[parser.KeyHash]*parser.Account
	}
)

// New returns the index of accounts, which must not change afterwards.
func New(accounts []parser.Account) *Index {
	keys := 0
	for i := range accounts {
		keys += len(accounts[i].Keys)
	}
	x := &Index{accounts: make(map[parser.KeyHash]*parser.Account, keys)}
	for i := range accounts {
		for _, hash := range accounts[i].Keys {
			x.accounts[hash] = &accounts[i]
		}
	}
	return x
}

// Identify returns the account that holds the key of a credential, or why there is none.
func (x *Index) Identify(c Credential) (*parser.Account, Denial) {
	switch {
	case c.problem != None:
		return nil, c.problem
	case !c.present:
		return nil, NoCredential
	}
	if account := x.accounts[c.hash]; account != nil {
		return account, None
	}
	return nil, UnknownKey
}

// Excludes reports whether no region may serve a request of both a route and an account.
func Excludes(route, account []namer.Region) bool {
	if len(route) == 0 || len(account) == 0 {
		return false
	}
	return !slices.ContainsFunc(route, func(r namer.Region) bool { return slices.Contains(account, r) })
}
