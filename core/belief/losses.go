package belief

import (
	"math"
	"time"

	"bilberrymux/core/ident"
)

// The parameters of the loss rate of a service.
const (
	// degradedLossRate is the share of requests without a good response from which a
	// service is degraded. The floor of a service of any size applies while it is degraded.
	degradedLossRate = 0.06
	// lossDecayTime is the time constant with which past requests decay in the loss rate.
	lossDecayTime = 2 * time.Second
	// minReportedTotal is the decayed number of requests below which a loss rate is neither reported
	// nor kept.
	minReportedTotal = 0.1
)

// LossReport holds the decayed numbers of a service's requests that one daemon counted.
type LossReport struct {
	Service ident.ServiceID `cbor:"1,keyasint"`
	// Lost is the number of requests without a good response, out of Total.
	Lost  float32 `cbor:"2,keyasint"`
	Total float32 `cbor:"3,keyasint"`
}

// lossCount holds the decayed number of requests and of those that were lost, at the given time.
type lossCount struct {
	lost, total float64
	at          time.Time
}

// decayed returns the numbers at the given time.
func (l lossCount) decayed(now time.Time) lossCount {
	decay := math.Exp(-float64(now.Sub(l.at)) / float64(lossDecayTime))
	return lossCount{l.lost * decay, l.total * decay, now}
}

// lossRate is the exponentially decaying share of requests that a service lost in the zone.
type lossRate struct {
	own lossCount
	// remote holds the counts that other daemons of the zone reported.
	remote map[ident.VMID]lossCount
}

// rate returns the share of requests, from 0 to 1, that the zone lost. It deletes reports that have
// decayed.
func (l *lossRate) rate(now time.Time) float64 {
	sum := l.own.decayed(now)
	for vm, r := range l.remote {
		r = r.decayed(now)
		if r.total < minReportedTotal {
			delete(l.remote, vm)
			continue
		}
		sum.lost, sum.total = sum.lost+r.lost, sum.total+r.total
	}
	if sum.total == 0 {
		return 0
	}
	return sum.lost / sum.total
}

// degraded reports whether the loss rate has reached degradedLossRate.
func (l *lossRate) degraded(now time.Time) bool {
	return l.rate(now) >= degradedLossRate
}

// LossRate returns the share of a service's recent requests, from 0 to 1, that the daemons of the zone
// lost.
func (t *Tracker) LossRate(now time.Time, service ident.ServiceID) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lossRateOf(service).rate(now)
}

// LossReports returns the loss rates of this daemon's own requests, in no particular order.
func (t *Tracker) LossReports(now time.Time) []LossReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []LossReport
	for service, l := range t.lossRates {
		if own := l.own.decayed(now); own.total >= minReportedTotal {
			out = append(out, LossReport{Service: service, Lost: float32(own.lost), Total: float32(own.total)})
		}
	}
	return out
}

// MergeLosses stores the loss rates that another daemon of the zone reports. It ignores impossible
// numbers.
func (t *Tracker) MergeLosses(now time.Time, from ident.VMID, reports []LossReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if !(r.Lost >= 0 && r.Lost <= r.Total && r.Total <= math.MaxInt32) {
			continue
		}
		l := t.lossRateOf(r.Service)
		if l.remote == nil {
			l.remote = map[ident.VMID]lossCount{}
		}
		l.remote[from] = lossCount{float64(r.Lost), float64(r.Total), now}
	}
}

// RecordRequest records whether a request for a service got a good response. Don't call
// it for requests with a probe: their losses would cause further probes.
func (t *Tracker) RecordRequest(now time.Time, service ident.ServiceID, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lossRateOf(service)
	l.own = l.own.decayed(now)
	l.own.total++
	if !served {
		l.own.lost++
	}
}

// lossRateOf returns the loss rate of a service and creates it if there is none.
func (t *Tracker) lossRateOf(service ident.ServiceID) *lossRate {
	l := t.lossRates[service]
	if l == nil {
		l = &lossRate{}
		t.lossRates[service] = l
	}
	return l
}
