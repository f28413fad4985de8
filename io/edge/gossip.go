package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bilberrymux/core/belief"
	"bilberrymux/core/catalog"
	"bilberrymux/core/event"
	"bilberrymux/core/roster"
	"bilberrymux/core/zone"
	"bilberrymux/io/meter"
	"bilberrymux/io/news"
)

// The pace and size of news.
const (
	// newsPeriod is the longest time between two datagrams to a peer.
	newsPeriod = 300 * time.Millisecond
	// reportAge is how old evidence may be to be told again.
	reportAge = 700 * time.Millisecond
	// maxReports bounds the servers of one datagram.
	maxReports = 40
	// farPeriod is the time between two datagrams with versions to the other zones,
	// and gateways the number of daemons in each of them that get one.
	farPeriod = time.Second
	gateways  = 2
	// envoyKey orders the daemons of a zone as the one that sends them.
	envoyKey = "envoy"
	// sharedBelow is the number of servers from which a service's health is told in
	// the own zone only: each zone has enough of them then.
	sharedBelow = 20
)

// message describes this daemon.
func (e *Edge) message(now time.Time) *news.Message {
	e.members.SetReady(e.ready())
	m := &news.Message{From: e.members.Self(), Stopping: e.stopping.Load(), Crashes: e.crashes.recent(now)}
	e.keeper.SetVersions(now, m)
	return m
}

// gossip tells the zone about this daemon and its servers until the context
// ends.
func (e *Edge) gossip(ctx context.Context) {
	near, far := time.NewTicker(newsPeriod), time.NewTicker(farPeriod)
	defer near.Stop()
	defer far.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-far.C:
			e.tellVersions(time.Now())
			continue
		case <-e.urgentNews:
		case <-near.C:
		}
		e.tellZone(time.Now())
	}
}

func (e *Edge) tellZone(now time.Time) {
	for _, m := range e.members.Expire(now) {
		e.log.WithFields(logrus.Fields{"daemon": m.VM, "silentMillis": zone.SilenceTimeout.Milliseconds()}).Warn(event.DaemonDown)
	}
	m := e.message(now)
	m.Reports = e.book.Reports(now, reportAge, maxReports)
	m.Changes = e.keeper.Changes(e.toldBase(now, m.Revision))
	e.post.Send(m, addresses(e.members.Peers()))
	e.budget.SetOptions(budgetOptions(e.settings, e.owners()))
}

// toldBase returns the version of the store from which changes are told. A
// change is told for changeLife.
func (e *Edge) toldBase(now time.Time, stamp uint64) uint64 {
	if stamp != e.told.newest {
		e.told.before, e.told.newest, e.told.at = e.told.newest, stamp, now
	}
	if now.Sub(e.told.at) > changeLife {
		return stamp
	}
	return e.told.before
}

// changeLife is how long a change of the list is told of.
const changeLife = 500 * time.Millisecond

// hurry asks for news to the zone before the next period.
func (e *Edge) hurry() {
	select {
	case e.urgentNews <- struct{}{}:
	default:
	}
}

// beliefChanged spreads that a server turned sick or sound.
func (e *Edge) beliefChanged(s roster.Server, risk float64, o belief.Outcome) {
	e.log.WithFields(logrus.Fields{
		"server": s.ID, "service": s.Service, "risk": risk, "outcome": o,
	}).Info(event.Belief)
	e.metrics.Count(meter.Name("belief.changes",
		meter.Label{Key: "to", Value: string(belief.HealthOf(risk))}, meter.Label{Key: "cause", Value: string(o)}))
	e.hurry()
	if len(e.keeper.Roster().ForService(s.Service)) < sharedBelow {
		e.tasks.Go(func() { e.tellOthers(s.Key()) })
	}
}

// tellVersions tells the other zones of the versions that this one knows, if it is
// this daemon's turn.
func (e *Edge) tellVersions(now time.Time) {
	if e.members.Rank(envoyKey) == 0 {
		e.post.Send(e.message(now), addresses(e.members.Gateways(gateways)))
	}
}

// tellOthers tells the other zones of one server.
func (e *Edge) tellOthers(key roster.Key) {
	now := time.Now()
	m := e.message(now)
	m.Relay = true
	m.Reports = []belief.Report{e.book.Report(now, key)}
	m.Reports[0].Active = 0
	e.post.Send(m, addresses(e.members.Gateways(gateways)))
}

// heard takes in one message.
func (e *Edge) heard(m *news.Message) {
	now := time.Now()
	if m.From.VM == e.settings.VM {
		return
	}
	own := m.From.Zone == e.settings.Zone
	if m.Stopping {
		m.From.Ready = false
	}
	if e.members.RecordMessage(now, m.From) && own {
		e.log.WithFields(logrus.Fields{"daemon": m.From.VM, "incarnation": m.From.Incarnation}).Info(event.DaemonUp)
	}
	from := m.From.VM
	if !own {
		from = ""
	}
	for _, r := range m.Reports {
		if e.book.Merge(now, from, r) {
			e.countBy("belief.heard", "to", string(belief.HealthOf(r.SickProbability())))
			e.log.WithFields(logrus.Fields{
				"server": r.ID, "risk": r.SickProbability(), "from": m.From.VM, "ageMillis": r.AgeMillis,
			}).Info(event.BeliefHeard)
		}
	}
	e.takeCrashes(now, m.Crashes)
	if m.Relay {
		e.relay(m)
	}
	if m.Hello {
		e.post.Send(e.message(now), []string{m.From.PeerAddress})
	}
	if m.Changes != nil {
		e.keeper.ApplyChanges(now, m.Changes, m.RevisionAgeMillis, m.From.VM)
	}
	if lacks := e.keeper.StateRequestFor(now, m); lacks != nil {
		e.fetch(m.From, lacks)
	}
}

// relay passes news from another zone on to the own one.
func (e *Edge) relay(m *news.Message) {
	passed := *m
	passed.Relay, passed.Hello = false, false
	e.post.Send(&passed, addresses(e.members.Live()))
}

// fetchTimeout bounds the fetching of a state from a peer.
const fetchTimeout = time.Second

// fetch takes over what a peer knows better, one fetch at a time.
func (e *Edge) fetch(from zone.Member, r *news.StateRequest) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	e.tasks.Go(func() {
		defer e.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		s, err := e.post.Fetch(ctx, from.PeerAddress, r)
		if err != nil {
			e.count("news.unfetched")
			e.log.WithError(err).WithField("daemon", from.VM).Warn("state not fetched")
			return
		}
		for _, m := range s.Members {
			e.members.AddReported(m)
		}
		e.keeper.ApplyState(time.Now(), s, from.VM)
	})
}

// answerPeer returns what a peer lacks.
func (e *Edge) answerPeer(r *news.StateRequest) *news.State {
	s := e.keeper.StateFor(r)
	if r.Members {
		s.Members = append(e.members.All(), e.members.Self())
	}
	return s
}

// configured is told of each version that came into force here.
func (e *Edge) configured(*catalog.Catalog) {
	e.hurry()
}

// listed is told of each changed list of servers.
func (e *Edge) listed(now time.Time, r, before *roster.Roster) {
	e.book.Sync(now, r)
	listed := map[string]bool{}
	for i := range r.Servers() {
		listed[r.Servers()[i].Address] = true
	}
	for i := range before.Servers() {
		if a := before.Servers()[i].Address; !listed[a] {
			e.backend.Invalidate(a)
		}
	}
	e.hurry()
}
