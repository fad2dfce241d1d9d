package runner

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/front/diagnoser"
	"github.com/waxwingloom/waxwingloom/internal/front/receiver"
	"github.com/waxwingloom/waxwingloom/internal/kernel/registrar"
	"github.com/waxwingloom/waxwingloom/internal/route/steerer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/discoverer"
	"github.com/waxwingloom/waxwingloom/platform"
)

// diagnosisName is the service that tells what the VM lacks to be ready.
const diagnosisName registrar.Name = "diagnosis"

// What a routed VM needs to be ready, in logs, metrics and responses.
const (
	documentNeed  diagnoser.Need = "document"
	upstreamsNeed diagnoser.Need = "upstreams"
	admissionNeed diagnoser.Need = "admission"
)

// registerReadiness registers what tells whether the VM is ready for callers, and the server for
// readiness checks.
func registerReadiness(r *registrar.Registrar, log *slog.Logger) {
	deps := []registrar.Name{clockName, steerName, callersName, configName, upstreamsName, discoverName}
	r.Register(diagnosisName, deps, func(f registrar.Finder) (any, func(), error) {
		st := f.Find(steerName).(*steerer.Steerer)
		front := f.Find(callersName).(*receiver.Receiver)
		config, upstreams := f.Find(configName).(*follower.Follower), f.Find(upstreamsName).(*follower.Follower)
		discovered := f.Find(discoverName).(*discoverer.Discoverer)
		checks := []diagnoser.Check{
			{Need: documentNeed, Find: func() string {
				if known, _ := st.Known(); known {
					return ""
				}
				return reasonOf(config.State(), "the store has no document")
			}},
			{Need: upstreamsNeed, Find: func() string {
				if _, known := st.Known(); known {
					return ""
				}
				return reasonOf(upstreams.State(), listedUpstreams(discovered))
			}},
			{Need: admissionNeed, Find: func() string {
				if !front.ShuttingDown() {
					return ""
				}
				return "a planned stop is under way"
			}},
		}
		return diagnoser.New(checks, f.Find(clockName).(clockwork.Clock), log), nil, nil
	})
	r.Register(readyName, []registrar.Name{portsName, diagnosisName, graceName, clockName, memoryName}, func(f registrar.Finder) (any, func(), error) {
		diagnosis := f.Find(diagnosisName).(*diagnoser.Diagnoser)
		lacks := func() string { return diagnosis.Lacks().String() }
		return newAdminServer(f, f.Find(portsName).(*listeners).ready, platform.ReadyHandler(lacks), log), nil, nil
	})
}

// reasonOf returns why nothing is known of the records of a kind. listed is the reason if they were
// read and taken over.
func reasonOf(s follower.State, listed string) string {
	var reasons []string
	switch {
	case s.Refusal != nil:
		reasons = append(reasons, "the latest record is not in force: "+s.Refusal.Error())
	case s.Listed:
		reasons = append(reasons, listed)
	}
	switch {
	case s.StoreErr != nil:
		reasons = append(reasons, fmt.Sprintf("the store has not answered since %s: %v", s.StoreLostAt.UTC().Format(time.RFC3339Nano), s.StoreErr))
	case !s.Listed:
		reasons = append(reasons, "no answer of the store yet")
	}
	return strings.Join(reasons, "; ")
}

// listedUpstreams returns why no upstream is known although their records were read.
func listedUpstreams(d *discoverer.Discoverer) string {
	if count, err := d.Unreadable(); count > 0 {
		return fmt.Sprintf("none of the %d upstreams that the store lists can be read: %v", count, err)
	}
	return "the store lists no upstream"
}
