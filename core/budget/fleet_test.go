package budget

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bilberrymux/internal/testfiles"
)

// The rule for the further attempts of a service, and the timing of the simulated fleet.
const (
	ruleRatio     = 0.2
	ruleReserve   = 56
	usedRatio     = 0.18
	simulatedStep = 10 * time.Millisecond
	updatePeriod  = time.Second
	downAfter     = 1200 * time.Millisecond
	minOwners     = 2
	perOwner      = 4
)

// fleetScript describes the daemons of some zones and their requests for one service, all of which use up
// the budget wherever they can. Times are in seconds since the start.
type fleetScript struct {
	Zones, Daemons int
	// Hosts is the number of hosts of the service. Callers of each are directed to owners of its own.
	Hosts int
	// Bootstrap reports that the whole system starts for the first time.
	Bootstrap bool
	// RequestsPerSecond is the rate of all zones together.
	RequestsPerSecond float64
	// Anywhere is the share of the requests that go to any daemon in place of an owner.
	Anywhere float64
	// CalmUntil is the time until which no attempt fails.
	CalmUntil float64
	// Faults kill the daemons from First to Last of a zone, or of each zone if Zone is negative, and start
	// them again at Until, or, if Group is not 0, cut them off from daemons of other groups.
	Faults []struct {
		From, Until float64
		Zone        int
		First, Last int
		Group       int
	}
	Length float64
	// LeastUsed is the least number of further attempts that must be made in the last window.
	LeastUsed int
}

// simulatedDaemon is one daemon. Daemons of a zone hear each other if they are up and of one group.
type simulatedDaemon struct {
	zone, number int
	up           bool
	group        int
	budget       *Budget
	division     *Division
	updatedAt    time.Time
	// heard holds the times of the last messages of the zone's daemons, by number.
	heard map[int]time.Time
}

type simulatedFleet struct {
	script  *fleetScript
	random  *rand.Rand
	start   time.Time
	daemons []*simulatedDaemon
	// rank holds the order, by host and zone, in which daemons become owners.
	rank               map[[2]int][]int
	requests, attempts []time.Time
}

func newSimulatedFleet(script *fleetScript) *simulatedFleet {
	f := &simulatedFleet{script: script, random: rand.New(rand.NewPCG(1, 32)), start: time.Unix(1000, 0), rank: map[[2]int][]int{}}
	for zone := range script.Zones {
		for host := range script.Hosts {
			f.rank[[2]int{host, zone}] = f.random.Perm(script.Daemons)
		}
		for number := range script.Daemons {
			d := &simulatedDaemon{zone: zone, number: number}
			f.startDaemon(f.start, d, script.Bootstrap)
			f.daemons = append(f.daemons, d)
		}
	}
	return f
}

// startDaemon starts a new incarnation of a daemon.
func (f *simulatedFleet) startDaemon(now time.Time, d *simulatedDaemon, bootstrap bool) {
	d.up, d.heard = true, map[int]time.Time{}
	d.budget = New(now, Options{Ratio: usedRatio, Window: testWindow})
	d.division = NewDivision(now, DivisionOptions{Reserve: ruleReserve, Window: testWindow, Zones: f.script.Zones, Bootstrap: bootstrap})
}

func (f *simulatedFleet) applyFaults(now time.Time) {
	at := now.Sub(f.start).Seconds()
	for _, d := range f.daemons {
		up, group := true, 0
		for _, fault := range f.script.Faults {
			hit := (fault.Zone < 0 || fault.Zone == d.zone) && d.number >= fault.First && d.number <= fault.Last
			if !hit || at < fault.From || at >= fault.Until {
				continue
			}
			up, group = up && fault.Group != 0, fault.Group
		}
		d.group = group
		if up && !d.up {
			f.startDaemon(now, d, false)
		}
		d.up = up
	}
}

func (f *simulatedFleet) exchange(now time.Time) {
	for _, from := range f.daemons {
		for _, to := range f.daemons {
			if from.zone == to.zone && from.up && to.up && from.group == to.group {
				to.heard[from.number] = now
			}
		}
	}
}

// owners returns the numbers of the daemons that a daemon takes for the owners of a host.
func (f *simulatedFleet) owners(now time.Time, d *simulatedDaemon, host int) []int {
	var live []int
	for _, number := range f.rank[[2]int{host, d.zone}] {
		if number == d.number || (!d.heard[number].IsZero() && now.Sub(d.heard[number]) <= downAfter) {
			live = append(live, number)
		}
	}
	return live[:min(len(live), max(minOwners, len(live)/perOwner))]
}

// update computes a daemon's part of the reserve.
func (f *simulatedFleet) update(now time.Time, d *simulatedDaemon) {
	if now.Sub(d.updatedAt) < updatePeriod {
		return
	}
	d.updatedAt = now
	owners := map[int]bool{}
	for host := range f.script.Hosts {
		for _, number := range f.owners(now, d, host) {
			owners[number] = true
		}
	}
	live := 0
	for _, at := range d.heard {
		if now.Sub(at) <= downAfter {
			live++
		}
	}
	view := View{
		Owners: len(owners), Owner: owners[d.number], Known: f.script.Zones * max(1, len(d.heard)),
		Majority: 2*live > len(d.heard),
	}
	d.budget.SetReserve("svc", d.division.Reserve(now, "svc", view))
}

// send sends one request, which makes as many further attempts as it may, up to two.
func (f *simulatedFleet) send(now time.Time) {
	d := f.daemons[f.random.IntN(len(f.daemons))]
	if f.random.Float64() >= f.script.Anywhere {
		owners := f.owners(now, d, f.random.IntN(f.script.Hosts))
		d = f.daemons[d.zone*f.script.Daemons+owners[f.random.IntN(len(owners))]]
	}
	if !d.up {
		return
	}
	f.requests = append(f.requests, now)
	d.budget.Deposit(now, "svc")
	if now.Sub(f.start).Seconds() < f.script.CalmUntil {
		return
	}
	for range 2 {
		if d.budget.TryWithdraw(now, "svc") {
			f.attempts = append(f.attempts, now)
		}
	}
}

func (f *simulatedFleet) run() {
	end := f.start.Add(time.Duration(f.script.Length * float64(time.Second)))
	for now := f.start; now.Before(end); now = now.Add(simulatedStep) {
		f.applyFaults(now)
		f.exchange(now)
		for _, d := range f.daemons {
			if d.up {
				f.update(now, d)
			}
		}
		for expected := f.script.RequestsPerSecond * simulatedStep.Seconds(); f.random.Float64() < expected; expected-- {
			f.send(now)
		}
	}
}

// countFrom returns the number of times, which are in order, in the window that begins at from.
func countFrom(times []time.Time, from time.Time) int {
	begin, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(testWindow), time.Time.Compare)
	return end - begin
}

// TestFleetKeepsBudget checks the rule for the sum over all daemons, whichever of them the callers choose.
func TestFleetKeepsBudget(t *testing.T) {
	testfiles.EachJSON(t, "testdata/fleets/*.json", func(t *testing.T, script *fleetScript) {
		f := newSimulatedFleet(script)
		f.run()
		most := 0.0
		for _, from := range f.attempts {
			requests := max(countFrom(f.requests, from), countFrom(f.requests, from.Add(-testWindow)), countFrom(f.requests, from.Add(-testWindow/2)))
			allowed := ruleRatio*float64(requests) + ruleReserve
			got := countFrom(f.attempts, from)
			if float64(got) > allowed {
				t.Fatalf("%d further attempts in the window from %v with %d requests, want at most %.0f", got, from.Sub(f.start), requests, allowed)
			}
			most = max(most, float64(got)/allowed)
		}
		t.Logf("at most %.2f of what is allowed", most)
		last := f.start.Add(time.Duration(script.Length*float64(time.Second)) - testWindow)
		if got := countFrom(f.attempts, last); got < script.LeastUsed {
			t.Errorf("%d further attempts in the last window, want at least %d", got, script.LeastUsed)
		}
	})
}
