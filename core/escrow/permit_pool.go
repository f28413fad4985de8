package escrow

import "sync"

// PermitPool counts the permits of one service that a daemon holds and uses. It is
// shared by the shards of that service that the daemon owns. One permit allows the
// ejection of one slot. A PermitPool is safe for concurrent use.
type PermitPool struct {
	mu   sync.Mutex
	hold Hold
	// total is the current escrow of the service.
	total int
	used  int
	// shortfall is the largest number of slots that a refused TryAcquire lacked.
	shortfall int
}

// NewPermitPool returns a pool without permits.
func NewPermitPool() *PermitPool {
	return &PermitPool{}
}

// SetHold sets the hold that was granted through the table service.
func (p *PermitPool) SetHold(h Hold) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = h
}

// SetTotal sets the escrow of the service according to the current configuration.
func (p *PermitPool) SetTotal(total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total = total
}

// TryAcquire acquires permits for the given slots. It acquires none and returns false
// if the hold does not cover all of them.
func (p *PermitPool) TryAcquire(slots int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used+slots > p.hold.Effective(p.total) {
		p.shortfall = max(p.shortfall, p.used+slots-p.hold.Effective(p.total))
		return false
	}
	p.used += slots
	return true
}

// Shortfall returns the largest number of slots that the hold lacked for a refused
// TryAcquire since the last ResetShortfall.
func (p *PermitPool) Shortfall() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shortfall
}

// ResetShortfall sets the shortfall to zero.
func (p *PermitPool) ResetShortfall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shortfall = 0
}

// ForceAcquire acquires permits for capacity that was lost without an ejection, such
// as a server that drains on its own. It may exceed the hold. Excess then returns the
// number of slots to release in return.
func (p *PermitPool) ForceAcquire(slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used += slots
}

// Release returns permits that TryAcquire or ForceAcquire acquired.
func (p *PermitPool) Release(slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = max(0, p.used-slots)
}

// Excess returns the number of used slots that the hold does not cover, for instance
// after the escrow shrank.
func (p *PermitPool) Excess() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.used-p.hold.Effective(p.total))
}

// Usage returns the number of slots in use and the number that the hold covers.
func (p *PermitPool) Usage() (used, allowed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used, p.hold.Effective(p.total)
}
