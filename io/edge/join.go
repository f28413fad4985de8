package edge

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"strconv"
	"time"

	"bilberrymux/core/zone"
	"bilberrymux/io/loop"
)

// tableDaemons is the table of the daemons' own rows.
const tableDaemons = "daemons"

// joinTimeout bounds one call of the store at the start.
const joinTimeout = time.Second

// joinPause is the pause between two attempts to reach the store at the start.
const joinPause = 500 * time.Millisecond

// join makes this daemon known and learns the others, the configuration and the
// servers, from the store or, while it is away, from daemons at the seed
// addresses.
func (e *Edge) join(ctx context.Context) {
	e.sayHello(e.seedAddresses())
	e.background.Go(func() { e.keeper.FollowConfig(ctx) })
	e.background.Go(func() { e.keeper.FollowServers(ctx) })
	for ctx.Err() == nil {
		err := e.register(ctx)
		if err == nil {
			return
		}
		e.log.WithError(err).Warn("daemon not registered")
		if !loop.Sleep(ctx, joinPause) {
			return
		}
	}
}

// register writes the own row and reads those of the others.
func (e *Edge) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	self := e.members.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	if err := e.store.Put(ctx, tableDaemons, string(self.VM), value); err != nil {
		return err
	}
	rows, _, err := e.store.Rows(ctx, tableDaemons)
	if err != nil {
		return err
	}
	for _, r := range rows {
		var m zone.Member
		if err := json.Unmarshal(r.Value, &m); err != nil || m.VM == "" {
			e.log.WithField("row", r.Key).Warn("row names no daemon")
			continue
		}
		e.members.AddReported(m)
	}
	e.sayHello(append(addresses(e.members.Peers()), addresses(e.members.Gateways(gateways))...))
	return nil
}

// sayHello tells daemons that this one has started.
func (e *Edge) sayHello(to []string) {
	m := e.message(time.Now())
	m.Hello = true
	e.post.Send(m, to)
}

// seedAddresses returns where the daemons of the seeds listen for peers.
func (e *Edge) seedAddresses() []string {
	var out []string
	for _, s := range e.settings.Seeds {
		a, err := netip.ParseAddrPort(s)
		if err != nil || a.Addr().String() == e.settings.IP {
			continue
		}
		out = append(out, net.JoinHostPort(a.Addr().String(), strconv.Itoa(e.settings.PeerPorts[0])))
	}
	return out
}

func addresses(members []zone.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.PeerAddress)
	}
	return out
}
