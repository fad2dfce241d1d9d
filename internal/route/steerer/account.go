package steerer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/waxwingloom/waxwingloom/internal/account/authenticator"
	"github.com/waxwingloom/waxwingloom/internal/account/tallier"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

// The reasons for which a request is refused on account of its account.
const (
	CodeUnauthenticated Code = "unauthenticated"
	CodeStaleAccounts   Code = "stale-accounts"
	CodeExcluded        Code = "excluded"
	CodeLimited         Code = "limited"
)

type (
	// Authenticator identifies the accounts of requests.
	Authenticator interface {
		// Identify returns the account that holds a credential's key, or why there is none. It
		// may wait a bounded time before it refuses a key as unknown.
		Identify(ctx context.Context, c authenticator.Credential) (*parser.Account, authenticator.Denial)
		// Find is Identify without waiting.
		Find(c authenticator.Credential) (*parser.Account, authenticator.Denial)
	}

	// Limiter keeps accounts within their limits over all VMs.
	Limiter interface {
		// Take takes a request out of an account's limit. If that is reached, it returns false
		// and the time until which no request is expected to be within it.
		Take(ctx context.Context, account *parser.Account) (ok bool, retryAfter time.Duration)
	}

	// accounts is the part of a steerer that concerns client accounts. Without an
	// authenticator the accounts of the document are ignored.
	accounts struct {
		authenticator Authenticator
		limiter       Limiter
		tallier       *tallier.Tallier
		// inForce is whether requests of routes that are not public need an account.
		inForce atomic.Bool
	}
)

// SetAuthenticator makes the steerer check the accounts of requests wherever the document has
// accounts, and count them with t. It must be called before the first document.
func (s *Steerer) SetAuthenticator(a Authenticator, t *tallier.Tallier) {
	s.accounts.authenticator = a
	s.accounts.tallier = t
}

// SetLimiter makes the steerer keep accounts within their limits. It must be called before the
// first request.
func (s *Steerer) SetLimiter(l Limiter) {
	s.accounts.limiter = l
}

// admitAccount identifies the account of a request that has arrived and counts the request
// against the account's limit. It returns false and the result if the request is refused.
func (s *Steerer) admitAccount(ctx context.Context, a *activeRequest) (Result, bool) {
	if !s.accounts.inForce.Load() {
		return Result{}, true
	}
	a.dropCredential()
	if a.route.Public {
		return Result{}, true
	}
	account, denial := s.accounts.authenticator.Identify(ctx, a.request.Credential)
	if result, ok := a.setAccount(account, denial); !ok {
		return result, false
	}
	if s.accounts.limiter == nil {
		return Result{}, true
	}
	if ok, retryAfter := s.accounts.limiter.Take(ctx, account); !ok {
		result := failure(http.StatusTooManyRequests, CodeLimited, "the account's limit is reached", max(retryAfter, immediateRetryAfter))
		result.Denial = authenticator.Limited
		return result, false
	}
	return Result{}, true
}

// recheckAccount identifies the account of a request again before another attempt, since the
// key may have been withdrawn. It returns false and the result if the request must not be sent.
func (s *Steerer) recheckAccount(a *activeRequest) (Result, bool) {
	if !s.accounts.inForce.Load() {
		a.account = nil
		return Result{}, true
	}
	a.dropCredential()
	if a.route.Public {
		return Result{}, true
	}
	result, ok := a.setAccount(s.accounts.authenticator.Find(a.request.Credential))
	if !ok && a.mayHaveRun {
		denial := result.Denial
		result = s.failedResult(a)
		result.Denial = denial
	}
	return result, ok
}

// accountHolds reports whether a request may still be sent with the headers of its account.
func (s *Steerer) accountHolds(a *activeRequest) bool {
	if !s.accounts.inForce.Load() {
		return a.account == nil
	}
	if a.route.Public {
		return a.credentialDropped
	}
	account, denial := s.accounts.authenticator.Find(a.request.Credential)
	return denial == authenticator.None && a.account != nil && account.Name == a.account.Name
}

// tallyAccount adds the account of a request to its result, and counts both.
func (s *Steerer) tallyAccount(a *activeRequest, result *Result) {
	result.Account = namer.Account(a.accountName())
	if s.accounts.tallier != nil {
		s.accounts.tallier.Record(result.Account, result.Status, result.Denial)
	}
}

// dropCredential removes the credential from the headers that upstreams get.
func (a *activeRequest) dropCredential() {
	if !a.credentialDropped {
		a.request.Header.Del(authenticator.Header)
		a.credentialDropped = true
	}
}

// setAccount sets the account of a request. It returns false and the result if there is none,
// or if route and account permit no region in common.
func (a *activeRequest) setAccount(account *parser.Account, denial authenticator.Denial) (Result, bool) {
	if denial == authenticator.None {
		a.account = account
		if !authenticator.Excludes(a.route.PermittedRegions, account.PermittedRegions) {
			return Result{}, true
		}
		denial = authenticator.ExcludedRegions
	}
	result := deniedResult(denial)
	result.Denial = denial
	return result, false
}

// deniedResult returns the result of a request that is refused on account of its account.
func deniedResult(denial authenticator.Denial) Result {
	switch denial {
	case authenticator.StaleAccounts:
		return failure(http.StatusServiceUnavailable, CodeStaleAccounts, "this VM does not know the accounts as of now", defaultRetryAfter)
	case authenticator.ExcludedRegions:
		return failure(http.StatusForbidden, CodeExcluded, "route and account permit no region in common", 0)
	}
	return failure(http.StatusUnauthorized, CodeUnauthenticated, string(denial), 0)
}

// accountName returns the name of a request's account, or "" if it has none.
func (a *activeRequest) accountName() string {
	if a.account == nil {
		return ""
	}
	return string(a.account.Name)
}

// priority returns the priority of a request: that of its account if it has one, else that of
// its route.
func (a *activeRequest) priority() int {
	if a.account != nil && a.account.HasPriority {
		return a.account.Priority
	}
	return a.route.Priority
}

// accountRegions returns the regions that a request's account permits, or nil for all.
func (a *activeRequest) accountRegions() []namer.Region {
	if a.account == nil {
		return nil
	}
	return a.account.PermittedRegions
}
