package bytebudget

import (
	"sync"
	"sync/atomic"
	"testing"
)

func TestHeldBytesStayWithinLimit(t *testing.T) {
	const limit, size, workers = 1000, 30, 64
	b := New(limit)
	var most atomic.Int64
	var refused atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range 1000 {
				if !b.TryTake(size) {
					refused.Add(1)
					continue
				}
				for held := most.Load(); b.Held() > held && !most.CompareAndSwap(held, b.Held()); held = most.Load() {
				}
				b.Return(size)
			}
		})
	}
	wg.Wait()
	if b.Held() != 0 {
		t.Errorf("held after all bytes were returned: got %d, want 0", b.Held())
	}
	// A take that is refused counts for a moment.
	if most.Load() > limit+workers*size {
		t.Errorf("held at most: got %d, want at most %d", most.Load(), limit)
	}
}

func TestTakeBeyondLimitIsRefused(t *testing.T) {
	b := New(100)
	if !b.TryTake(60) || b.TryTake(60) || !b.TryTake(40) {
		t.Error("of 60, 60 and 40 bytes of 100, the second must be refused")
	}
	b.Return(60)
	if !b.TryTake(60) {
		t.Error("returned bytes can't be taken")
	}
}
