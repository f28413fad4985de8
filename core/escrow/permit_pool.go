package escrow

import "sync"

// PermitPool is one daemon's hold on the permits of one service, shared by the
// shards of that service that it owns. It is safe for concurrent use.
type PermitPool struct {
	mu    sync.Mutex
	hold  Hold
	total int
	used  int
	// denied is the most slots that a refused Take lacked.
	denied int
}

// NewPermitPool returns a purse without permits.
func NewPermitPool() *PermitPool {
	return &PermitPool{}
}

// SetHold records what the table service granted.
func (p *PermitPool) SetHold(h Hold) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = h
}

// SetTotal records the escrow of the service in the configuration in force.
func (p *PermitPool) SetTotal(total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total = total
}

// TryAcquire uses permits for the given slots. It reports false, and takes nothing,
// where the hold does not cover them.
func (p *PermitPool) TryAcquire(slots int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used+slots > p.hold.Effective(p.total) {
		p.denied = max(p.denied, p.used+slots-p.hold.Effective(p.total))
		return false
	}
	p.used += slots
	return true
}

// Shortfall returns how many more slots the hold would have needed for the
// largest refused Take since ClearDenied.
func (p *PermitPool) Shortfall() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.denied
}

// ResetShortfall forgets refused Takes.
func (p *PermitPool) ResetShortfall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.denied = 0
}

// ForceAcquire uses permits for capacity that went away without an ejection, such as
// a server that drains on its own. Excess then tells what to give up for it.
func (p *PermitPool) ForceAcquire(slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used += slots
}

// Release gives back permits that Take used.
func (p *PermitPool) Release(slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = max(0, p.used-slots)
}

// Excess returns how many used slots lie above what the hold still covers
// after the escrow shrank.
func (p *PermitPool) Excess() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.used-p.hold.Effective(p.total))
}

// Usage returns the slots in use and the slots that may be used.
func (p *PermitPool) Usage() (used, allowed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used, p.hold.Effective(p.total)
}
