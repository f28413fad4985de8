//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Times of the script zoneloss, since the start of the traffic.
const (
	zoneNeedAt  = 5 * time.Second
	zoneLossAt  = 10 * time.Second
	zoneNeedEnd = 12 * time.Second
	zoneEnd     = 40 * time.Second
	// zoneLimit is the limit that the servers of the south name from zoneNeedAt to zoneNeedEnd.
	zoneLimit = "3"
	// zoneReads is the rate of the reads of each of two zones.
	zoneReads = 25
	// Figures of FLOOR.
	floorWindow = 2 * time.Second
	floorShare  = 0.7
	leastUnmet  = 0.1
	mostUnmet   = 0.5
	soundAfter  = 2 * stableWindow
	windowStep  = 100 * time.Millisecond
)

// zoneloss plays servers of one zone that name a limit for some seconds, and the loss of all daemons of that zone
// meanwhile. FLOOR: while more than a tenth and under half of the requests aren't served, floor_share of the sound servers
// must get requests.
func zoneloss(rec *record, trouble bool) error {
	zones := map[string]string{"north": "island", "south": "island"}
	d, err := newDeployment(rec, zones, []string{"north", "south"}, 2)
	if err != nil {
		return err
	}
	defer d.close()
	d.putManifest(drillRoutes[1:])
	for n := range 8 {
		zone := []string{"north", "south"}[n%2]
		if _, err := d.addServer(fmt.Sprintf("i-list%d", n), "calendar", zone, 3, 320*time.Millisecond); err != nil {
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
	var wait sync.WaitGroup
	for zone, region := range zones {
		c := newClients(rec, region, zone, func() []string { return d.directories(zone) })
		c.load(zoneReads, start.Add(zoneEnd), "GET", "week.example", "/list/", 2*time.Second)
		all = append(all, c)
		wait.Go(c.pending.Wait)
	}
	// TROUBLE=loss leaves out the limits, and TROUBLE=need the loss of the daemons.
	only := os.Getenv("TROUBLE")
	setLimits := func(limit string) {
		for _, s := range d.servers {
			if s.zone == "south" && trouble && only != "loss" {
				s.setLimit(limit)
				rec.say("%s names the limit %q", s.id, limit)
			}
		}
	}
	time.Sleep(time.Until(start.Add(zoneNeedAt)))
	setLimits(zoneLimit)
	time.Sleep(time.Until(start.Add(zoneLossAt)))
	for _, x := range d.daemons {
		if x.zone == "south" && trouble && only != "need" {
			x.kill()
			rec.say("%s is lost", x.vm)
		}
	}
	time.Sleep(time.Until(start.Add(zoneNeedEnd)))
	setLimits("")
	wait.Wait()
	return judgeFloor(rec, d, all, start.Add(zoneNeedEnd+soundAfter), start.Add(zoneEnd-2*time.Second))
}

// judgeFloor looks for windows that break FLOOR between two times, in which all servers are sound.
func judgeFloor(rec *record, d *deployment, all []*clients, from, to time.Time) error {
	var requests []sent
	for _, c := range all {
		requests = append(requests, c.list()...)
	}
	if len(requests) == 0 {
		return fmt.Errorf("nothing was sent")
	}
	arrivals := d.runs.list()
	broken, windows, asks, unserved := 0, 0, 0, 0
	for begin := from; begin.Add(floorWindow).Before(to); begin = begin.Add(windowStep) {
		windows++
		end := begin.Add(floorWindow)
		used := map[string]bool{}
		for _, r := range arrivals {
			if !r.at.Before(begin) && r.at.Before(end) {
				used[r.server] = true
			}
		}
		asked, unmet := 0, 0
		for _, x := range requests {
			if x.at.Before(begin) || !x.at.Before(end) {
				continue
			}
			asked++
			if x.status != 200 || !x.signed {
				unmet++
			}
		}
		share := float64(unmet) / float64(max(1, asked))
		few := len(used) > 0 && float64(len(used)) < floorShare*float64(len(d.servers))
		if few && share > leastUnmet && share < mostUnmet {
			broken++
			rec.add(begin, "FLOOR: %d of 8 sound servers get requests, %d of %d aren't served", len(used), unmet, asked)
		}
	}
	for _, x := range requests {
		if x.at.Before(from) || !x.at.Before(to) {
			continue
		}
		asks++
		if x.status != 200 || !x.signed {
			unserved++
		}
	}
	rec.say("from %.1f s to %.1f s %d of %d requests aren't served", rec.at(from), rec.at(to), unserved, asks)
	rec.say("%d of %d windows of %v break the floor", broken, windows, floorWindow)
	if broken > 0 {
		return errBroken
	}
	return nil
}
