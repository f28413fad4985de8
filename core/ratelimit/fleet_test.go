package ratelimit

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
	"bilberrymux/internal/testfiles"
)

// The rule for a server that names a limit, and the timing of the simulated fleet.
const (
	limitDelay    = 3 * time.Second
	toldDelay     = 500 * time.Millisecond
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitReserve  = 5
	gossipPeriod  = 300 * time.Millisecond
	downAfter     = 1200 * time.Millisecond
	serviceTime   = 160 * time.Millisecond
	simulatedStep = 5 * time.Millisecond
)

// fleetScript describes a zone of daemons, all of which send as many requests to one server with a limit as
// they may. Times are in seconds since the server first named its limit.
type fleetScript struct {
	Daemons, Owners int
	// Limits holds the limits that the server names, PerSecond from the time From on. A negative limit
	// means that it names none.
	Limits []struct{ From, PerSecond float64 }
	// RequestsPerSecond is the rate at which each daemon gets requests.
	RequestsPerSecond float64
	// DatagramLoss is the share of lost datagrams.
	DatagramLoss float64
	// Faults lists the daemons, from First to Last, that are down or cut off from all others for a time.
	Faults []struct {
		From, Until float64
		First, Last int
		// Group is 0 for daemons that are down. Daemons of the same other group hear each other.
		Group int
	}
	Length float64
	// LeastShare is the least share of the limit that must be used from limitDelay on.
	LeastShare float64
}

// simulatedDaemon is one daemon of the zone.
type simulatedDaemon struct {
	limits     *Limits
	group      int
	down       bool
	lastHeard  map[int]time.Time
	gossipAt   time.Time
	firstTold  time.Time
	pendingEnd []time.Time
}

// simulatedFleet is a running fleetScript.
type simulatedFleet struct {
	script  *fleetScript
	random  *rand.Rand
	start   time.Time
	daemons []*simulatedDaemon
	// counted holds the times of the requests from daemons that had been told of the limit.
	counted []time.Time
}

var limitedServer = roster.Server{ID: "s", Service: "svc", Zone: "z"}

func newSimulatedFleet(script *fleetScript) *simulatedFleet {
	f := &simulatedFleet{script: script, random: rand.New(rand.NewPCG(1, 25)), start: time.Unix(1000, 0)}
	for range script.Daemons {
		d := &simulatedDaemon{
			limits: New(), group: 1, lastHeard: map[int]time.Time{},
			gossipAt: f.start.Add(time.Duration(f.random.Int64N(int64(gossipPeriod)))),
		}
		d.limits.Sync(f.start, roster.New(ident.StoreVersion{Number: 1}, []roster.Server{limitedServer}))
		f.daemons = append(f.daemons, d)
	}
	for i, d := range f.daemons {
		for other := range f.daemons {
			if other != i {
				d.lastHeard[other] = f.start
			}
		}
	}
	return f
}

// limitAt returns the limit that the server names at a time, or a negative number.
func (f *simulatedFleet) limitAt(now time.Time) float64 {
	limit := -1.0
	for _, l := range f.script.Limits {
		if now.Sub(f.start).Seconds() >= l.From {
			limit = l.PerSecond
		}
	}
	return limit
}

func (f *simulatedFleet) applyFaults(now time.Time) {
	for _, d := range f.daemons {
		d.down, d.group = false, 1
	}
	at := now.Sub(f.start).Seconds()
	for _, fault := range f.script.Faults {
		if at < fault.From || at >= fault.Until {
			continue
		}
		for i := fault.First; i <= fault.Last; i++ {
			f.daemons[i].down, f.daemons[i].group = fault.Group == 0, fault.Group
		}
	}
}

// zoneOf returns the zone as a daemon sees it. The first live daemons are the owners.
func (f *simulatedFleet) zoneOf(now time.Time, self int) Zone {
	z := Zone{Live: 1, Known: 1, Position: 0}
	for other, at := range f.daemons[self].lastHeard {
		z.Known++
		if now.Sub(at) > downAfter {
			continue
		}
		z.Live++
		if other < self {
			z.Position++
		}
	}
	z.Owners = min(f.script.Owners, z.Live)
	if z.Position >= z.Owners {
		z.Position = -1
	}
	return z
}

func (f *simulatedFleet) gossip(now time.Time, self int) {
	d := f.daemons[self]
	if now.Before(d.gossipAt) {
		return
	}
	d.gossipAt = now.Add(gossipPeriod)
	reports := d.limits.Reports(now, 9)
	for other, o := range f.daemons {
		if other == self || o.down || o.group != d.group || f.random.Float64() < f.script.DatagramLoss {
			continue
		}
		o.lastHeard[self] = now
		for _, r := range reports {
			o.limits.Merge(now, r)
		}
	}
	zone := f.zoneOf(now, self)
	d.limits.SetShares(now, func(_ roster.Key, perSecond float64) float64 { return zone.Share(perSecond) })
}

// work ends the requests of a daemon that the server has answered, and sends new ones.
func (f *simulatedFleet) work(now time.Time, d *simulatedDaemon) {
	for len(d.pendingEnd) > 0 && !now.Before(d.pendingEnd[0]) {
		d.pendingEnd = d.pendingEnd[1:]
		limit := f.limitAt(now)
		if limit >= 0 && d.firstTold.IsZero() {
			d.firstTold = now
		}
		d.limits.Learn(now, limitedServer.Key(), Statement{Limited: limit >= 0, PerSecond: max(0, limit), At: now})
	}
	if f.random.Float64() >= f.script.RequestsPerSecond*simulatedStep.Seconds() || !d.limits.Allows(now, limitedServer.Key()) {
		return
	}
	d.limits.Take(now, limitedServer.Key())
	d.pendingEnd = append(d.pendingEnd, now.Add(serviceTime))
	if !d.firstTold.IsZero() && now.Sub(d.firstTold) >= toldDelay {
		f.counted = append(f.counted, now)
	}
}

func (f *simulatedFleet) run() {
	end := f.start.Add(time.Duration(f.script.Length * float64(time.Second)))
	for now := f.start; now.Before(end); now = now.Add(simulatedStep) {
		f.applyFaults(now)
		for i, d := range f.daemons {
			if d.down {
				d.pendingEnd = nil
				continue
			}
			f.work(now, d)
			f.gossip(now, i)
		}
	}
}

// windowEnding returns the number of counted requests in the limitWindow that ends at a time.
func (f *simulatedFleet) windowEnding(end time.Time) int {
	n := 0
	for _, at := range f.counted {
		if at.After(end.Add(-limitWindow)) && !at.After(end) {
			n++
		}
	}
	return n
}

func TestFleetKeepsLimits(t *testing.T) {
	testfiles.EachJSON(t, "testdata/fleets/*.json", func(t *testing.T, script *fleetScript) {
		f := newSimulatedFleet(script)
		f.run()
		end := f.start.Add(time.Duration(script.Length * float64(time.Second)))
		for at := f.start.Add(limitDelay); at.Before(end); at = at.Add(50 * time.Millisecond) {
			// The greatest limit of the window and of the time that news of a lower one takes.
			limit := max(f.limitAt(at), f.limitAt(at.Add(-limitWindow)), f.limitAt(at.Add(-limitWindow-toldDelay)))
			if f.limitAt(at) < 0 || f.limitAt(at.Add(-limitWindow)) < 0 {
				continue
			}
			if got, most := f.windowEnding(at), limitFactor*limit*limitWindow.Seconds()+limitReserve; float64(got) > most {
				t.Fatalf("%d requests in the %v up to %v at a limit of %v a second, want at most %v", got, limitWindow, at.Sub(f.start), limit, most)
			}
		}
		used := 0
		for _, at := range f.counted {
			if at.Sub(f.start) >= limitDelay {
				used++
			}
		}
		if least := script.LeastShare * f.limitAt(end) * (script.Length - limitDelay.Seconds()); float64(used) < least {
			t.Errorf("%d requests in %v s, want at least %.1f", used, script.Length-limitDelay.Seconds(), least)
		}
	})
}

func TestStatements(t *testing.T) {
	l, now := New(), time.Unix(1000, 0)
	key := limitedServer.Key()
	learn := func(limited bool, perSecond float64, age time.Duration) bool {
		return l.Learn(now, key, Statement{Limited: limited, PerSecond: perSecond, At: now.Add(-age)})
	}
	if learn(true, 2, 0) {
		t.Error("the statement of an unlisted server was recorded")
	}
	l.Sync(now, roster.New(ident.StoreVersion{Number: 1}, []roster.Server{limitedServer}))
	if learn(false, 0, 0) || len(l.Reports(now, 9)) > 0 {
		t.Error("a server without a limit was recorded")
	}
	if !learn(true, 2, time.Second) || l.Count() != 1 {
		t.Error("a new limit did not count as a change")
	}
	if learn(false, 0, 2*time.Second) || l.Count() != 1 {
		t.Error("an older statement replaced a newer one")
	}
	if learn(true, 2.1, 500*time.Millisecond) {
		t.Error("a change by a twentieth was reported")
	}
	if !learn(true, 4, 400*time.Millisecond) {
		t.Error("a doubled limit was not reported")
	}
	if l.Allows(now, key) {
		t.Error("a request was allowed without a share")
	}
	if !learn(false, 0, 0) || !l.Allows(now, key) || l.Count() != 0 {
		t.Error("the end of the limit was not recorded")
	}
	if reports := l.Reports(now.Add(time.Second), 9); len(reports) != 1 || reports[0].Limited || reports[0].AgeMillis != 1002 {
		t.Errorf("reports after the end of the limit: got %+v", reports)
	}
	if reports := l.Reports(now.Add(time.Minute), 9); len(reports) != 0 {
		t.Errorf("reports a minute after the end of the limit: got %+v, want none", reports)
	}
	l.Sync(now, roster.New(ident.StoreVersion{Number: 2}, nil))
	if !l.Allows(now, key) || l.Count() != 0 {
		t.Error("a server that has left still has a limit")
	}
}

func TestReportsStayWithinTheirNumber(t *testing.T) {
	l, now := New(), time.Unix(1000, 0)
	var servers []roster.Server
	for n := range 200 {
		servers = append(servers, roster.Server{ID: ident.ServerID(strconv.Itoa(n))})
	}
	l.Sync(now, roster.New(ident.StoreVersion{Number: 1}, servers))
	for i := range servers {
		l.Learn(now, servers[i].Key(), Statement{Limited: true, PerSecond: 1, At: now})
	}
	reported := map[ident.ServerID]bool{}
	for range 100 {
		reports := l.Reports(now, 30)
		if len(reports) != 30 {
			t.Fatalf("got %d reports, want 30", len(reports))
		}
		for _, r := range reports {
			reported[r.ID] = true
		}
	}
	if len(reported) != len(servers) {
		t.Errorf("%d of %d servers were reported in 100 messages", len(reported), len(servers))
	}
}

func TestInvalidReportsAreIgnored(t *testing.T) {
	l, now := New(), time.Unix(1000, 0)
	l.Sync(now, roster.New(ident.StoreVersion{Number: 1}, []roster.Server{limitedServer}))
	zero := 0.0
	for _, perSecond := range []float64{-1, zero / zero, 1 / zero, -1 / zero} {
		if l.Merge(now, Report{ID: "s", Limited: true, PerSecond: perSecond}) || l.Count() != 0 {
			t.Errorf("limit %v was recorded", perSecond)
		}
	}
	if l.Merge(now, Report{ID: ident.ServerID("other"), Limited: true, PerSecond: 1}) {
		t.Error("the limit of an unknown server was recorded")
	}
}

func TestShare(t *testing.T) {
	for _, test := range []struct {
		name      string
		zone      Zone
		perSecond float64
		want      float64
	}{
		{"no owner", Zone{Owners: 2, Position: -1, Live: 8, Known: 8}, 10, 0},
		{"alone in the zone", Zone{Owners: 1, Live: 1, Known: 1}, 10, 1},
		{"two owners", Zone{Owners: 2, Position: 1, Live: 8, Known: 8}, 1.6, 0.5},
		{"many owners, small limit", Zone{Owners: 7, Position: 2, Live: 30, Known: 30}, 0.5, 0},
		{"many owners, greater limit", Zone{Owners: 7, Position: 2, Live: 30, Known: 30}, 2, 0.25},
		{"many owners, great limit", Zone{Owners: 7, Position: 6, Live: 30, Known: 30}, 1e300, 1.0 / 7},
		{"hears half of the zone", Zone{Owners: 2, Live: 4, Known: 8}, 10, 0.125},
		{"hears more than half", Zone{Owners: 2, Live: 5, Known: 8}, 10, 0.5},
		{"hears nobody", Zone{Owners: 1, Live: 1, Known: 30}, 10, 1.0 / 30},
	} {
		if got := test.zone.Share(test.perSecond); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestRelayedStatementsDoNotBecomeNewer(t *testing.T) {
	now := time.Unix(1000, 0)
	daemons := []*Limits{New(), New()}
	for _, l := range daemons {
		l.Sync(now, roster.New(ident.StoreVersion{Number: 1}, []roster.Server{limitedServer}))
	}
	daemons[0].Learn(now, limitedServer.Key(), Statement{Limited: true, PerSecond: 1, At: now})
	const transit = 300 * time.Microsecond
	for n := range 1000 {
		reports := daemons[n%2].Reports(now, 1)
		now = now.Add(transit)
		daemons[1-n%2].Merge(now, reports[0])
	}
	for _, l := range daemons {
		if age := l.Reports(now, 1)[0].AgeMillis; age < 300 {
			t.Errorf("age after 1000 messages of %v: got %d ms, want at least 300", transit, age)
		}
	}
}

// TestLimitOutlastsLapse guards against a server that gets as many requests as one without a limit since its row lapsed while
// the store was down, and is back unchanged.
func TestLimitOutlastsLapse(t *testing.T) {
	l, now := New(), time.Unix(1000, 0)
	key := limitedServer.Key()
	listed, empty := roster.New(ident.StoreVersion{Number: 1}, []roster.Server{limitedServer}), roster.New(ident.StoreVersion{Number: 2}, nil)
	l.Sync(now, listed)
	l.Learn(now, key, Statement{Limited: true, PerSecond: 1, At: now})
	l.Sync(now, empty)
	if l.Count() != 0 {
		t.Error("a server that is not listed counts as limited")
	}
	now = now.Add(retention)
	// What peers tell meanwhile counts as well.
	l.Learn(now, key, Statement{Limited: true, PerSecond: 2, At: now})
	l.Sync(now, listed)
	if l.Count() != 1 || l.Allows(now, key) {
		t.Error("the limit was forgotten")
	}
	l.SetShares(now, func(_ roster.Key, perSecond float64) float64 {
		if perSecond != 2 {
			t.Errorf("limit: got %v, want 2", perSecond)
		}
		return 1
	})
	l.Sync(now, empty)
	l.Sync(now.Add(retention+time.Second), empty)
	if len(l.servers) != 0 {
		t.Error("a server that has left is kept for ever")
	}
	again := limitedServer
	again.StartMillis++
	l.Sync(now, roster.New(ident.StoreVersion{Number: 3}, []roster.Server{again}))
	if !l.Allows(now, again.Key()) {
		t.Error("a new start of the server has the limit of the one before")
	}
}
