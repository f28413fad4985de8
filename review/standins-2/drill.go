//go:build review

package main

import (
	"fmt"
	"time"
)

// Times of the script drill, since the start of the traffic.
const (
	drillAt = 8 * time.Second
	// drillAway is how long the store is away, and copyAge how old the copy is that it comes back from.
	drillAway = time.Second
	copyAge   = 8 * time.Second
	// calmTime is the time from the return of the store to the report of the server that leaves: the store is
	// stable by then.
	calmTime = stableWindow + 700*time.Millisecond
	// servedOn is how long the server goes on serving beyond the bound of DRAIN.
	servedOn = time.Second
	drillEnd = 30 * time.Second
)

var drillRoutes = []route{
	{"bookings", "desk.example", "/book/", "unsafe", "bookings", 2.5, 1, 2},
	{"listings", "week.example", "/list/", "safe", "calendar", 2, 1, 2},
}

// drill plays a drill of the store, and a server that leaves when the store is stable again. DRAIN: no request that was
// sent later than drain_s after the store's confirmation may reach the server.
func drill(rec *record, trouble bool) error {
	zones := map[string]string{"north": "island", "south": "island"}
	d, err := newDeployment(rec, zones, []string{"north", "south"}, 2)
	if err != nil {
		return err
	}
	defer d.close()
	d.putManifest(drillRoutes)
	for n := range 8 {
		zone := []string{"north", "south"}[n%2]
		if _, err := d.addServer(fmt.Sprintf("i-book%d", n), "bookings", zone, 3, 240*time.Millisecond); err != nil {
			return err
		}
		if _, err := d.addServer(fmt.Sprintf("i-list%d", n), "calendar", zone, 3, 300*time.Millisecond); err != nil {
			return err
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
		c.load(35, start.Add(drillEnd), "POST", "desk.example", "/book/", 2500*time.Millisecond)
		c.load(8, start.Add(drillEnd), "GET", "week.example", "/list/", 2*time.Second)
		all = append(all, c)
	}
	back := d.playDrill(start, trouble)
	time.Sleep(time.Until(back.Add(calmTime)))
	leaving := d.servers[0]
	confirmed, ok := leaving.drain()
	if !ok {
		return fmt.Errorf("the store did not confirm that %s leaves", leaving.id)
	}
	rec.say("%s leaves, confirmed at %.3f s, store version %d", leaving.id, rec.at(confirmed), d.store.newest())
	time.Sleep(time.Until(confirmed.Add(drainBound + servedOn)))
	leaving.end()
	rec.say("%s has ended", leaving.id)
	d.store.remove("servers", leaving.id)
	time.Sleep(time.Until(start.Add(drillEnd)))
	for _, c := range all {
		c.pending.Wait()
	}
	return judgeDrill(rec, d, all, leaving.id, confirmed)
}

// playDrill plays the drill, or nothing without trouble, and returns the time of the store's return.
func (d *deployment) playDrill(start time.Time, trouble bool) time.Time {
	time.Sleep(time.Until(start.Add(drillAt - copyAge)))
	old := d.store.copyNow()
	time.Sleep(time.Until(start.Add(drillAt)))
	if !trouble {
		time.Sleep(drillAway)
		return time.Now()
	}
	d.rec.say("the store goes away at version %d", d.store.newest())
	d.store.goAway()
	time.Sleep(drillAway)
	d.store.comeBack(&old)
	back := time.Now()
	d.rec.say("the store is back at version %d in a new era", old.version)
	d.writeManifest(drillRoutes)
	return back
}

// judgeDrill counts the requests that broke DRAIN.
func judgeDrill(rec *record, d *deployment, all []*clients, leaving string, confirmed time.Time) error {
	requests := map[string]sent{}
	ok, total := 0, 0
	for _, c := range all {
		for _, x := range c.list() {
			requests[x.id] = x
			total++
			if x.status == 200 && x.signed {
				ok++
			}
		}
	}
	late, lost := 0, 0
	for _, r := range d.runs.list() {
		x := requests[r.request]
		if r.server != leaving || !x.at.After(confirmed.Add(drainBound)) || !r.at.After(confirmed.Add(drainBound)) {
			continue
		}
		late++
		rec.add(r.at, "LATE: %s was sent at %.3f and ran at %s, status %d, %s", r.request, rec.at(x.at), leaving, x.status, r.ended)
		if x.status != 200 && !x.safe {
			lost++
		}
	}
	rec.say("%d of %d requests answered with success", ok, total)
	rec.say("%d requests were sent later than %v after the confirmation and reached %s; %d of these were bookings that ran and were answered as failed", late, drainBound, leaving, lost)
	if late > 0 {
		return errBroken
	}
	return nil
}
