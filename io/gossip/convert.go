package gossip

import (
	"maps"
	"slices"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/core/member"
	"bilberrymux/core/poison"
	"bilberrymux/io/peer/peerpb"
	"bilberrymux/io/versions"
)

func toMember(e *member.Entry) *peerpb.Member {
	return &peerpb.Member{
		Vm: string(e.VM), Incarnation: string(e.Incarnation),
		CallerAddress: e.CallerAddress, PeerAddress: e.PeerAddress,
		Region: string(e.Region), Zone: string(e.Zone),
		State: string(e.State), Sequence: e.Sequence, Started: e.Started,
	}
}

func toMembers(entries []member.Entry) []*peerpb.Member {
	out := make([]*peerpb.Member, len(entries))
	for i := range entries {
		out[i] = toMember(&entries[i])
	}
	return out
}

// fromMembers converts entries received from a peer. It drops entries without a VM or an incarnation
// and those with an unknown state.
func fromMembers(members []*peerpb.Member) []member.Entry {
	out := make([]member.Entry, 0, len(members))
	for _, m := range members {
		state := member.State(m.GetState())
		known := state == member.Live || state == member.Leaving || state == member.Down
		if m.GetVm() == "" || m.GetIncarnation() == "" || !known {
			continue
		}
		out = append(out, member.Entry{
			VM: ident.VMID(m.GetVm()), Incarnation: ident.Incarnation(m.GetIncarnation()),
			CallerAddress: m.GetCallerAddress(), PeerAddress: m.GetPeerAddress(),
			Region: ident.RegionID(m.GetRegion()), Zone: ident.ZoneID(m.GetZone()),
			State: state, Sequence: m.GetSequence(), Started: m.GetStarted(),
		})
	}
	return out
}

// sortedRecords returns the records in ascending order of their versions.
func sortedRecords(m map[ident.Version]versions.Record) []versions.Record {
	out := make([]versions.Record, 0, len(m))
	for _, n := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[n])
	}
	return out
}

func toRecords(records []versions.Record) []*peerpb.ConfigVersion {
	out := make([]*peerpb.ConfigVersion, len(records))
	for i, r := range records {
		out[i] = &peerpb.ConfigVersion{
			Number: uint64(r.Number), Patch: r.Patch, Id: r.ID, Author: r.Author,
			UnixMicros: r.Time.UnixMicro(),
		}
	}
	return out
}

func fromRecords(records []*peerpb.ConfigVersion) []versions.Record {
	out := make([]versions.Record, len(records))
	for i, r := range records {
		out[i] = versions.Record{
			Number: ident.Version(r.GetNumber()), Patch: r.GetPatch(), ID: r.GetId(),
			Author: r.GetAuthor(), Time: time.UnixMicro(r.GetUnixMicros()).UTC(),
		}
	}
	return out
}

func toPoison(e *poison.Entry) *peerpb.PoisonEntry {
	servers := make([]string, len(e.Servers))
	for i, s := range e.Servers {
		servers[i] = string(s)
	}
	return &peerpb.PoisonEntry{
		Service: string(e.Service), Fingerprint: uint64(e.Fingerprint),
		UntilUnixMicros: e.Until.UnixMicro(), Servers: servers, Released: e.Released,
	}
}

func fromPoison(p *peerpb.PoisonEntry) poison.Entry {
	servers := make([]ident.ServerID, len(p.GetServers()))
	for i, s := range p.GetServers() {
		servers[i] = ident.ServerID(s)
	}
	return poison.Entry{
		Service: ident.ServiceID(p.GetService()), Fingerprint: ident.Fingerprint(p.GetFingerprint()),
		Until: time.UnixMicro(p.GetUntilUnixMicros()), Version: uint64(p.GetUntilUnixMicros()), Servers: servers, Released: p.GetReleased(),
	}
}
