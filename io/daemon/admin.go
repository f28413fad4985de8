package daemon

import (
	"fmt"

	"bilberrymux/core/ident"
	"bilberrymux/core/shard"
	"bilberrymux/io/admin"
	"bilberrymux/io/dispatch"
)

// Build is the version of the program, set by the linker.
var Build = "development"

func (d *Daemon) adminOptions() admin.Options {
	return admin.Options{
		Key: d.options.AdminKey, Metrics: d.metrics, Versions: d.versions, Members: d.Members,
		Status: d.status, Shards: d.shardViews, Events: d.events.list, Poison: d.poison,
		SpreadEntry: d.gossip.BroadcastPoison, Ready: d.ready, Drain: d.RequestStop,
	}
}

func (d *Daemon) status() admin.Status {
	self := d.members.Self()
	return admin.Status{
		VM: self.VM, Incarnation: self.Incarnation, Region: self.Region, Zone: self.Zone, State: self.State,
		Version: d.ConfigVersion(), Build: Build, Started: d.started, Live: d.Members().LiveCount(),
		InFlight: d.front.InFlight(), Keys: d.once.Records(),
	}
}

func (d *Daemon) shardViews() []shard.View {
	out := []shard.View{}
	d.shards.Each(func(_ ident.ShardID, owned bool, dispatcher *dispatch.Dispatcher) {
		v := dispatcher.Shard.View()
		v.Owned = owned
		out = append(out, v)
	})
	return out
}

// ready tells whether callers can be served.
func (d *Daemon) ready() error {
	if d.stopping.Load() {
		return fmt.Errorf("daemon: stopping")
	}
	if d.ConfigVersion() == 0 {
		return fmt.Errorf("daemon: no configuration yet")
	}
	return nil
}
