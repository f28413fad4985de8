package refresh

import (
	"maps"
	"sync"
	"time"

	"bilberrymux/core/ident"
)

const (
	// fetchPatience is how long a daemon waits for a peer before it fetches from another one
	// as well.
	fetchPatience = 300 * time.Millisecond
	// maxFetches is the maximum number of fetches at a time.
	maxFetches = 6
	// minBusyPause and busyPauseSpread bound the random pause until a peer that was busy is asked again.
	minBusyPause    = 20 * time.Millisecond
	busyPauseSpread = 40 * time.Millisecond
	// busyMemory is the time for which a peer that was busy is expected to send slowly.
	busyMemory = time.Second
)

// Target names the data that a fetch is to bring.
type Target struct {
	// Version is the version of the configuration, and Revision that of the list of servers, that
	// the peer has announced.
	Version  ident.Version
	Revision ident.StoreVersion
}

// includes reports whether data of this target is as new as that of another one.
func (t Target) includes(o Target) bool {
	return t.Version >= o.Version && !o.Revision.After(t.Revision)
}

// fetch is a fetch in progress.
type fetch struct {
	startedAt time.Time
	target    Target
	cancel    func()
}

// Fetches decides whether a daemon fetches data from a peer while earlier fetches are in
// progress, so that a peer which does not answer delays the data of others only by
// fetchPatience, and one that was busy not at all. A slow fetch goes on beside the others until one of them has brought its data.
// Fetches is safe for concurrent use.
type Fetches struct {
	// random returns a number from 0 to 1.
	random func() float64

	mu      sync.Mutex
	fetches map[ident.VMID]fetch
	// busy holds the peers that were busy within busyMemory.
	busy map[ident.VMID]busyPeer
}

// busyPeer is a peer that was busy at a time, and is not asked again until another one.
type busyPeer struct {
	at, notUntil time.Time
}

// isBusy reports whether the peer was busy within busyMemory.
func (f *Fetches) isBusy(now time.Time, peer ident.VMID) bool {
	b, known := f.busy[peer]
	return known && now.Sub(b.at) < busyMemory
}

// NewFetches returns a Fetches without fetches in progress. random must return numbers from 0 to 1.
func NewFetches(random func() float64) *Fetches {
	return &Fetches{random: random, fetches: map[ident.VMID]fetch{}, busy: map[ident.VMID]busyPeer{}}
}

// Begin reports whether a fetch from the peer may start now. After each fetch that Begin
// allowed, Succeed, Busy or Fail must be called. Fetches calls cancel if another fetch has brought the target
// before.
func (f *Fetches) Begin(now time.Time, peer ident.VMID, target Target, cancel func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, busy := f.fetches[peer]; busy || len(f.fetches) >= maxFetches || now.Before(f.busy[peer].notUntil) {
		return false
	}
	for vm, o := range f.fetches {
		if now.Sub(o.startedAt) < fetchPatience && !f.isBusy(now, vm) {
			return false
		}
	}
	f.fetches[peer] = fetch{now, target, cancel}
	return true
}

// Succeed records that the fetch from the peer has brought data, and cancels the fetches that would bring
// nothing newer.
func (f *Fetches) Succeed(peer ident.VMID, brought Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.fetches, peer)
	for _, o := range f.fetches {
		if brought.includes(o.target) {
			o.cancel()
		}
	}
}

// Busy records that the peer was busy. The next fetch from it starts after a pause.
func (f *Fetches) Busy(now time.Time, peer ident.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.fetches, peer)
	maps.DeleteFunc(f.busy, func(vm ident.VMID, _ busyPeer) bool { return !f.isBusy(now, vm) })
	f.busy[peer] = busyPeer{now, now.Add(minBusyPause + time.Duration(f.random()*float64(busyPauseSpread)))}
}

// Fail records that the fetch from the peer has failed.
func (f *Fetches) Fail(peer ident.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.fetches, peer)
}
