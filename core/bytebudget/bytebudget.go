// Package bytebudget limits the bytes that the exchanges of a process hold in memory at the same time. The
// count of exchanges and the size of each may have bounds of their own whose product is more than the VM has.
package bytebudget

import "sync/atomic"

// Budget is a number of bytes that may be held at the same time. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// New returns a Budget of limit bytes, of which none is held.
func New(limit int64) *Budget {
	return &Budget{limit: limit}
}

// TryTake takes n bytes and reports whether that many were left. Bytes that were taken must be
// returned by Return.
func (b *Budget) TryTake(n int64) bool {
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		return false
	}
	return true
}

// Return returns n bytes.
func (b *Budget) Return(n int64) {
	b.held.Add(-n)
}

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 {
	return b.held.Load()
}
