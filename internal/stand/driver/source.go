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
	// readTries and onceTries bound the tries of one request over the list.
	readTries = 6
	onceTries = 6
	// attemptsMost bounds the tokens that one order may use up.
	attemptsMost = 4
	tokenBatch   = 20
	maxAnswer    = 8 << 20
)

var errNoEntry = errors.New("no entry VM answered the look-up")

type (
	// source is one caller with its own address, look-up cache and tokens.
	source struct {
		plan   Plan
		client *http.Client

		// looking lets one look-up go on at a time, so that a caller has one
		// answer and its tokens come from the VMs that it sends them to.
		looking sync.Mutex

		mu      sync.Mutex
		lookups map[string]cachedLookup
		tokens  map[string][]token
		turn    int
	}

	cachedLookup struct {
		answer  responder.LookupResponse
		expires time.Time
	}

	token struct {
		text   string
		expiry time.Time
	}

	// reply is one try's answer.
	reply struct {
		status int
		told   string
		code   string
		body   []byte
	}
)

func newSource(address string, plan Plan) (*source, error) {
	ip := net.ParseIP(address)
	if ip == nil || !ip.IsLoopback() {
		return nil, errors.Newf("a caller's address must be a loopback IP, not %q", address)
	}
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}, Timeout: plan.AttemptTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256}
	return &source{
		plan:    plan,
		client:  &http.Client{Transport: transport},
		lookups: make(map[string]cachedLookup),
		tokens:  make(map[string][]token),
	}, nil
}

func (s *source) close() {
	s.client.CloseIdleConnections()
}

func (s *source) request(ctx context.Context, l Load, name string, body []byte) verdict {
	if l.OnceOnly {
		return s.once(ctx, l, name, body)
	}
	return s.read(ctx, l, name)
}

func (s *source) read(ctx context.Context, l Load, name string) verdict {
	v := verdict{reason: errNoEntry.Error()}
	for try := range readTries {
		entry, err := s.entry(ctx, l.Service, try)
		if err != nil {
			v.reason = err.Error()
			continue
		}
		r, err := s.send(ctx, entry, l, name, "", "", nil)
		if err != nil {
			v.reason = "transport"
			continue
		}
		if r.told == "ran" {
			return check(r, l, name, nil)
		}
		v.reason = r.code
	}
	return v
}

// once takes an order to its outcome. It keeps the same token until the
// outcome is known, and takes a new one only after not-run.
func (s *source) once(ctx context.Context, l Load, name string, body []byte) verdict {
	var v verdict
	for n := range attemptsMost {
		attempt := TokenUse{Order: name, Name: name + "/" + strconv.Itoa(n), Outcome: "unknown"}
		text, err := s.token(ctx, l.Service)
		if err != nil {
			v.reason = err.Error()
			continue
		}
		r := s.settle(ctx, l, attempt.Name, text, body)
		attempt.Outcome = r.told
		v.attempts = append(v.attempts, attempt)
		v.unknown = false
		v.reason = r.code
		switch r.told {
		case "ran":
			checked := check(r, l, attempt.Name, body)
			checked.attempts = v.attempts
			return checked
		case "unknown":
			v.unknown = true
			return v
		}
		// The tokens of one batch have one owner, which may be gone.
		s.dropTokens(l.Service)
	}
	return v
}

// settle sends one token's request until it is told ran or not-run.
func (s *source) settle(ctx context.Context, l Load, name, text string, body []byte) reply {
	last := reply{told: "unknown", code: "transport"}
	for try := range onceTries {
		entry, err := s.entry(ctx, l.Service, try)
		if err != nil {
			last = reply{told: "unknown", code: err.Error()}
			continue
		}
		r, err := s.send(ctx, entry, l, name, text, name, body)
		if err != nil {
			last = reply{told: "unknown", code: "transport"}
			continue
		}
		if r.told == "ran" || r.told == "not-run" {
			return r
		}
		r.told = "unknown"
		last = r
	}
	return last
}

func (s *source) send(
	ctx context.Context, entry string, l Load, name, tokenText, order string, body []byte,
) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.plan.AttemptTimeout)
	defer cancel()
	target := "http://" + entry + "/v1/s/" + l.Service + pathOf(l)
	req, err := http.NewRequestWithContext(ctx, l.Method, target, bytes.NewReader(body))
	if err != nil {
		return reply{}, errors.Wrap(err, "building a request")
	}
	req.GetBody = nil
	req.Header.Set(worker.IDHeader, name)
	req.Header.Set(worker.WeightHeader, strconv.FormatInt(l.Weight, 10))
	if tokenText != "" {
		req.Header.Set(responder.TokenHeader, tokenText)
		req.Header.Set(worker.OrderHeader, order)
	}
	return s.do(req)
}

func (s *source) do(req *http.Request) (reply, error) {
	resp, err := s.client.Do(req)
	if err != nil {
		return reply{}, errors.Wrap(err, "sending")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return reply{}, errors.Wrap(err, "reading an answer")
	}
	r := reply{status: resp.StatusCode, told: resp.Header.Get(responder.OutcomeHeader), body: raw}
	if r.told != "ran" {
		var f struct{ Code string }
		_ = json.Unmarshal(raw, &f)
		r.code = f.Code
	}
	return r, nil
}

// check holds an answer against its request.
func check(r reply, l Load, name string, body []byte) verdict {
	if r.status != http.StatusOK {
		return verdict{reason: "status " + strconv.Itoa(r.status)}
	}
	var e worker.Echo
	err := json.Unmarshal(r.body, &e)
	if err != nil || e.ID != name || e.Path != pathOf(l) || e.Digest != worker.Digest(body) || len(e.Fill) != l.ResponseBytes {
		return verdict{mismatched: true, reason: "mismatched"}
	}
	return verdict{answered: true}
}

func pathOf(l Load) string {
	return l.Path + "?fill=" + strconv.Itoa(l.ResponseBytes)
}

// entry returns the entry VM for a try, going down the look-up's list.
func (s *source) entry(ctx context.Context, service string, try int) (string, error) {
	a, err := s.lookup(ctx, service)
	if err != nil {
		return "", err
	}
	return a.Entries[try%len(a.Entries)].Address, nil
}

// lookup returns the cached answer, or asks for a new one once its TTL has
// passed. With nobody answering it goes on with the old one.
func (s *source) lookup(ctx context.Context, service string) (responder.LookupResponse, error) {
	cached, ok := s.cached(service)
	if ok && time.Now().Before(cached.expires) {
		return cached.answer, nil
	}
	s.looking.Lock()
	defer s.looking.Unlock()
	cached, ok = s.cached(service)
	if ok && time.Now().Before(cached.expires) {
		return cached.answer, nil
	}
	for _, address := range s.known(cached.answer) {
		var a responder.LookupResponse
		err := s.call(ctx, http.MethodGet, address, "/v1/lookup?service="+service, &a)
		if err != nil || len(a.Entries) == 0 {
			continue
		}
		s.mu.Lock()
		s.lookups[service] = cachedLookup{answer: a, expires: time.Now().Add(time.Duration(a.TTL * float64(time.Second)))}
		s.mu.Unlock()
		return a, nil
	}
	if ok {
		return cached.answer, nil
	}
	return responder.LookupResponse{}, errNoEntry
}

func (s *source) cached(service string) (cachedLookup, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cached, ok := s.lookups[service]
	return cached, ok
}

// known returns the addresses to ask for a look-up: those of the last answer,
// then the plan's from a place that moves on.
func (s *source) known(last responder.LookupResponse) []string {
	s.mu.Lock()
	s.turn++
	turn := s.turn
	s.mu.Unlock()
	var out []string
	for _, e := range last.Entries {
		out = append(out, e.Address)
	}
	for i := range s.plan.EntryAddresses {
		out = append(out, s.plan.EntryAddresses[(turn+i)%len(s.plan.EntryAddresses)])
	}
	return out
}

// token takes a token that was fetched ahead, or fetches more.
func (s *source) token(ctx context.Context, service string) (string, error) {
	if t, ok := s.take(service); ok {
		return t, nil
	}
	err := errNoEntry
	for try := range onceTries {
		var address string
		if address, err = s.entry(ctx, service, try); err != nil {
			continue
		}
		var a responder.TokensResponse
		path := "/v1/tokens?service=" + service + "&count=" + strconv.Itoa(tokenBatch)
		if err = s.call(ctx, http.MethodPost, address, path, &a); err != nil || len(a.Tokens) == 0 {
			continue
		}
		s.mu.Lock()
		for _, text := range a.Tokens[1:] {
			s.tokens[service] = append(s.tokens[service], token{text: text, expiry: a.Expiry})
		}
		s.mu.Unlock()
		return a.Tokens[0], nil
	}
	return "", errors.Wrap(err, "no token")
}

func (s *source) take(service string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.tokens[service]
	for len(pool) > 0 {
		t := pool[0]
		pool = pool[1:]
		s.tokens[service] = pool
		if time.Until(t.expiry) > 10*time.Second {
			return t.text, true
		}
	}
	return "", false
}

func (s *source) dropTokens(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tokens, service)
}

func (s *source) call(ctx context.Context, method, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, s.plan.AttemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "building a request")
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(into), "reading an answer")
}
