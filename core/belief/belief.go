// Package belief estimates the health of backend servers and selects the server
// for each attempt. The estimates are based on the attempts of this daemon and on
// the reports of other daemons. The package does no I/O and starts no goroutines.
//
// Each server is modelled as a process with two hidden states, sound and sick.
// Each outcome updates the probability that the server is sick by Bayes' rule.
// Between outcomes the probability decays to the share of time for which servers
// are assumed to be sick.
package belief

import (
	"math"
	"sync"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
)

// Outcome is the result of an attempt, used as evidence about the health of the server.
type Outcome string

// The outcomes of an attempt.
const (
	// Good means that a complete response arrived which is not a server error.
	Good Outcome = "good"
	// Failed means that a complete response arrived which is a server error.
	Failed Outcome = "failed"
	// Broken means that the exchange ended without a complete response.
	Broken Outcome = "broken"
	// Unreachable means that no connection could be opened.
	Unreachable Outcome = "unreachable"
	// Shed means that the server refused the request because it was overloaded.
	Shed Outcome = "shed"
	// Misdirected means that the address now belongs to another server.
	Misdirected Outcome = "misdirected"
	// Silent means that the server did not respond before the timeout.
	Silent Outcome = "silent"
	// Overdue means that a server has not responded for longer than its route's responses usually
	// take, while the attempt goes on.
	Overdue Outcome = "overdue"
	// Neutral means that this daemon ended the attempt: the caller disconnected, or another attempt
	// responded first. Like Silent, it is evidence by the time that the attempt had waited.
	Neutral Outcome = "neutral"
)

// The parameters of the health model. Risks are probabilities that a server is sick.
const (
	// steadyStateRisk is the share of time for which a server is assumed to be sick. The
	// risk of a server with evidence decays to it.
	steadyStateRisk = 0.3
	// decayTime is the time constant with which the weight of evidence decays.
	decayTime = 9 * time.Second
	// initialRisk is the risk of a server for which there is no evidence.
	initialRisk = 0.1
	// sickThreshold is the risk from which a server counts as sick.
	sickThreshold = 0.5
	// minRisk and maxRisk bound the risk, so that further evidence can still change it.
	minRisk = 0.005
	maxRisk = 0.99
)

// likelihood holds the probabilities of an outcome at a sick and at a sound server.
type likelihood struct {
	sick, sound float64
}

// likelihoods holds the likelihood of each outcome that is evidence of health. Other
// outcomes leave the risk unchanged.
var likelihoods = map[Outcome]likelihood{
	Good:   {0.15, 0.98},
	Failed: {0.4, 0.02},
	Broken: {0.85, 0.004},
}

// unreachableBackoff is how long a server is avoided after this daemon failed to
// connect to it. It doubles with each failure since the last Good outcome, up to
// maxUnreachableBackoff.
const (
	unreachableBackoff    = time.Second
	maxUnreachableBackoff = 8 * time.Second
)

// misdirectedBackoff is how long a server is left out after another one has answered at its address. It doubles with
// each such response since the last Good outcome, up to maxMisdirectedBackoff. The row of a server that is
// gone is removed within this time, unless the store is away.
const (
	misdirectedBackoff    = 5 * time.Second
	maxMisdirectedBackoff = time.Minute
)

// shedCooldown is how long a server gets fewer requests after it shed one.
const shedCooldown = 300 * time.Millisecond

// slownessWeight is the weight of one response in the moving average of a server's slowness.
const slownessWeight = 0.3

// state holds the health estimate of one run of a server.
type state struct {
	// risk is the probability, at evidenceAt, that the server is sick.
	risk float64
	// evidenceAt is the time of the newest evidence, or of the creation of the state.
	evidenceAt  time.Time
	hasEvidence bool
	// heard reports whether the newest evidence is that of another daemon.
	heard bool
	// failures counts the failed attempts of all daemons, as far as known, since the last good response.
	failures int
	// lastPicked is when this daemon last picked the server for an attempt.
	lastPicked time.Time
	// active holds the in-flight attempts of this daemon.
	active []*Attempt
	// remote holds the in-flight attempts that other daemons of the zone report.
	remote map[ident.VMID]remoteAttempts
	// unreachableUntil is the end of the backoff after a failed connection.
	unreachableUntil time.Time
	// dialFailures counts the failed connections since the last Good outcome.
	dialFailures int
	shedUntil    time.Time
	// misdirectedUntil is the end of the time for which the server is left out after another one has answered at
	// its address, and misdirections counts such responses since the last Good outcome.
	misdirectedUntil time.Time
	misdirections    int
	// slowness is the moving average of the natural logarithm of response time divided by
	// the median response time of the route.
	slowness float64
	// health is the health of the server after the newest evidence.
	health Health
}

// remoteAttempts is the number of in-flight attempts that another daemon reported, and the
// time at which the report arrived.
type remoteAttempts struct {
	count int
	at    time.Time
}

// remoteAttemptsTTL is how long a reported number of in-flight attempts is used.
const remoteAttemptsTTL = 800 * time.Millisecond

// PickReason is why a server was picked for an attempt.
type PickReason string

const (
	// LeastCost means that the server had the lowest expected cost.
	LeastCost PickReason = "leastCost"
	// KeepInUse means that the server had been idle for too long.
	KeepInUse PickReason = "keepInUse"
	// Probe means that the server is in doubt, and that the attempt finds out whether it is sound.
	Probe PickReason = "probe"
)

// Attempt is an in-flight attempt.
type Attempt struct {
	Server roster.Server
	// Risk is the probability, from 0 to 1, that the server was sick when it was picked.
	Risk float64
	// EvidenceAge is the age of the newest evidence when the server was picked. It is negative
	// if there was no evidence.
	EvidenceAge time.Duration
	// Reason is why the server was picked.
	Reason  PickReason
	Started time.Time
	route   string
	// target is the target latency of the route.
	target time.Duration
	// crowding is the factor, at least 1, by which the attempts at the server exceed its slots.
	crowding float64
	// overdueAt is the time at which Overdue was called, or zero.
	overdueAt time.Time
	// overdueRatio is the likelihood ratio that Overdue has applied, or 0.
	overdueRatio float64
}

// Tracker estimates the health and load of backend servers and picks servers for
// attempts. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	states    map[roster.Key]*state
	latencies map[string]*latencies
	lossRates map[ident.ServiceID]*lossRate
	observer  observer
	options   Options
}

// Options configure a Tracker.
type Options struct {
	// Zone is the availability zone of the daemon.
	Zone ident.ZoneID
	// Regions names the region of each availability zone.
	Regions map[ident.ZoneID]ident.RegionID
	// Seed differs between the daemons of a zone, so that their floor attempts are spread
	// over time.
	Seed uint64
	// FloorShare is the share, from 0 to 1, of a service's servers that must stay in use
	// while some of its requests fail.
	FloorShare float64
	// OnChange is called when an attempt of this daemon changes the health of a server
	// between sound and sick. The lock of the Tracker is held during the call, so
	// OnChange must not call the Tracker.
	OnChange func(s roster.Server, risk float64, outcome Outcome)
	// OnSlow is called when the daemon itself becomes slow, so that missing responses are no evidence, and when
	// it no longer is. It may be nil. The lock of the Tracker is held during the call.
	OnSlow func(slow bool)
}

// New returns a Tracker without evidence.
func New(o Options) *Tracker {
	return &Tracker{states: map[roster.Key]*state{}, latencies: map[string]*latencies{}, lossRates: map[ident.ServiceID]*lossRate{}, options: o}
}

// Sync adds the servers that are new in the roster and removes those that are no longer
// listed. A removed server with in-flight attempts is kept until a later call.
func (t *Tracker) Sync(now time.Time, r *roster.Roster) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[roster.Key]bool, len(r.Servers()))
	for i := range r.Servers() {
		key := r.Servers()[i].Key()
		listed[key] = true
		t.state(now, key)
	}
	for key, s := range t.states {
		if !listed[key] && len(s.active) == 0 {
			delete(t.states, key)
		}
	}
}

// state returns the state of a server and creates it if there is none.
func (t *Tracker) state(now time.Time, key roster.Key) *state {
	s := t.states[key]
	if s == nil {
		s = &state{risk: initialRisk, evidenceAt: now, health: Sound}
		t.states[key] = s
	}
	return s
}

// riskAt returns the probability that the server is sick at the given time.
func (s *state) riskAt(now time.Time) float64 {
	steady := steadyStateRisk
	if !s.hasEvidence {
		steady = initialRisk
	}
	decay := math.Exp(-float64(now.Sub(s.evidenceAt)) / float64(decayTime))
	return steady + (s.risk-steady)*decay
}

// observe updates the risk with the outcome of an attempt by Bayes' rule.
func (s *state) observe(now time.Time, o Outcome) {
	l, isEvidence := likelihoods[o]
	if !isEvidence {
		return
	}
	if o == Good {
		s.failures = 0
	} else {
		s.failures++
	}
	s.applyRatio(now, l.sick/l.sound)
}

// End records the outcome of an attempt. The duration of the exchange, took, is used
// for Good outcomes only.
func (t *Tracker) End(now time.Time, a *Attempt, o Outcome, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(now, a.Server.Key())
	s.removeAttempt(a)
	if a.overdueAt.IsZero() && (o == Good || o == Failed || o == Shed) {
		t.observe(now, false)
	}
	t.recordWaiting(now, s, a, o)
	s.observe(now, o)
	switch o {
	case Good:
		s.dialFailures, s.unreachableUntil = 0, time.Time{}
		s.misdirections = 0
		t.recordLatency(s, a, took)
	case Unreachable:
		if t.observer.wasSlow(a.Started, now) {
			break
		}
		s.dialFailures++
		s.unreachableUntil = now.Add(min(unreachableBackoff<<min(s.dialFailures-1, 8), maxUnreachableBackoff))
	case Shed:
		s.shedUntil = now.Add(shedCooldown)
	case Misdirected:
		s.misdirections++
		s.misdirectedUntil = now.Add(min(misdirectedBackoff<<min(s.misdirections-1, 8), maxMisdirectedBackoff))
	default:
	}
	t.notifyHealthChange(s, a.Server, o)
}

// observe records an attempt that was answered in time or is overdue, and calls OnSlow if that changes whether this
// daemon is slow.
func (t *Tracker) observe(now time.Time, overdue bool) {
	if !t.observer.record(now, overdue) {
		return
	}
	if t.observer.slow {
		t.withdrawOverdue(now)
	}
	if t.options.OnSlow != nil {
		t.options.OnSlow(t.observer.slow)
	}
}

// withdrawOverdue takes back what overdue attempts have said about servers, since this daemon delays them
// itself.
func (t *Tracker) withdrawOverdue(now time.Time) {
	for _, s := range t.states {
		for _, a := range s.active {
			if a.overdueRatio > 0 {
				s.applyRatio(now, 1/a.overdueRatio)
				a.overdueRatio = 0
			}
		}
	}
}

// Slow reports whether this daemon itself was slow at any time since the given one.
func (t *Tracker) Slow(now, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.observer.wasSlow(since, now)
}

// notifyHealthChange calls OnChange if the server changed between sound and sick.
func (t *Tracker) notifyHealthChange(s *state, server roster.Server, o Outcome) {
	if health := HealthOf(s.risk); health != s.health {
		s.health = health
		t.options.OnChange(server, s.risk, o)
	}
}

// removeAttempt removes an attempt from the in-flight attempts.
func (s *state) removeAttempt(a *Attempt) {
	for i, o := range s.active {
		if o == a {
			s.active = append(s.active[:i], s.active[i+1:]...)
			return
		}
	}
}
