// Package ident defines the types of identifiers and of ranks that the packages of
// bilberrymux share. They have no behaviour beyond parsing, formatting and comparison.
package ident

import (
	"fmt"
	"strings"
)

// ServiceID identifies a service of the shared configuration.
type ServiceID string

// ServerID identifies a backend server within its service.
type ServerID string

// VMID identifies an entry VM. It stays the same when the daemon on the VM restarts.
type VMID string

// Incarnation identifies one run of a daemon process. Each run has a different one.
type Incarnation string

// RegionID identifies a region.
type RegionID string

// ZoneID identifies an availability zone.
type ZoneID string

// OrganisationID identifies the organisation, or app, on whose behalf a caller sends requests.
type OrganisationID string

// Version is the number of an accepted configuration. The first accepted one has version 1.
type Version uint64

// Fingerprint is a hash of the method, path, query and body of a request. Requests with
// the same fingerprint are treated as the same operation.
type Fingerprint uint64

// ShardID identifies a shard: the backend servers of one service in one region. A shard
// has one owner.
type ShardID struct {
	Service ServiceID
	Region  RegionID
}

// String returns "service/region". The hash of this form selects the owner of the shard.
func (s ShardID) String() string {
	return string(s.Service) + "/" + string(s.Region)
}

// Rank is the urgency class of a request.
type Rank string

// The ranks, in order of descending urgency.
const (
	Urgent     Rank = "urgent"
	Normal     Rank = "normal"
	Background Rank = "background"
)

// RankCount is the number of ranks.
const RankCount = 3

// Ranks holds all ranks in order of descending urgency. It must not be modified.
var Ranks = [RankCount]Rank{Urgent, Normal, Background}

// Index returns the index of the rank in Ranks. For an unknown rank it returns the index
// of Background.
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

// The upper bounds of the RFC 9218 urgency values of each rank. Urgency values range from
// 0, the most urgent, to 7.
const (
	maxUrgentValue  = 2
	maxNormalValue  = 5
	maxUrgencyValue = 7
)

// ParsePriority returns the rank for the urgency parameter of a Priority header (RFC 9218,
// for example "u=3"). It returns an error if the header has no valid urgency parameter.
func ParsePriority(header string) (Rank, error) {
	for part := range strings.SplitSeq(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "u=")
		if !found || len(value) != 1 || value[0] < '0' || value[0] > '0'+maxUrgencyValue {
			continue
		}
		switch u := value[0] - '0'; {
		case u <= maxUrgentValue:
			return Urgent, nil
		case u <= maxNormalValue:
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
