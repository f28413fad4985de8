// Package ident holds the named types for identities that every other package
// of bilberrymux shares. The types carry no behaviour beyond parsing.
package ident

import (
	"fmt"
	"strings"
)

// ServiceID names one service of the shared configuration.
type ServiceID string

// ServerID names one backend server inside its service.
type ServerID string

// VMID names one entry VM. It outlives restarts of the process on the VM.
type VMID string

// Incarnation names one run of one daemon process. No two runs share one.
type Incarnation string

// RegionID names a region.
type RegionID string

// ZoneID names an availability zone.
type ZoneID string

// OrganisationID names the organisation, or app, on whose behalf a caller acts.
type OrganisationID string

// Version numbers an accepted configuration. The first accepted one is 1.
type Version uint64

// Fingerprint is a hash over what makes two requests the same work: method,
// path, query and body.
type Fingerprint uint64

// ShardID names the backend servers of one service in one region, which share
// one owner.
type ShardID struct {
	Service ServiceID
	Region  RegionID
}

// String returns the form that is hashed to find the owner of the shard.
func (s ShardID) String() string {
	return string(s.Service) + "/" + string(s.Region)
}

// Rank is the urgency of a request.
type Rank string

// The three ranks, the most urgent first.
const (
	Urgent     Rank = "urgent"
	Normal     Rank = "normal"
	Background Rank = "background"
)

// RankCount is the number of ranks.
const RankCount = 3

// Ranks lists all ranks, the most urgent first. Callers must not modify it.
var Ranks = [RankCount]Rank{Urgent, Normal, Background}

// Index returns the position of the rank in Ranks. An unknown rank counts as
// the least urgent one.
func (r Rank) Index() int {
	switch r {
	case Urgent:
		return 0
	case Normal:
		return 1
	default:
		return 2
	}
}

// Valid reports whether r is one of the three ranks.
func (r Rank) Valid() bool {
	return r == Urgent || r == Normal || r == Background
}

// Priority header values of RFC 9218 run from 0, the most urgent, to 7.
const (
	lastUrgentPriority = 2
	lastNormalPriority = 5
	lastPriority       = 7
)

// ParsePriority returns the rank that the urgency parameter of a Priority
// header (RFC 9218, "u=3") asks for. It returns an error where the header has
// no readable urgency.
func ParsePriority(header string) (Rank, error) {
	for part := range strings.SplitSeq(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "u=")
		if !found || len(value) != 1 || value[0] < '0' || value[0] > '0'+lastPriority {
			continue
		}
		switch u := value[0] - '0'; {
		case u <= lastUrgentPriority:
			return Urgent, nil
		case u <= lastNormalPriority:
			return Normal, nil
		default:
			return Background, nil
		}
	}
	return "", fmt.Errorf("ident: no urgency in priority header %q", header)
}

// Less reports whether r is less urgent than other.
func (r Rank) Less(other Rank) bool {
	return r.Index() > other.Index()
}
