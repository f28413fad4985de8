package daemon

import (
	"fmt"

	"bilberrymux/core/ident"
	"bilberrymux/core/shard"
	"bilberrymux/io/admin"
	"bilberrymux/io/dispatch"
)

// Build is the version of the program. The linker sets it with -ldflags -X.
var Build = "development"

// adminOptions returns the options of the administration listener.
func (d *Daemon) adminOptions() admin.Options {
	return admin.Options{
		Key: d.options.AdminKey, Metrics: d.metrics, Versions: d.versions, Members: d.Members,
		Status: d.status, Shards: d.shardViews, Events: d.events.list, Poison: d.poison,
		BroadcastPoison: d.gossip.BroadcastPoison, Ready: d.ready, Drain: d.RequestStop,
	}
}

// status returns a summary of this daemon's state for operators.
func (d *Daemon) status() admin.Status {
	self := d.members.Self()
	kept, queued := d.once.AnswerBytes()
	return admin.Status{
		VM: self.VM, Incarnation: self.Incarnation, Region: self.Region, Zone: self.Zone, State: self.State,
		Version: d.ConfigVersion(), Build: Build, Started: d.started, LiveDaemons: d.Members().LiveCount(),
		InFlight: d.front.InFlight(), RememberedKeys: d.once.Records(),
		KeptAnswerBytes: kept, QueuedAnswerBytes: queued,
	}
}

// shardViews returns the state of the shards that this daemon dispatches for, owned or not.
func (d *Daemon) shardViews() []shard.View {
	out := []shard.View{}
	d.shards.Each(func(_ ident.ShardID, owned bool, dispatcher *dispatch.Dispatcher) {
		v := dispatcher.Shard.View()
		v.Owned = owned
		out = append(out, v)
	})
	return out
}

// ready returns an error if the daemon cannot serve callers because it is stopping or has no
// configuration yet.
func (d *Daemon) ready() error {
	if d.stopping.Load() {
		return fmt.Errorf("daemon: stopping")
	}
	if d.ConfigVersion() == 0 {
		return fmt.Errorf("daemon: no configuration yet")
	}
	return nil
}
