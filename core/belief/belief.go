// Package belief holds what one daemon believes about the health of backend
// servers, from its own attempts and from what other daemons report, and picks
// the server of each attempt by it. It does no I/O and starts nothing.
//
// Each server is taken for a process with two hidden states, sound and sick.
// Every outcome moves the belief by Bayes' rule; between outcomes it relaxes to
// the share of time that servers are sick.
package belief

import (
	"math"
	"sync"
	"time"

	"bilberrymux/core/detect"
	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
)

// Outcome is how an attempt ended, as evidence about the server.
type Outcome string

// The outcomes.
const (
	// Good is a whole answer that is no server error.
	Good Outcome = "good"
	// Failed is a whole answer that is a server error.
	Failed Outcome = "failed"
	// Broken is an exchange that ended without a whole answer.
	Broken Outcome = "broken"
	// Unreachable is a connection that could not be opened.
	Unreachable Outcome = "unreachable"
	// Shed is a server that refused the request for lack of room.
	Shed Outcome = "shed"
	// Misdirected is an address that belongs to another server now.
	Misdirected Outcome = "misdirected"
	// Silent is a server that gave no answer in the time it had.
	Silent Outcome = "silent"
	// Neutral says nothing: the caller left, or another attempt was faster.
	Neutral Outcome = "neutral"
)

// The model of a server's health.
const (
	// sickShare is the part of the time that a server is taken to be sick.
	sickShare = 0.3
	// relaxTime is the time constant in which old evidence loses its weight.
	relaxTime = 9 * time.Second
	// newRisk is the belief about a server that nobody has tried.
	newRisk = 0.1
	// sickFrom is the belief from which a server counts as sick.
	sickFrom = 0.5
	// leastRisk and mostRisk keep a belief from becoming certain.
	leastRisk = 0.005
	mostRisk  = 0.99
)

// likelihood is how likely an outcome is at a sick and at a sound server.
type likelihood struct {
	sick, sound float64
}

var likelihoods = map[Outcome]likelihood{
	Good:   {0.15, 0.98},
	Failed: {0.4, 0.02},
	Broken: {0.85, 0.004},
	Silent: {0.3, 0.01},
}

// pathPause is how long a server is avoided that can't be reached from here; it
// doubles with each failure in a row up to maxPathPause.
const (
	pathPause    = time.Second
	maxPathPause = 8 * time.Second
)

// shedPause is how long a server that had no room gets less work.
const shedPause = 300 * time.Millisecond

// slowWeight is the weight of one answer in the running speed of a server.
const slowWeight = 0.3

// state is what is believed about one start of one server.
type state struct {
	risk float64
	// at is the moment for which risk holds, and that of the newest evidence.
	at    time.Time
	tried bool
	// picked is when this daemon last sent something there.
	picked time.Time
	// active holds the attempts under way from this daemon.
	active []*Attempt
	// elsewhere counts the attempts that other daemons of the zone report.
	elsewhere map[ident.VMID]elsewhere
	// pathUntil is until when the server is taken to be out of reach.
	pathUntil   time.Time
	pathFailed  int
	shedUntil   time.Time
	misdirected bool
	// slowness is the running logarithm of the time of an answer in relation to
	// the usual time of its route.
	slowness float64
	// health is what the server counted as when evidence last came in.
	health Health
}

type elsewhere struct {
	count int
	at    time.Time
}

// elsewhereLife is how long a report of attempts elsewhere is believed.
const elsewhereLife = 800 * time.Millisecond

// Attempt is one attempt under way.
type Attempt struct {
	Server roster.Server
	// Risk is the belief that the server was sick when it was picked, 0 to 1.
	Risk float64
	// Age is the age of the newest evidence at that moment; it is negative for a
	// server that was never tried.
	Age time.Duration
	// Floor says that the server was picked to stay in use, not for its cost.
	Floor   bool
	Started time.Time
	route   string
}

// Book is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	states  map[roster.Key]*state
	usual   map[string]*detect.Quantiles
	loss    map[ident.ServiceID]*lossRate
	options Options
}

// Options are the dependencies of a Book.
type Options struct {
	// Zone is the availability zone of the daemon.
	Zone ident.ZoneID
	// Regions names the region of each availability zone.
	Regions map[ident.ZoneID]ident.RegionID
	// Seed tells the daemons of a zone apart.
	Seed uint64
	// FloorShare is the part of a service's servers that stays in use while
	// some of its requests fail.
	FloorShare float64
	// Changed is told, with the lock of the book held, when the belief about a
	// server passes between sound and sick by own evidence.
	Changed func(s roster.Server, risk float64, outcome Outcome)
}

// New returns a book without evidence.
func New(o Options) *Book {
	return &Book{states: map[roster.Key]*state{}, usual: map[string]*detect.Quantiles{}, loss: map[ident.ServiceID]*lossRate{}, options: o}
}

// Sync forgets servers that are not listed and begins with those that are new.
func (b *Book) Sync(now time.Time, r *roster.Roster) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[roster.Key]bool, len(r.Servers()))
	for i := range r.Servers() {
		key := r.Servers()[i].Key()
		listed[key] = true
		b.state(now, key)
	}
	for key, s := range b.states {
		if !listed[key] && len(s.active) == 0 {
			delete(b.states, key)
		}
	}
}

func (b *Book) state(now time.Time, key roster.Key) *state {
	s := b.states[key]
	if s == nil {
		s = &state{risk: newRisk, at: now, health: Sound}
		b.states[key] = s
	}
	return s
}

// riskAt returns the belief at a moment.
func (s *state) riskAt(now time.Time) float64 {
	rest := sickShare
	if !s.tried {
		rest = newRisk
	}
	fade := math.Exp(-float64(now.Sub(s.at)) / float64(relaxTime))
	return rest + (s.risk-rest)*fade
}

// observe moves the belief by one outcome.
func (s *state) observe(now time.Time, o Outcome) {
	l, counts := likelihoods[o]
	if !counts {
		return
	}
	p := s.riskAt(now)
	p = p * l.sick / (p*l.sick + (1-p)*l.sound)
	s.risk = min(max(p, leastRisk), mostRisk)
	s.at, s.tried = now, true
}

// End records how an attempt ended. Took is the time of the exchange.
func (b *Book) End(now time.Time, a *Attempt, o Outcome, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(now, a.Server.Key())
	s.remove(a)
	s.observe(now, o)
	switch o {
	case Good:
		s.pathFailed, s.pathUntil = 0, time.Time{}
		b.timed(s, a, took)
	case Unreachable:
		s.pathFailed++
		s.pathUntil = now.Add(min(pathPause<<min(s.pathFailed-1, 8), maxPathPause))
	case Shed:
		s.shedUntil = now.Add(shedPause)
	case Misdirected:
		s.misdirected = true
	default:
	}
	b.judge(s, a.Server, o)
}

// judge tells of a server that passed between sound and sick.
func (b *Book) judge(s *state, server roster.Server, o Outcome) {
	if health := HealthOf(s.risk); health != s.health {
		s.health = health
		b.options.Changed(server, s.risk, o)
	}
}

func (s *state) remove(a *Attempt) {
	for i, o := range s.active {
		if o == a {
			s.active = append(s.active[:i], s.active[i+1:]...)
			return
		}
	}
}

// timed compares the time of a good answer with the usual one of its route.
func (b *Book) timed(s *state, a *Attempt, took time.Duration) {
	q := b.usual[a.route]
	if q == nil {
		q = detect.NewQuantiles(highQuantile)
		b.usual[a.route] = q
	}
	if q.Warm() {
		ratio := math.Log(float64(took) / float64(q.Median()))
		s.slowness += (ratio - s.slowness) * slowWeight
	}
	q.Add(took)
}

// highQuantile is the quantile beyond which an answer is late.
const highQuantile = 0.95

// Late returns the time beyond which an answer of a route is late, and false
// while too few answers were seen.
func (b *Book) Late(route string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.usual[route]
	if q == nil || !q.Warm() {
		return 0, false
	}
	return q.High(), true
}

// Report is what daemons tell each other about one server.
type Report struct {
	ID   ident.ServerID `cbor:"1,keyasint"`
	Born int64          `cbor:"2,keyasint"`
	// Risk is the belief in parts of riskScale.
	Risk uint8 `cbor:"3,keyasint"`
	// AgeMillis is the age of the newest evidence.
	AgeMillis uint32 `cbor:"4,keyasint"`
	// Active is the number of attempts under way.
	Active uint8 `cbor:"5,keyasint,omitempty"`
}

// riskScale is the greatest Risk of a Report.
const riskScale = 255

// Health is a belief in one word.
type Health string

// The beliefs.
const (
	Sick  Health = "sick"
	Sound Health = "sound"
)

// HealthOf returns what a server with a risk of 0 to 1 counts as.
func HealthOf(risk float64) Health {
	if risk >= sickFrom {
		return Sick
	}
	return Sound
}

// Believed returns the belief of a report, 0 to 1.
func (r *Report) Believed() float64 {
	return float64(r.Risk) / riskScale
}

// Reports returns what is known of servers with evidence or attempts younger
// than the given age, at most limit of them.
func (b *Book) Reports(now time.Time, younger time.Duration, limit int) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Report
	for key, s := range b.states {
		if len(out) == limit {
			break
		}
		if (s.tried && now.Sub(s.at) < younger) || len(s.active) > 0 {
			out = append(out, s.report(now, key))
		}
	}
	return out
}

// Report returns what is known of one server.
func (b *Book) Report(now time.Time, key roster.Key) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(now, key).report(now, key)
}

func (s *state) report(now time.Time, key roster.Key) Report {
	r := Report{
		ID: key.ID, Born: key.StartMillis, Risk: uint8(math.Round(s.risk * riskScale)),
		AgeMillis: math.MaxUint32, Active: uint8(min(len(s.active), math.MaxUint8)),
	}
	if s.tried {
		r.AgeMillis = uint32(min(max(now.Sub(s.at).Milliseconds(), 0), math.MaxUint32))
	}
	return r
}

// Hear takes over a report of another daemon where its evidence is newer. It
// reports whether the server passed between sound and sick.
func (b *Book) Hear(now time.Time, from ident.VMID, r Report) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[roster.Key{ID: r.ID, StartMillis: r.Born}]
	if s == nil {
		return false
	}
	if from != "" {
		if s.elsewhere == nil {
			s.elsewhere = map[ident.VMID]elsewhere{}
		}
		s.elsewhere[from] = elsewhere{int(r.Active), now}
	}
	if r.AgeMillis == math.MaxUint32 {
		return false
	}
	at := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	if s.tried && !at.After(s.at) {
		return false
	}
	s.risk = min(max(r.Believed(), leastRisk), mostRisk)
	s.at, s.tried = at, true
	health := HealthOf(s.risk)
	changed := health != s.health
	s.health = health
	return changed
}

// View is what is believed about one server, for people.
type View struct {
	ID          ident.ServerID `json:"id"`
	Risk        float64        `json:"risk"`
	Tried       bool           `json:"tried"`
	AgeMillis   int64          `json:"ageMillis"`
	Active      int            `json:"active"`
	Unreachable bool           `json:"unreachable"`
}

// Views returns the present beliefs.
func (b *Book) Views(now time.Time) []View {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]View, 0, len(b.states))
	for key, s := range b.states {
		out = append(out, View{
			ID: key.ID, Risk: s.riskAt(now), Tried: s.tried, AgeMillis: now.Sub(s.at).Milliseconds(),
			Active: len(s.active), Unreachable: now.Before(s.pathUntil),
		})
	}
	return out
}
