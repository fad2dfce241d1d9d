package selector

import (
	"time"

	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
)

const (
	// loadHalfLife is the half-life of the load that an upstream reported. It is as long as
	// a request takes, after which other VMs' requests there are others.
	loadHalfLife = 300 * time.Millisecond
	// deviationHalfLife is the half-life of an upstream's deviation from the mean: it is
	// slower than others, or has objects that are requested more often.
	deviationHalfLife = 3 * time.Second
	// deviationWeight is the weight of a new report in the deviation.
	deviationWeight = 0.3
	// meanLoadHalfLife is the half-life of the mean load while no upstream reports any.
	meanLoadHalfLife = time.Second
	// priorWeight is the weight of the mean of all zones in the mean of one, as the report of
	// an upstream with few requests.
	priorWeight = 0.25
)

type (
	// loadReport is the load that an upstream reported, and this VM's requests in flight
	// at that time.
	loadReport struct {
		requests float64
		inFlight int
		at       time.Time
		// deviation is by how much the upstream lately had more requests of other VMs than
		// the mean of its zone.
		deviation float64
	}

	// meanLoad is the recent mean of the requests of other VMs at upstreams, per slot.
	//
	// It handles many VMs that each send an upstream a request only now and then: the last
	// report of most upstreams is older than the requests that it counted.
	meanLoad struct {
		sum    float64
		weight float64
		at     time.Time
	}

	// serviceLoad is the mean load of a service's upstreams, in all and by zone.
	serviceLoad struct {
		all   meanLoad
		zones map[namer.Zone]*meanLoad
	}
)

func newServiceLoad() *serviceLoad {
	return &serviceLoad{zones: make(map[namer.Zone]*meanLoad)}
}

// record adds the report of an upstream. A busy upstream sends more responses than another
// one, so its reports weigh less.
func (l *serviceLoad) record(now time.Time, u *upstreamState) {
	slots := float64(max(u.Slots, 1))
	weight := 1 / min(u.reported.requests+1, slots)
	l.all.record(now, u.reported.others()/slots, weight)
	if l.zones[u.Zone] == nil {
		l.zones[u.Zone] = &meanLoad{}
	}
	l.zones[u.Zone].record(now, u.reported.others()/slots, weight)
}

// othersPerSlot returns the expected number of requests of other VMs at an upstream of a zone,
// per slot. Where there are few reports of the zone it is close to the mean of all zones.
func (l *serviceLoad) othersPerSlot(now time.Time, zone namer.Zone) float64 {
	if l.all.weight == 0 {
		return 0
	}
	all := l.all.sum / l.all.weight
	sum, weight := all*priorWeight, priorWeight
	if z := l.zones[zone]; z != nil {
		left := decayFactor(now.Sub(z.at), loadHalfLife)
		sum += z.sum * left
		weight += z.weight * left
	}
	return sum / weight * decayFactor(now.Sub(l.all.at), meanLoadHalfLife)
}

func (m *meanLoad) record(now time.Time, othersPerSlot, weight float64) {
	left := decayFactor(now.Sub(m.at), loadHalfLife)
	m.sum = m.sum*left + othersPerSlot*weight
	m.weight = m.weight*left + weight
	m.at = now
}

// others returns the requests of other VMs that the report counted.
func (r loadReport) others() float64 {
	return max(0, r.requests-float64(r.inFlight))
}

// recordLoad records the load that an upstream reported.
func (u *upstreamState) recordLoad(now time.Time, requests float64) {
	mean := u.meanOthers(now)
	last := u.reported
	u.reported = loadReport{requests: requests, inFlight: u.inFlight, at: now}
	before := last.deviation * decayFactor(now.Sub(last.at), deviationHalfLife)
	u.reported.deviation = before + deviationWeight*(u.reported.others()-mean-before)
	u.load.record(now, u)
}

// meanOthers returns the mean number of requests of other VMs at the upstreams of the zone.
func (u *upstreamState) meanOthers(now time.Time) float64 {
	return u.load.othersPerSlot(now, u.Zone) * float64(u.Slots)
}

// estimatedLoad estimates the number of requests at the upstream: this VM's own, and those of
// others by the last report, which approaches what the upstream usually has, and later the
// mean of all upstreams, as it gets older.
func (u *upstreamState) estimatedLoad(now time.Time) float64 {
	usual := u.meanOthers(now)
	if u.reported.at.IsZero() {
		return usual + float64(u.inFlight)
	}
	age := now.Sub(u.reported.at)
	usual = max(0, usual+u.reported.deviation*decayFactor(age, deviationHalfLife))
	return usual + (u.reported.others()-usual)*decayFactor(age, loadHalfLife) + float64(u.inFlight)
}

// loadAge returns the age of the last reported load, and -1 when there is none.
func (u *upstreamState) loadAge(now time.Time) time.Duration {
	if u.reported.at.IsZero() {
		return -1
	}
	return now.Sub(u.reported.at).Round(time.Millisecond)
}

// maxLoad returns the load from which on requests wait on this VM.
func (u *upstreamState) maxLoad() float64 {
	return float64(u.Slots) * (1 + upstreamQueueFraction)
}
