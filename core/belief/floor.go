package belief

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrymux/core/ident"
	"bilberrymux/core/roster"
)

// The floor: while a service loses requests, work must not crowd on the few
// servers whose evidence is best.
const (
	// distressFrom is the share of requests without a good answer from which the
	// floor counts.
	distressFrom = 0.06
	// distressShare is the share of a large service's servers that get work, even
	// from requests that can't be sent again, while the service loses requests.
	distressShare = 0.9
	// floorMargin is added to the share of servers that must stay in use.
	floorMargin = 0.05
	// floorAlways is the number of servers from which the floor counts at all
	// times: the load alone keeps a few servers in use, but not many.
	floorAlways = 16
	// floorPeriod is how long a server of the floor may go without work, and
	// floorSpread what is added at most, by server and daemon, so that the daemons
	// of a zone don't do the same at the same time.
	floorPeriod = 800 * time.Millisecond
	floorSpread = 500 * time.Millisecond
	// doubtFrom is the belief from which a server is left alone for longer while
	// the service is well: by doubtPeriod, or doubtPeriodOnce where the request
	// can't be sent again.
	doubtFrom       = 0.15
	doubtPeriod     = 4 * time.Second
	doubtPeriodOnce = 8 * time.Second
	// lossTime is the time constant of the running share of lost requests.
	lossTime = 2 * time.Second
)

// lossRate is the running share of requests that a service lost.
type lossRate struct {
	lost, all float64
	at        time.Time
}

func (l *lossRate) distressed() bool {
	return l.all > 0 && l.lost/l.all >= distressFrom
}

// RecordRequest records whether a request for a service got a good answer. Requests that
// the floor sent somewhere don't count: what they lose must not call for more of
// them.
func (b *Tracker) RecordRequest(now time.Time, service ident.ServiceID, served bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.lossOf(service)
	fade := math.Exp(-float64(now.Sub(l.at)) / float64(lossTime))
	l.lost, l.all, l.at = l.lost*fade, l.all*fade+1, now
	if !served {
		l.lost++
	}
}

func (b *Tracker) lossOf(service ident.ServiceID) *lossRate {
	l := b.loss[service]
	if l == nil {
		l = &lossRate{}
		b.loss[service] = l
	}
	return l
}

// floorDue returns the server of the own zone that must get work so that the
// service keeps its floor, or nil. The floor is made of all servers for requests
// that can be sent again, else of those with the least risk; each zone looks after
// its own ones.
func (b *Tracker) floorDue(now time.Time, ask *PickInfo) *roster.Server {
	if len(ask.Servers) == 0 || len(ask.Tried) > 0 {
		return nil
	}
	distressed, large := b.lossOf(ask.Servers[0].Service).distressed(), len(ask.Servers) >= floorAlways
	if !large && !distressed {
		return nil
	}
	candidates := b.byRisk(now, ask.Servers, large)
	for _, r := range candidates[:floorSize(len(candidates), ask, b.floorShare(distressed && large))] {
		wait := b.floorWait(r.server.ID)
		if !distressed && r.risk >= doubtFrom {
			wait += doubt(ask)
		}
		idle := now.Sub(r.state.picked) > wait && now.Sub(r.state.at) > wait
		usable := len(r.state.active) == 0 && !now.Before(r.state.pathUntil) && !r.state.misdirected
		if r.server.Zone == b.options.Zone && idle && usable {
			return r.server
		}
	}
	return nil
}

// rated is a server with its belief.
type rated struct {
	server *roster.Server
	state  *state
	risk   float64
}

// byRisk returns the servers that may get work, the least likely sick first. Of a
// large service these are the own zone's: little is known of the others.
func (b *Tracker) byRisk(now time.Time, servers []*roster.Server, large bool) []rated {
	out := make([]rated, 0, len(servers))
	for _, server := range servers {
		if server.Draining || (large && server.Zone != b.options.Zone) {
			continue
		}
		s := b.state(now, server.Key())
		out = append(out, rated{server, s, s.riskAt(now)})
	}
	slices.SortStableFunc(out, func(x, y rated) int { return cmp.Compare(x.risk, y.risk) })
	return out
}

// floorShare returns the share of the servers that get requests which can't be
// sent again.
func (b *Tracker) floorShare(more bool) float64 {
	if more {
		return distressShare
	}
	return b.options.FloorShare + floorMargin
}

// floorSize returns how many of the servers, the least likely sick first, belong to
// the floor of a request: one that can't be sent again stays off the others.
func floorSize(all int, ask *PickInfo, share float64) int {
	if ask.Idempotent && !ask.Last {
		return all
	}
	return min(all, int(math.Ceil(share*float64(all))))
}

// doubt returns how much longer a server in doubt is left alone.
func doubt(ask *PickInfo) time.Duration {
	if ask.Idempotent && !ask.Last {
		return doubtPeriod
	}
	return doubtPeriodOnce
}

// floorWait returns how long this daemon lets a server of the floor go without
// work.
func (b *Tracker) floorWait(id ident.ServerID) time.Duration {
	var d xxhash.Digest
	d.ResetWithSeed(b.options.Seed)
	_, _ = d.WriteString(string(id))
	return floorPeriod + time.Duration(d.Sum64()%uint64(floorSpread))
}
