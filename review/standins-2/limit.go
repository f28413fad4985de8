//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of the script limit, since the start of the traffic.
const (
	// needAt is when the servers begin to name their limits.
	needAt = 4 * time.Second
	// awayFrom and awayFor are when the store is down. The entries of all servers run out meanwhile.
	awayFrom = 12 * time.Second
	awayFor  = 6 * time.Second
	// returnSpread is the time after the return of the store within which the entries are back.
	returnSpread = 1800 * time.Millisecond
	limitEnd     = 32 * time.Second
	// slowFactor and slowFor are how many times as long one of the servers works, and for how long after the store's return.
	slowFactor = 8
	slowFor    = 9 * time.Second
	// namedLimit is the limit in requests a second.
	namedLimit = 1.0
	// Figures of LIMIT.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// passedOnFor is how long before a request a daemon must have passed on an answer with the limit.
	passedOnFor = 500 * time.Millisecond
)

// limit plays servers that name their limits, and a store that is down while the entries of all servers run out.
func limit(rec *record, trouble bool) error {
	zones := map[string]string{"north": "island"}
	d, err := newDeployment(rec, zones, []string{"north"}, 3)
	if err != nil {
		return err
	}
	defer d.close()
	d.putManifest(drillRoutes[:1])
	for n := range 4 {
		if _, err := d.addServer(fmt.Sprintf("i-book%d", n), "bookings", "north", 12, 240*time.Millisecond); err != nil {
			return err
		}
	}
	if err := d.startDaemons(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	start := time.Now()
	rec.begin(start)
	c := newClients(rec, "island", "north", func() []string { return d.directories("north") })
	c.load(76, start.Add(limitEnd), "POST", "desk.example", "/book/", 2500*time.Millisecond)
	time.Sleep(time.Until(start.Add(needAt)))
	for _, s := range d.servers {
		s.setLimit(fmt.Sprint(namedLimit))
	}
	rec.say("all servers name the limit %v", namedLimit)
	if trouble {
		d.loseEntries(start)
		d.servers[0].setSlowness(slowFactor)
		rec.say("%s turns slow", d.servers[0].id)
		time.Sleep(slowFor)
		d.servers[0].setSlowness(1)
	}
	time.Sleep(time.Until(start.Add(limitEnd)))
	c.pending.Wait()
	reportDeadlines(rec, d, start)
	broken := false
	for _, s := range d.servers {
		over, err := judgeLimit(rec, d, c, s.id, start.Add(needAt))
		if err != nil {
			return err
		}
		broken = broken || over
	}
	if broken {
		return errBroken
	}
	return nil
}

// loseEntries takes the store down until the entries of the servers have run out.
func (d *deployment) loseEntries(start time.Time) {
	time.Sleep(time.Until(start.Add(awayFrom)))
	d.rec.say("the store is down")
	for _, s := range d.servers {
		s.mu.Lock()
		s.cutOff = true
		s.mu.Unlock()
	}
	d.store.goAway()
	time.Sleep(lapseAfter)
	for _, s := range d.servers {
		d.store.remove("servers", s.id)
	}
	time.Sleep(time.Until(start.Add(awayFrom + awayFor)))
	d.store.comeBack(nil)
	d.rec.say("the store is back")
	for _, s := range d.servers {
		time.AfterFunc(time.Duration(rand.Float64()*float64(returnSpread)), func() {
			s.mu.Lock()
			s.cutOff = false
			s.mu.Unlock()
			s.beat()
			d.rec.add(time.Now(), "%s has written its entry", s.id)
		})
	}
}

// judgeLimit looks for a window in which a server gets more than its limit allows.
func judgeLimit(rec *record, d *deployment, c *clients, needy string, named time.Time) (broken bool, err error) {
	requests := map[string]sent{}
	// passedOn holds the time at which each daemon first passed on an answer with the limit.
	passedOn := map[string]time.Time{}
	for _, x := range c.list() {
		requests[x.id] = x
		if at := passedOn[x.daemon]; x.limit != "" && (at.IsZero() || x.answered.Before(at)) {
			passedOn[x.daemon] = x.answered
		}
	}
	var counted []time.Time
	for _, r := range d.runs.list() {
		at := passedOn[requests[r.request].daemon]
		bound := !at.IsZero() && r.at.Sub(at) >= passedOnFor && r.at.Sub(named) >= stableWindow
		if r.server == needy && bound {
			counted = append(counted, r.at)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	allowed := limitFactor*namedLimit*limitWindow.Seconds() + limitExtra
	most, from := 0, time.Time{}
	for n, begin := range counted {
		end := n
		for end < len(counted) && counted[end].Sub(begin) < limitWindow {
			end++
		}
		if end-n > most {
			most, from = end-n, begin
		}
	}
	if most == 0 {
		return false, fmt.Errorf("%s got no requests", needy)
	}
	rec.say("%s got %d requests in the %v from %.3f s, allowed are %.0f", needy, most, limitWindow, rec.at(from), allowed)
	return float64(most) > allowed, nil
}

// reportDeadlines tells how many bookings the servers began and did not end in time, before and after the store's return.
func reportDeadlines(rec *record, d *deployment, start time.Time) {
	back := start.Add(awayFrom + awayFor)
	before, after := 0, 0
	for _, r := range d.runs.list() {
		switch {
		case r.ended == endDone || r.began.IsZero() || r.at.Before(start.Add(needAt+stableWindow)):
		case r.at.Before(back):
			before++
		default:
			after++
		}
	}
	rec.say("bookings that a server began and did not end before their deadline: %d from %v on, %d after the store's return", before, needAt+stableWindow, after)
}
