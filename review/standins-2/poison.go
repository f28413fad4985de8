//go:build review

package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Times of the script poison.
const (
	// poisonPeriod is the time between two visits of the request that crashes servers.
	poisonPeriod = 3300 * time.Millisecond
	// crashedFor is how long a server is down after a crash.
	crashedFor = 3 * time.Second
	// restartGap is the time between two restarts of daemons.
	restartGap   = 15 * time.Second
	firstRestart = 12 * time.Second
	restarts     = 4
	poisonBody   = `{"booking":"poison"}`
	// moveGap is the time between two versions that move the route to another service.
	moveGap   = 12 * time.Second
	firstMove = 10 * time.Second
	// retriesAllowed is the number of retries that may reach servers.
	retriesAllowed = 3
)

// crash is one crash of a server by the request.
type crash struct {
	request, server string
	at              time.Time
}

// poison plays a request that crashes servers and comes again, and daemons that are restarted in turn. BUDGET: after the
// third crash and stable_window_s, at most three retries may reach servers from daemons in touch.
func poison(rec *record, trouble bool) error {
	return playPoison(rec, []string{"bookings"}, 8, firstRestart+restarts*restartGap, func(d *deployment, start time.Time) (map[string][]restart, error) {
		if !trouble {
			return nil, nil
		}
		return d.restartInTurn(start)
	})
}

// moves plays the same request, and versions of the manifest that move its route from service to service.
func moves(rec *record, trouble bool) error {
	services := []string{"bookings", "desk", "visits", "rooms"}
	length := firstMove + time.Duration(len(services)-1)*moveGap
	return playPoison(rec, services, 4, length, func(d *deployment, start time.Time) (map[string][]restart, error) {
		for n, service := range services[1:] {
			time.Sleep(time.Until(start.Add(firstMove + time.Duration(n)*moveGap)))
			if trouble {
				d.putManifest(poisonRoutes(services, service))
				rec.say("the route goes to %s", service)
			}
		}
		return nil, nil
	})
}

// poisonRoutes returns a route to each service, and that of the bookings to the given one.
func poisonRoutes(services []string, to string) []route {
	routes := []route{drillRoutes[0]}
	routes[0].service = to
	for _, s := range services {
		routes = append(routes, route{"own-" + s, "desk.example", "/own/" + s + "/", "unsafe", s, 2.5, 1, 2})
	}
	return routes
}

// playPoison plays the request for a time, beside the disruption, which returns when each daemon was disturbed.
func playPoison(rec *record, services []string, servers int, length time.Duration, disrupt func(d *deployment, start time.Time) (map[string][]restart, error)) error {
	zones := map[string]string{"north": "island"}
	d, err := newDeployment(rec, zones, []string{"north"}, 2)
	if err != nil {
		return err
	}
	defer d.close()
	d.putManifest(poisonRoutes(services, services[0]))
	for _, service := range services {
		for n := range servers {
			s, err := d.addServer(fmt.Sprintf("i-%s%d", service, n), service, "north", 3, 240*time.Millisecond)
			if err != nil {
				return err
			}
			s.poison = func(body string) bool { return body == poisonBody }
			s.onCrash = func(s *server) {
				rec.add(time.Now(), "%s has crashed", s.id)
				time.AfterFunc(crashedFor, func() {
					if err := s.start(); err != nil {
						rec.say("%s could not start again: %v", s.id, err)
					}
				})
			}
		}
	}
	if err := d.startDaemons(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	start := time.Now()
	rec.begin(start)
	end := start.Add(length)
	c := newClients(rec, "island", "north", func() []string { return d.directories("north") })
	c.load(20, end, "POST", "desk.example", "/book/", 2500*time.Millisecond)
	visitor := newClients(rec, "island", "north", func() []string { return d.directories("north") })
	var visits sync.WaitGroup
	visits.Go(func() { visitInTurn(visitor, end) })
	disturbed, err := disrupt(d, start)
	if err != nil {
		return err
	}
	time.Sleep(time.Until(end))
	c.pending.Wait()
	visits.Wait()
	return judgePoison(rec, d, visitor, c, disturbed)
}

// restartInTurn restarts the daemons in turn, and returns when each was stopped and started.
func (d *deployment) restartInTurn(start time.Time) (map[string][]restart, error) {
	disturbed := map[string][]restart{}
	for n := range restarts {
		time.Sleep(time.Until(start.Add(firstRestart + time.Duration(n)*restartGap)))
		x := d.daemons[n%len(d.daemons)]
		d.rec.say("SIGTERM for %s", x.vm)
		stopped := time.Now()
		x.stop(grace)
		if err := x.start(false); err != nil {
			return nil, err
		}
		d.rec.say("%s starts again", x.vm)
		front := x.address(x.ports.front)
		disturbed[front] = append(disturbed[front], restart{stopped, x.startedAt})
	}
	return disturbed, nil
}

// visitInTurn sends the request to the daemons that the clients are told of, in turn.
func visitInTurn(c *clients, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(poisonPeriod)
		addresses := c.choose("desk.example")
		if len(addresses) == 0 {
			continue
		}
		slices.Sort(addresses)
		c.send(addresses[n%len(addresses)], "POST", "desk.example", "/book/poison", poisonBody, 2500*time.Millisecond)
	}
}

// restart is the time from the SIGTERM of a daemon to its start.
type restart struct{ stopped, started time.Time }

// inTouch reports whether a daemon was neither stopped, down nor started within the stable window before a time.
func inTouch(restarts []restart, at time.Time) bool {
	return !slices.ContainsFunc(restarts, func(r restart) bool {
		return at.After(r.stopped) && !at.After(r.started.Add(stableWindow))
	})
}

// judgePoison counts the retries that broke BUDGET.
func judgePoison(rec *record, d *deployment, visitor, c *clients, disturbed map[string][]restart) error {
	visits := map[string]sent{}
	for _, x := range visitor.list() {
		visits[x.id] = x
	}
	var crashes []crash
	lost := 0
	for _, r := range d.runs.list() {
		if _, ok := visits[r.request]; ok {
			if r.ended == endCrash {
				crashes = append(crashes, crash{r.request, r.server, r.at})
			}
		} else if r.ended == endServerEnded {
			lost++
		}
	}
	counted := 0
	for n, x := range crashes {
		v := visits[x.request]
		late := n >= 3 && x.at.Sub(crashes[2].at) > stableWindow
		touch := inTouch(disturbed[v.daemon], x.at)
		rec.say("crash %d: %s by %s at %.3f s, daemon in touch: %v, later than the window after the third: %v", n+1, x.server, v.daemon, rec.at(x.at), touch, late)
		if late && touch {
			counted++
		}
	}
	rec.say("%d visits, %d crashes; %d other bookings were lost at the servers that crashed", len(visits), len(crashes), lost)
	rec.say("%d retries from daemons in touch reached servers later than the window after the third crash, %d are allowed", counted, retriesAllowed)
	if len(c.list()) == 0 || len(crashes) == 0 {
		return fmt.Errorf("nothing was sent")
	}
	if counted > retriesAllowed {
		return errBroken
	}
	return nil
}
