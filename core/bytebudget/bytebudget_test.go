package bytebudget

import (
	"sync"
	"testing"
)

func TestHeldBytesStayWithinLimit(t *testing.T) {
	const limit, size, workers = 1000, 30, 64
	b := New(limit)
	var mu sync.Mutex
	var most int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range 1000 {
				if !b.TryTake(size) {
					continue
				}
				mu.Lock()
				most = max(most, b.Held())
				mu.Unlock()
				b.Return(size)
			}
		})
	}
	wg.Wait()
	if b.Held() != 0 {
		t.Errorf("held after all bytes were returned: got %d, want 0", b.Held())
	}
	// A take that is refused counts for a moment.
	if most > limit+workers*size {
		t.Errorf("held at most: got %d, want at most %d", most, limit+workers*size)
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

func TestBufferTakesWhatIsNotFree(t *testing.T) {
	budget := New(100)
	b := NewBuffer(budget, 30)
	for _, step := range []struct {
		size int
		ok   bool
		held int64
	}{{20, true, 0}, {40, true, 10}, {130, true, 100}, {131, false, 100}} {
		if ok := b.Grow(step.size); ok != step.ok || budget.Held() != step.held {
			t.Errorf("growth to %d: got %v, %d bytes held, want %v, %d", step.size, ok, budget.Held(), step.ok, step.held)
		}
	}
	b.Release()
	if budget.Held() != 0 {
		t.Errorf("after Release %d bytes are held, want 0", budget.Held())
	}
}
