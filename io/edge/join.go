package edge

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"strconv"
	"time"

	"bilberrymux/core/zone"
	"bilberrymux/io/periodic"
)

// tableDaemons is the store table that holds one row for each daemon.
const tableDaemons = "daemons"

// joinTimeout bounds one attempt to register in the store.
const joinTimeout = time.Second

// joinRetryDelay is the delay between two attempts to register in the store.
const joinRetryDelay = 500 * time.Millisecond

// join announces this daemon to the seeds, starts to follow the configuration and the servers,
// and registers the daemon in the store. It retries until that succeeds or the context ends.
// While the store is unavailable, the daemons at the seed addresses provide the configuration
// and the servers.
func (e *Edge) join(ctx context.Context) {
	e.sendHello(e.seedAddresses())
	e.background.Go(func() { e.followQuarantine(ctx) })
	e.background.Go(func() { e.watcher.FollowConfig(ctx) })
	e.background.Go(func() { e.watcher.FollowServers(ctx) })
	for ctx.Err() == nil {
		err := e.register(ctx)
		if err == nil {
			return
		}
		e.log.WithError(err).Warn("failed to register the daemon in the store")
		if !periodic.Sleep(ctx, joinRetryDelay) {
			return
		}
	}
}

// register writes this daemon's row to the store, reads the rows of the other daemons, and
// announces this daemon to them.
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
			e.log.WithField("row", r.Key).Warn("invalid row in the table of daemons")
			continue
		}
		e.members.AddReported(m)
	}
	e.sendHello(append(addresses(e.members.Peers()), addresses(e.members.Gateways(gatewaysPerZone))...))
	return nil
}

// sendHello announces to other daemons that this one has started, and requests replies.
func (e *Edge) sendHello(to []string) {
	m := e.message(time.Now())
	m.Hello = true
	e.transport.Send(m, to)
}

// seedAddresses returns the peer addresses of the seed daemons other than this one. Only the IP
// address of a seed is used. Seeds that are not an IP address with a port are skipped.
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

// addresses returns the peer addresses of the given daemons.
func addresses(members []zone.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.PeerAddress)
	}
	return out
}
