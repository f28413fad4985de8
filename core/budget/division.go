package budget

import (
	"time"

	"bilberrymux/core/ident"
)

const (
	// ownerShare and commonShare are the shares of the reserve that the owners of a service's hosts and
	// that all daemons divide among themselves.
	ownerShare  = 0.85
	commonShare = 0.03
	// newOwnerShare is the share of an owner's part that it has gained one window after it became an
	// owner; from then on it has all of it. The owners before it may have used theirs in the same window.
	newOwnerShare = 0.1
	// settleTime is the time after the first start of the whole system in which all daemons have heard of
	// each other.
	settleTime = 2 * time.Second
)

// DivisionOptions describe the reserve that is divided.
type DivisionOptions struct {
	// Reserve is the number of further attempts of a service that all daemons together may make in any
	// Window, beyond those for its requests.
	Reserve float64
	Window  time.Duration
	// Zones is the number of availability zones.
	Zones int
	// Bootstrap reports that no daemon ran before this one, so that nothing of the reserve is used.
	Bootstrap bool
}

// View is what a daemon knows of the others when it computes its part of a service's reserve.
type View struct {
	// Owners is the number of daemons of the zone to which the callers of the service are directed, and
	// Owner reports whether this daemon is one of them.
	Owners int
	Owner  bool
	// Known is the number of all known daemons of all zones, up or down, with this one.
	Known int
	// Majority reports whether this daemon hears from more than half of the daemons of its zone that it
	// heard from lately, itself included. Otherwise others may see other owners.
	Majority bool
}

// Division computes one daemon's part of the reserve of each service, so that the parts of all daemons
// never exceed it, whichever daemons the callers choose, and although ownership changes, daemons restart
// and their views differ for a while. Division is not safe for concurrent use.
type Division struct {
	options DivisionOptions
	started time.Time
	owned   map[ident.ServiceID]ownership
}

// ownership is the time during which a daemon has been an owner. Interruptions of less than a window
// don't end it, since the attempts before them still count against the daemon's own part.
type ownership struct {
	since, last time.Time
}

// NewDivision returns the Division of a daemon that starts now.
func NewDivision(now time.Time, o DivisionOptions) *Division {
	return &Division{options: o, started: now, owned: map[ident.ServiceID]ownership{}}
}

// Reserve returns this daemon's part of a service's reserve. It is to be called about once a second, since
// it also records since when the daemon has been an owner.
func (d *Division) Reserve(now time.Time, service ident.ServiceID, v View) float64 {
	running := min(1, float64(now.Sub(d.started))/float64(d.options.Window))
	part := commonShare * d.options.Reserve / float64(max(1, v.Known)) * running
	if !v.Owner || !v.Majority || v.Owners == 0 {
		return part
	}
	return part + ownerShare*d.options.Reserve/float64(max(1, d.options.Zones)*v.Owners)*d.gained(now, service)
}

// gained records that this daemon is an owner, and returns the share of an owner's part that it has.
func (d *Division) gained(now time.Time, service ident.ServiceID) float64 {
	o, known := d.owned[service]
	if !known || now.Sub(o.last) > d.options.Window {
		o.since = now
	}
	o.last = now
	d.owned[service] = o
	settled := d.started.Add(settleTime)
	if d.options.Bootstrap && !o.since.After(settled) && !now.Before(settled) {
		return 1
	}
	if owning := now.Sub(o.since); owning < d.options.Window {
		return newOwnerShare * float64(owning) / float64(d.options.Window)
	}
	return 1
}
