package converter

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/peer/encoder"
	"github.com/waxwingloom/waxwingloom/internal/route/quarantiner"
)

// Suspects returns the evidence against requests as messages. Times are sent as ages, since
// the clocks of two VMs may differ.
func Suspects(records []quarantiner.Record, now time.Time) []*encoder.Suspect {
	out := make([]*encoder.Suspect, 0, len(records))
	for _, r := range records {
		s := &encoder.Suspect{Fingerprint: r.Fingerprint[:]}
		for _, c := range r.Crashes {
			s.Crashes = append(s.Crashes, &encoder.Crash{
				Upstream: string(c.Upstream), Born: c.StartedMs, Age: now.Sub(c.At).Milliseconds(), Cleared: c.Cleared,
			})
		}
		out = append(out, s)
	}
	return out
}

// SuspectsFrom returns the evidence in messages. It leaves out fingerprints of another
// length.
func SuspectsFrom(suspects []*encoder.Suspect, now time.Time) []quarantiner.Record {
	out := make([]quarantiner.Record, 0, len(suspects))
	for _, s := range suspects {
		r := quarantiner.Record{}
		if len(s.GetFingerprint()) != len(r.Fingerprint) {
			continue
		}
		copy(r.Fingerprint[:], s.GetFingerprint())
		for _, c := range s.GetCrashes() {
			r.Crashes = append(r.Crashes, quarantiner.Crash{
				Process: quarantiner.Process{Upstream: namer.Upstream(c.GetUpstream()), StartedMs: c.GetBorn()},
				At:      now.Add(-AgeFrom(c.GetAge())),
				Cleared: c.GetCleared(),
			})
		}
		out = append(out, r)
	}
	return out
}
