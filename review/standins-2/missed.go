//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"
)

// Times of the script missed, since the start of the traffic.
const (
	missedAt = 6 * time.Second
	// missedAway is how long the store is away, and missedAge how old the copy is that it comes back from.
	missedAway = 400 * time.Millisecond
	missedAge  = 2500 * time.Millisecond
	// lostShare is the share of the answers that half of the servers lose for lostFor, with TROUBLE=lost.
	lostShare = 0.05
	lostFor   = 5500 * time.Millisecond
	// quietFor is the time without a write after which the servers have all written their entries.
	quietFor = 200 * time.Millisecond
	// replaySpread is the time within which the entries of the servers are written again.
	replaySpread = 100 * time.Millisecond
	// judgedAfter is the time from the return of the store on which requests are judged: stable_window_s, outer_s
	// and config_s.
	judgedAfter = stableWindow + 5*time.Second + 2*time.Second
	missedEnd   = 30 * time.Second
)

// movedRoutes is the version after that of drillRoutes: orders are split off the listings, as requests that must not be
// repeated, and go to the bookings.
var movedRoutes = []route{
	drillRoutes[0],
	drillRoutes[1],
	{"orders", "week.example", "/list/order/", "unsafe", "bookings", 2.5, 1, 2},
}

// missed plays a drill of the store, and an operator whose next version the store confirms as its first write after that.
// CONFIG: requests that are sent later than config_s after the confirmation must not be handled as only the older version
// allows.
func missed(rec *record, trouble bool) error {
	zones := map[string]string{"north": "island", "east": "island", "south": "island", "west": "island"}
	order := []string{"north", "east", "south", "west"}
	d, err := newDeployment(rec, zones, order, 1)
	if err != nil {
		return err
	}
	defer d.close()
	d.inStep = true
	var losing atomic.Bool
	d.putManifest(drillRoutes)
	for n := range 8 {
		zone := order[n%len(order)]
		if _, err := d.addServer(fmt.Sprintf("i-book%d", n), "bookings", zone, 3, 240*time.Millisecond); err != nil {
			return err
		}
		s, err := d.addServer(fmt.Sprintf("i-list%d", n), "calendar", zone, 3, 300*time.Millisecond)
		if err != nil {
			return err
		}
		// TROUBLE=lost adds servers that lose answers.
		if n < 4 && os.Getenv("TROUBLE") == "lost" {
			s.loses = func() bool { return losing.Load() && rand.Float64() < lostShare }
		}
	}
	if err := d.startDaemons(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	start := time.Now()
	rec.begin(start)
	var all []*clients
	for zone, region := range zones {
		c := newClients(rec, region, zone, func() []string { return d.directories(zone) })
		c.load(5, start.Add(missedEnd), "POST", "desk.example", "/book/", 2500*time.Millisecond)
		c.load(5, start.Add(missedEnd), "GET", "week.example", "/list/", 2*time.Second)
		c.load(10, start.Add(missedEnd), "POST", "week.example", "/list/order/", 2500*time.Millisecond)
		all = append(all, c)
	}
	time.Sleep(time.Until(start.Add(missedAt - missedAge)))
	d.awaitHeartbeats()
	old := d.store.copyNow()
	time.Sleep(missedAge)
	if trouble {
		rec.say("the store goes away at version %d", d.store.newest())
		d.store.goAway()
	}
	time.Sleep(missedAway)
	if trouble {
		d.store.comeBack(&old)
		rec.say("the store is back at version %d in a new era", old.version)
	}
	back := time.Now()
	d.putManifest(movedRoutes)
	if trouble {
		for _, s := range d.servers {
			time.AfterFunc(time.Duration(rand.Float64()*float64(replaySpread)), func() { s.beat() })
		}
	}
	time.Sleep(time.Until(back.Add(judgedAfter)))
	losing.Store(true)
	time.Sleep(lostFor)
	losing.Store(false)
	time.Sleep(time.Until(start.Add(missedEnd)))
	for _, c := range all {
		c.pending.Wait()
	}
	return judgeMissed(rec, d, all, back.Add(judgedAfter))
}

// awaitHeartbeats waits until the servers, which write in step, have written their entries.
func (d *deployment) awaitHeartbeats() {
	for before := d.store.newest(); d.store.newest() == before; {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(quietFor)
}

// judgeMissed counts the orders that were sent from a time on and handled by the older version.
func judgeMissed(rec *record, d *deployment, all []*clients, from time.Time) error {
	orders := map[string]sent{}
	for _, c := range all {
		for _, x := range c.list() {
			if x.order() && x.at.After(from) {
				orders[x.id] = x
			}
		}
	}
	stale, times := 0, map[string]int{}
	for _, r := range d.runs.list() {
		if _, ok := orders[r.request]; !ok || r.began.IsZero() {
			continue
		}
		times[r.request]++
		if d.serviceOf(r.server) != "bookings" {
			stale++
			rec.add(r.at, "STALE: %s ran at %s", r.request, r.server)
		}
	}
	twice := 0
	for id, n := range times {
		if n > 1 {
			twice++
			rec.add(time.Now(), "TWICE: %s ran %d times", id, n)
		}
	}
	rec.say("%d orders were sent from %.1f s on, version %08x was confirmed at %.1f s", len(orders), rec.at(from), d.version, rec.at(from.Add(-judgedAfter)))
	rec.say("%d runs of them at servers of the listings, as only the older version allows; %d orders ran twice", stale, twice)
	if len(orders) == 0 {
		return fmt.Errorf("no orders were sent")
	}
	if stale > 0 || twice > 0 {
		return errBroken
	}
	return nil
}
