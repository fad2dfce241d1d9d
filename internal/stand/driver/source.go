package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/front/responder"
	"github.com/waxwingloom/waxwingloom/internal/stand/worker"
)

const (
	// maxReadAttempts bounds the attempts of an idempotent request, and
	// maxOnceAttempts those of a once-only request with one token and those to
	// get tokens. Each attempt goes to the next entry VM of the look-up.
	maxReadAttempts = 6
	maxOnceAttempts = 6
	// maxTokensPerRequest bounds the tokens that a once-only request may use up.
	maxTokensPerRequest = 4
	tokensPerFetch      = 20
	maxResponseBytes    = 8 << 20
)

var errNoEntry = errors.New("no entry VM answered the look-up")

type (
	// caller sends requests from one source address. It has a look-up cache and
	// a store of unused tokens of its own.
	caller struct {
		plan   Plan
		client *http.Client

		// lookupMu allows one look-up at a time, so that all requests use the
		// same result and tokens come from the VMs to which they are sent.
		lookupMu sync.Mutex

		mu        sync.Mutex
		lookups   map[string]cachedLookup
		tokens    map[string][]token
		nextEntry int
	}

	cachedLookup struct {
		response responder.LookupResponse
		expires  time.Time
	}

	token struct {
		text   string
		expiry time.Time
	}

	// response is the response to one attempt.
	response struct {
		status  int
		outcome string
		code    string
		body    []byte
	}
)

func newCaller(address string, plan Plan) (*caller, error) {
	ip := net.ParseIP(address)
	if ip == nil || !ip.IsLoopback() {
		return nil, errors.Newf("a caller's address must be a loopback IP, not %q", address)
	}
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}, Timeout: plan.AttemptTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256}
	return &caller{
		plan:    plan,
		client:  &http.Client{Transport: transport},
		lookups: make(map[string]cachedLookup),
		tokens:  make(map[string][]token),
	}, nil
}

func (c *caller) close() {
	c.client.CloseIdleConnections()
}

func (c *caller) request(ctx context.Context, l Load, name string, body []byte) result {
	if l.OnceOnly {
		return c.sendOnceOnly(ctx, l, name, body)
	}
	return c.sendRead(ctx, l, name)
}

func (c *caller) sendRead(ctx context.Context, l Load, name string) result {
	res := result{reason: errNoEntry.Error()}
	for attempt := range maxReadAttempts {
		entry, err := c.entry(ctx, l.Service, attempt)
		if err != nil {
			res.reason = err.Error()
			continue
		}
		r, err := c.send(ctx, entry, l, name, "", "", nil)
		if err != nil {
			res.reason = "transport"
			continue
		}
		if r.outcome == "ran" {
			return checkResponse(r, l, name, nil)
		}
		res.reason = r.code
	}
	return res
}

// sendOnceOnly sends a once-only request until its outcome is known. It repeats
// the request with the same token, and uses a new token only after the outcome
// not-run.
func (c *caller) sendOnceOnly(ctx context.Context, l Load, name string, body []byte) result {
	var res result
	for n := range maxTokensPerRequest {
		use := TokenUse{Order: name, Name: name + "/" + strconv.Itoa(n), Outcome: "unknown"}
		text, err := c.token(ctx, l.Service)
		if err != nil {
			res.reason = err.Error()
			continue
		}
		r := c.sendUntilDecided(ctx, l, use.Name, text, body)
		use.Outcome = r.outcome
		res.tokenUses = append(res.tokenUses, use)
		res.unknown = false
		res.reason = r.code
		switch r.outcome {
		case "ran":
			checkedResult := checkResponse(r, l, use.Name, body)
			checkedResult.tokenUses = res.tokenUses
			return checkedResult
		case "unknown":
			res.unknown = true
			return res
		}
		// Tokens that were fetched together have the same owner, which may have
		// failed. Drop the rest of them.
		c.dropTokens(l.Service)
	}
	return res
}

// sendUntilDecided sends a request with one token until its outcome is ran or
// not-run, or the attempts are used up.
func (c *caller) sendUntilDecided(ctx context.Context, l Load, name, text string, body []byte) response {
	last := response{outcome: "unknown", code: "transport"}
	for attempt := range maxOnceAttempts {
		entry, err := c.entry(ctx, l.Service, attempt)
		if err != nil {
			last = response{outcome: "unknown", code: err.Error()}
			continue
		}
		r, err := c.send(ctx, entry, l, name, text, name, body)
		if err != nil {
			last = response{outcome: "unknown", code: "transport"}
			continue
		}
		if r.outcome == "ran" || r.outcome == "not-run" {
			return r
		}
		r.outcome = "unknown"
		last = r
	}
	return last
}

func (c *caller) send(
	ctx context.Context, entry string, l Load, name, tokenText, order string, body []byte,
) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.plan.AttemptTimeout)
	defer cancel()
	target := "http://" + entry + "/v1/s/" + l.Service + pathOf(l)
	req, err := http.NewRequestWithContext(ctx, l.Method, target, bytes.NewReader(body))
	if err != nil {
		return response{}, errors.Wrap(err, "building a request")
	}
	req.GetBody = nil
	req.Header.Set(worker.IDHeader, name)
	req.Header.Set(worker.WeightHeader, strconv.FormatInt(l.Weight, 10))
	if tokenText != "" {
		req.Header.Set(responder.TokenHeader, tokenText)
		req.Header.Set(worker.OrderHeader, order)
	}
	return c.roundTrip(req)
}

func (c *caller) roundTrip(req *http.Request) (response, error) {
	resp, err := c.client.Do(req)
	if err != nil {
		return response{}, errors.Wrap(err, "sending")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, errors.Wrap(err, "reading an answer")
	}
	r := response{status: resp.StatusCode, outcome: resp.Header.Get(responder.OutcomeHeader), body: raw}
	if r.outcome != "ran" {
		var f struct{ Code string }
		_ = json.Unmarshal(raw, &f)
		r.code = f.Code
	}
	return r, nil
}

// checkResponse checks that a response belongs to its request.
func checkResponse(r response, l Load, name string, body []byte) result {
	if r.status != http.StatusOK {
		return result{reason: "status " + strconv.Itoa(r.status)}
	}
	var e worker.Echo
	err := json.Unmarshal(r.body, &e)
	if err != nil || e.ID != name || e.Path != pathOf(l) || e.Digest != worker.Digest(body) || len(e.Fill) != l.ResponseBytes {
		return result{mismatched: true, reason: "mismatched"}
	}
	return result{answered: true}
}

func pathOf(l Load) string {
	return l.Path + "?fill=" + strconv.Itoa(l.ResponseBytes)
}

// entry returns the address of the entry VM for an attempt, by the order of the
// look-up's list.
func (c *caller) entry(ctx context.Context, service string, attempt int) (string, error) {
	a, err := c.lookup(ctx, service)
	if err != nil {
		return "", err
	}
	return a.Entries[attempt%len(a.Entries)].Address, nil
}

// lookup returns the cached look-up, or a new one if its TTL has passed. If no
// entry VM responds, the old one is used further.
func (c *caller) lookup(ctx context.Context, service string) (responder.LookupResponse, error) {
	cached, ok := c.cached(service)
	if ok && time.Now().Before(cached.expires) {
		return cached.response, nil
	}
	c.lookupMu.Lock()
	defer c.lookupMu.Unlock()
	cached, ok = c.cached(service)
	if ok && time.Now().Before(cached.expires) {
		return cached.response, nil
	}
	for _, address := range c.lookupAddresses(cached.response) {
		var a responder.LookupResponse
		err := c.callEntry(ctx, http.MethodGet, address, "/v1/lookup?service="+service, &a)
		if err != nil || len(a.Entries) == 0 {
			continue
		}
		c.mu.Lock()
		c.lookups[service] = cachedLookup{response: a, expires: time.Now().Add(time.Duration(a.TTL * float64(time.Second)))}
		c.mu.Unlock()
		return a, nil
	}
	if ok {
		return cached.response, nil
	}
	return responder.LookupResponse{}, errNoEntry
}

func (c *caller) cached(service string) (cachedLookup, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.lookups[service]
	return cached, ok
}

// lookupAddresses returns the addresses to ask for a look-up: the entry VMs of
// the last look-up, then those of the plan, starting one further each time.
func (c *caller) lookupAddresses(last responder.LookupResponse) []string {
	c.mu.Lock()
	c.nextEntry++
	nextEntry := c.nextEntry
	c.mu.Unlock()
	var out []string
	for _, e := range last.Entries {
		out = append(out, e.Address)
	}
	for i := range c.plan.EntryAddresses {
		out = append(out, c.plan.EntryAddresses[(nextEntry+i)%len(c.plan.EntryAddresses)])
	}
	return out
}

// token returns an unused token of an earlier fetch, or fetches more.
func (c *caller) token(ctx context.Context, service string) (string, error) {
	if t, ok := c.takeCachedToken(service); ok {
		return t, nil
	}
	err := errNoEntry
	for attempt := range maxOnceAttempts {
		var address string
		if address, err = c.entry(ctx, service, attempt); err != nil {
			continue
		}
		var a responder.TokensResponse
		path := "/v1/tokens?service=" + service + "&count=" + strconv.Itoa(tokensPerFetch)
		if err = c.callEntry(ctx, http.MethodPost, address, path, &a); err != nil || len(a.Tokens) == 0 {
			continue
		}
		c.mu.Lock()
		for _, text := range a.Tokens[1:] {
			c.tokens[service] = append(c.tokens[service], token{text: text, expiry: a.Expiry})
		}
		c.mu.Unlock()
		return a.Tokens[0], nil
	}
	return "", errors.Wrap(err, "no token")
}

func (c *caller) takeCachedToken(service string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := c.tokens[service]
	for len(pool) > 0 {
		t := pool[0]
		pool = pool[1:]
		c.tokens[service] = pool
		if time.Until(t.expiry) > 10*time.Second {
			return t.text, true
		}
	}
	return "", false
}

func (c *caller) dropTokens(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.tokens, service)
}

func (c *caller) callEntry(ctx context.Context, method, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.plan.AttemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "building a request")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into), "reading an answer")
}
