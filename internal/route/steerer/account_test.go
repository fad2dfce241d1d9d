package steerer_test

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/waxwingloom/waxwingloom/internal/account/authenticator"
	"github.com/waxwingloom/waxwingloom/internal/account/tallier"
	"github.com/waxwingloom/waxwingloom/internal/document/parser"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
	"github.com/waxwingloom/waxwingloom/internal/upstream/exchanger"
)

// accountDocument has accounts beside the routes of document, one of which is public.
var accountDocument = document + `regions = r far
[route open]
host = shop
path = /open/
split = desk:1
timeout = 2s
public = yes
[account acme]
keys = ` + parser.HashKey("acme-key").String() + `
[account abroad]
keys = ` + parser.HashKey("abroad-key").String() + `
regions = elsewhere
`

// index is an authenticator without a bound on the age of the accounts.
type index struct {
	mu sync.Mutex
	*authenticator.Index
	// denial is returned for all keys if it is set.
	denial authenticator.Denial
}

func (x *index) Find(c authenticator.Credential) (*parser.Account, authenticator.Denial) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.denial != authenticator.None {
		return nil, x.denial
	}
	return x.Index.Identify(c)
}

func (x *index) Identify(_ context.Context, c authenticator.Credential) (*parser.Account, authenticator.Denial) {
	return x.Find(c)
}

func (x *index) set(accounts []parser.Account, denial authenticator.Denial) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.Index, x.denial = authenticator.New(accounts), denial
}

// headUpstreams are fakeUpstreams that keep the heads of the requests.
type headUpstreams struct {
	fakeUpstreams
	heads []http.Header
}

func (u *headUpstreams) Exchange(ctx context.Context, t cataloger.Target, r exchanger.Request) (exchanger.Response, error) {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(append(r.Head, r.Body...))))
	if err == nil {
		u.mu.Lock()
		u.heads = append(u.heads, req.Header)
		u.mu.Unlock()
	}
	return u.fakeUpstreams.Exchange(ctx, t, r)
}

// stingyLimiter is a limiter that permits a number of requests.
type stingyLimiter struct {
	left  int
	taken []namer.Account
}

func (l *stingyLimiter) Take(_ context.Context, a *parser.Account) (bool, time.Duration) {
	l.taken = append(l.taken, a.Name)
	l.left--
	return l.left >= 0, 3 * time.Second
}

func newAccountFixture(t *testing.T, behaviors ...behavior) (*headUpstreams, *steerer.Steerer, *index, *tallier.Tallier, *parser.Document) {
	t.Helper()
	up := &headUpstreams{fakeUpstreams: fakeUpstreams{release: make(chan struct{})}}
	s := newSteerer(t, up, 5, 4)
	for range 10 {
		s.Steer(t.Context(), request("/read/"))
	}
	up.behaviors, up.sent, up.heads = behaviors, nil, nil
	doc, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: []byte(accountDocument)}})
	assert.NilError(t, err)
	x, tally := &index{}, tallier.New()
	x.set(doc.Accounts, authenticator.None)
	s.SetAuthenticator(x, tally)
	s.SetDocument(2, doc)
	return up, s, x, tally, doc
}

// keyed returns a request with a key.
func keyed(path, key string) steerer.Request {
	r := request(path)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Credential = authenticator.Parse(r.Header)
	return r
}

// TestAccounts checks which requests are sent where the document has accounts, and what their
// callers and upstreams get.
func TestAccounts(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		path    string
		key     string
		denial  authenticator.Denial
		status  int
		code    steerer.Code
		account string
	}{
		{"key", "/order/", "acme-key", authenticator.None, http.StatusOK, "", "acme"},
		{"public route", "/open/", "no-key", authenticator.None, http.StatusOK, "", ""},
		{"unknown key", "/order/", "no-key", authenticator.UnknownKey, http.StatusUnauthorized, steerer.CodeUnauthenticated, ""},
		{"stale accounts", "/order/", "acme-key", authenticator.StaleAccounts, http.StatusServiceUnavailable, steerer.CodeStaleAccounts, ""},
		{"regions that exclude each other", "/urgent/", "abroad-key", authenticator.ExcludedRegions, http.StatusForbidden, steerer.CodeExcluded, "abroad"},
		{"no upstream in the account's regions", "/order/", "abroad-key", authenticator.None, http.StatusServiceUnavailable, steerer.CodeRefused, "abroad"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			up, s, x, tally, doc := newAccountFixture(t)
			if tc.denial == authenticator.StaleAccounts {
				x.set(doc.Accounts, tc.denial)
			}
			result := s.Steer(t.Context(), keyed(tc.path, tc.key))
			assert.Equal(t, result.Status, tc.status)
			assert.Equal(t, result.Code, tc.code)
			assert.Equal(t, result.Denial, tc.denial)
			assert.Equal(t, string(result.Account), tc.account)
			assert.Equal(t, result.RetryAfter > 0, tc.status == http.StatusServiceUnavailable)
			if tc.denial != authenticator.None {
				assert.DeepEqual(t, tally.Summary(1).Denials, map[authenticator.Denial]int64{tc.denial: 1})
			}
			if tc.status != http.StatusOK {
				assert.Equal(t, len(up.heads), 0)
				return
			}
			assert.Equal(t, len(up.heads), 1)
			assert.Equal(t, up.heads[0].Get("Authorization"), "")
			assert.Equal(t, up.heads[0].Get(namer.WaxwingHeaderNames().Account), tc.account)
		})
	}
}

// TestCredentialsWithoutAccounts checks that a request's credentials are forwarded as any header
// where the document has no accounts.
func TestCredentialsWithoutAccounts(t *testing.T) {
	t.Parallel()
	up := &headUpstreams{}
	s := newSteerer(t, up, 2, 4)
	s.SetAuthenticator(&index{Index: authenticator.New(nil)}, tallier.New())
	assert.Equal(t, s.Steer(t.Context(), keyed("/order/", "any")).Status, http.StatusOK)
	assert.Equal(t, up.heads[0].Get("Authorization"), "Bearer any")
}

// TestRetryWithAccount checks that each attempt carries the account and no credentials.
func TestRetryWithAccount(t *testing.T) {
	t.Parallel()
	up, s, _, _, _ := newAccountFixture(t, refuses, refuses)
	assert.Equal(t, s.Steer(t.Context(), keyed("/order/", "acme-key")).Status, http.StatusOK)
	assert.Equal(t, len(up.heads), 3)
	for _, head := range up.heads {
		assert.Equal(t, head.Get("Authorization"), "")
		assert.DeepEqual(t, head.Values(namer.WaxwingHeaderNames().Account), []string{"acme"})
	}
}

// TestKeyWithdrawnMeanwhile checks that a request is not sent if its key was withdrawn, given to
// another account or became too old while it was about to be sent.
func TestKeyWithdrawnMeanwhile(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		change func(x *index, d *parser.Document)
		status int
		denial authenticator.Denial
	}{
		{"withdrawn", func(x *index, d *parser.Document) { x.set(d.Accounts[1:], authenticator.None) }, http.StatusUnauthorized, authenticator.UnknownKey},
		{"stale", func(x *index, d *parser.Document) { x.set(d.Accounts, authenticator.StaleAccounts) }, http.StatusServiceUnavailable, authenticator.StaleAccounts},
		{"of another account", func(x *index, d *parser.Document) {
			other := d.Accounts[0]
			other.Name = "other"
			x.set([]parser.Account{other}, authenticator.None)
		}, http.StatusOK, authenticator.None},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			up, s, x, _, doc := newAccountFixture(t, connectsSlowly)
			done := make(chan steerer.Result, 1)
			go func() { done <- s.Steer(context.Background(), keyed("/order/", "acme-key")) }()
			poll.WaitOn(t, up.sentAtLeast(1))
			tc.change(x, doc)
			close(up.release)
			result := <-done
			assert.Equal(t, result.Status, tc.status)
			assert.Equal(t, result.Denial, tc.denial)
			assert.Equal(t, up.timesRun(), tc.status == http.StatusOK)
			if tc.status == http.StatusOK {
				assert.Equal(t, up.heads[len(up.heads)-1].Get(namer.WaxwingHeaderNames().Account), "other")
			}
		})
	}
}

// timesRun reports whether a request was sent beyond the first, whose connection opened slowly.
func (u *headUpstreams) timesRun() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.heads) > 1
}

// TestKeyWithdrawnWhileQueued checks that a queued request whose key was withdrawn is refused
// when its turn comes.
func TestKeyWithdrawnWhileQueued(t *testing.T) {
	t.Parallel()
	up, s, x, _, doc := newAccountFixture(t, hangs, hangs, connectsSlowly)
	s.SetUpstreams(viewOf(1, 1))
	first := make(chan steerer.Result, 2)
	for range cap(first) {
		go func() { first <- s.Steer(context.Background(), keyed("/order/", "acme-key")) }()
	}
	poll.WaitOn(t, up.sentAtLeast(2))
	queued := make(chan steerer.Result, 1)
	go func() { queued <- s.Steer(context.Background(), keyed("/order/", "acme-key")) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Counts().Waited > 0 {
			return poll.Success()
		}
		return poll.Continue("no request waits")
	})
	x.set(doc.Accounts[1:], authenticator.None)
	close(up.release)
	for range cap(first) {
		assert.Equal(t, (<-first).Status, http.StatusOK)
	}
	assert.Equal(t, (<-queued).Denial, authenticator.UnknownKey)
}

// TestAccountLimit checks that a request over its account's limit is refused with the limiter's
// time, and that others are counted once although they are sent again.
func TestAccountLimit(t *testing.T) {
	t.Parallel()
	up, s, _, tally, _ := newAccountFixture(t, refuses)
	limiter := &stingyLimiter{left: 1}
	s.SetLimiter(limiter)
	assert.Equal(t, s.Steer(t.Context(), keyed("/order/", "acme-key")).Status, http.StatusOK)
	assert.Equal(t, s.Steer(t.Context(), keyed("/open/", "acme-key")).Status, http.StatusOK)
	result := s.Steer(t.Context(), keyed("/order/", "acme-key"))
	assert.Equal(t, result.Status, http.StatusTooManyRequests)
	assert.Equal(t, result.Code, steerer.CodeLimited)
	assert.Equal(t, result.RetryAfter, 3*time.Second)
	assert.DeepEqual(t, limiter.taken, []namer.Account{"acme", "acme"})
	assert.Equal(t, len(up.heads), 3)
	assert.DeepEqual(t, tally.Summary(1).Accounts, map[namer.Account]tallier.Counts{"acme": {Requests: 2, Limited: 1}})
}

// TestLastAccountRemovedMeanwhile guards against a request that tells upstreams an account that no
// document has any more, once the last account was removed while the request was about to be sent.
func TestLastAccountRemovedMeanwhile(t *testing.T) {
	t.Parallel()
	up, s, _, tally, _ := newAccountFixture(t, connectsSlowly)
	done := make(chan steerer.Result, 1)
	go func() { done <- s.Steer(context.Background(), keyed("/order/", "acme-key")) }()
	poll.WaitOn(t, up.sentAtLeast(1))
	without, err := parser.Parse(parser.Sources{{Section: parser.Services, Text: []byte(document)}})
	assert.NilError(t, err)
	s.SetDocument(3, without)
	close(up.release)
	result := <-done
	assert.Equal(t, result.Status, http.StatusOK)
	assert.Equal(t, len(up.heads), 2)
	assert.Equal(t, up.heads[1].Get(namer.WaxwingHeaderNames().Account), "")
	assert.Equal(t, up.heads[1].Get("Authorization"), "")
	assert.Equal(t, len(tally.Summary(1).Accounts), 0)
}
