package steerer

import (
	"cmp"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/waxwingloom/waxwingloom/internal/account/authenticator"
	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
	"github.com/waxwingloom/waxwingloom/internal/route/selector"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

// SetQuarantine sets the evidence that this VM shares with others, and the function that is
// called when there is new evidence. It must be called at most once, before the first
// request.
func (s *Steerer) SetQuarantine(q *quarantiner.Quarantiner, onEvidence func()) {
	s.quarantine = q
	s.onEvidence = onEvidence
}

// quarantineDecision returns what the evidence against a request says.
func (s *Steerer) quarantineDecision(a *activeRequest) quarantiner.Decision {
	if s.quarantine.Empty() {
		return quarantiner.Decision{Action: quarantiner.Admit}
	}
	return s.quarantine.Decide(s.clock.Now(), a.fingerprints())
}

// isQuarantined reports whether a request must not be sent.
func (s *Steerer) isQuarantined(a *activeRequest) bool {
	return s.quarantineDecision(a).Action == quarantiner.Refuse
}

// quarantinedResult returns the result of a request that must not be sent.
func (s *Steerer) quarantinedResult(a *activeRequest) Result {
	if a.mayHaveRun {
		return s.failedResult(a)
	}
	retryAfter := s.quarantineDecision(a).RetryAfter
	return failure(http.StatusServiceUnavailable, CodeQuarantined, "upstreams crashed when they ran this request", retryAfter)
}

// fingerprints returns what the request and its repetitions have in common.
func (a *activeRequest) fingerprints() quarantiner.Fingerprints {
	if a.cachedFingerprints == nil {
		r := a.request
		// An account, or its credentials, identify a caller better than the address.
		caller := cmp.Or(a.accountName(), r.Header.Get(authenticator.Header), r.Caller)
		fps := quarantiner.FingerprintsOf(caller, r.Method, r.Host, r.Target, append([][]byte{r.Body}, r.BodyRest...)...)
		a.cachedFingerprints = &fps
	}
	return *a.cachedFingerprints
}

// recordBroken records that an upstream ended the connection of a request without a
// response, and finds out whether the upstream has crashed. An upstream that is expected to
// shut down has not.
func (s *Steerer) recordBroken(a *activeRequest, d selector.Decision, err error) {
	if !errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE) {
		return
	}
	target := d.Target()
	s.mu.Lock()
	draining := s.selector.IsDraining(d)
	s.mu.Unlock()
	if draining {
		return
	}
	fps := a.fingerprints()
	s.mu.Lock()
	s.brokenAt[processOf(target)] = target.Address
	// A probe in progress must find the request when it ends.
	s.quarantine.RecordBroken(s.clock.Now(), fps, processOf(target))
	s.mu.Unlock()
	s.startProbe(target)
}

// startProbe starts a probe of an upstream unless one is in progress.
func (s *Steerer) startProbe(t cataloger.Target) {
	p := processOf(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.probing[p] {
		s.probing[p] = true
		go s.probe(t)
	}
}

// probe finds out whether the process of an upstream has crashed: its host then refuses
// connections. Without any reply that remains open. A connection that it opened proves
// nothing of those that broke since the probe began.
func (s *Steerer) probe(t cataloger.Target) {
	p := processOf(t)
	broken := s.quarantine.Broken(p)
	_, err := s.upstreams.Preconnect(context.Background(), t)
	s.mu.Lock()
	delete(s.probing, p)
	s.mu.Unlock()
	unreachable := s.recordProbed(t, err)
	switch {
	case err == nil && unreachable:
		s.log.Debug("not known whether an upstream has crashed", "upstream", string(t.Upstream), "reason", "it was not reachable for a time")
	case err == nil:
		if s.quarantine.RecordAlive(p, broken) {
			s.startProbe(t)
		}
	case errors.Is(err, syscall.ECONNREFUSED):
		s.recordCrash(p, "connection refused")
	default:
		s.log.Debug("not known whether an upstream has crashed", "upstream", string(t.Upstream), "reason", err.Error())
	}
}

// recordReplaced records the crash of each process that broke connections and that a later process
// of the same upstream, or at the same address, has replaced.
func (s *Steerer) recordReplaced(v *cataloger.View) {
	s.mu.Lock()
	suspected := s.quarantine.Suspected()
	maps.DeleteFunc(s.brokenAt, func(p quarantiner.Process, _ string) bool { return !slices.Contains(suspected, p) })
	brokenAt := maps.Clone(s.brokenAt)
	s.mu.Unlock()
	for _, p := range suspected {
		for _, u := range v.Upstreams {
			if u.StartedMs > p.StartedMs && (u.Upstream == p.Upstream || u.Address == brokenAt[p]) {
				s.reportCrash(p, "replaced", s.quarantine.RecordReplaced(s.clock.Now(), p))
				break
			}
		}
	}
}

// recordCrash counts the crash of a process against the requests that were in flight at it.
func (s *Steerer) recordCrash(p quarantiner.Process, reason string) {
	s.reportCrash(p, reason, s.quarantine.RecordGone(s.clock.Now(), p))
}

// reportCrash logs the crash of a process under requests, and tells the other VMs.
func (s *Steerer) reportCrash(p quarantiner.Process, reason string, suspects []quarantiner.Fingerprints) {
	if len(suspects) == 0 {
		return
	}
	now := s.clock.Now()
	s.log.Info("upstream crashed", "upstream", string(p.Upstream), "born", p.StartedMs, "suspects", len(suspects), "reason", reason)
	for _, fps := range suspects {
		if s.quarantine.Decide(now, fps).Action == quarantiner.Refuse {
			s.log.Warn("request quarantined: upstreams crash when they run it", "request", fps[0].String(), "upstream", string(p.Upstream))
		}
	}
	s.onEvidence()
}

// observedRest is the rest of a body that is streamed. Only at its end is it known whether the
// upstream has crashed.
type observedRest struct {
	io.ReadCloser
	steerer  *Steerer
	request  *activeRequest
	decision selector.Decision
}

// Read implements io.Reader.
func (r *observedRest) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		r.steerer.recordResponse(r.request)
	case err != nil:
		r.steerer.recordBroken(r.request, r.decision, err)
	}
	return n, err
}

// recordResponse records that an upstream responded to a request.
func (s *Steerer) recordResponse(a *activeRequest) {
	if s.quarantine.AwaitsResponse() {
		s.quarantine.RecordResponse(s.clock.Now(), a.fingerprints())
	}
}

func processOf(t cataloger.Target) quarantiner.Process {
	return quarantiner.Process{Upstream: t.Upstream, StartedMs: t.StartedMs}
}
