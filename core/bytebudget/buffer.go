package bytebudget

// Buffer holds bytes whose memory is taken from a budget, but for a number of free bytes. It is not safe for concurrent
// use.
type Buffer struct {
	// Bytes is the content. Up to its capacity it may be extended without Grow.
	Bytes  []byte
	budget *Budget
	free   int
	// taken is the number of bytes that the buffer holds of the budget.
	taken int64
}

// NewBuffer returns an empty buffer that takes what it holds beyond a number of free bytes from the budget.
func NewBuffer(budget *Budget, free int) *Buffer {
	return &Buffer{budget: budget, free: free}
}

// Grow enlarges the capacity to size, and reports whether the budget allows that.
func (b *Buffer) Grow(size int) bool {
	added := int64(max(size, b.free) - max(cap(b.Bytes), b.free))
	if added > 0 && !b.budget.TryTake(added) {
		return false
	}
	b.taken += added
	larger := make([]byte, len(b.Bytes), size)
	copy(larger, b.Bytes)
	b.Bytes = larger
	return true
}

// Release returns what the buffer holds of the budget. The content must no longer be used.
func (b *Buffer) Release() {
	b.budget.Return(b.taken)
	b.taken = 0
}
