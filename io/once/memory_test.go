package once_test

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	coreonce "bilberrymux/core/once"
	"bilberrymux/core/refusal"
	"bilberrymux/io/once"
	"bilberrymux/io/standin/table"
)

// answerLimit is the limit of the answers of these tests, and answerSize the size of one.
const (
	answerLimit = 4 << 20
	answerSize  = 512 << 10
)

// answeringRunner is a runner whose runs return a large answer each.
type answeringRunner struct {
	t      *testing.T
	runner *once.Runner
	// permit is the begin of all keys, which this incarnation decides.
	permit string
	runs   map[string]int
}

func newAnsweringRunner(t *testing.T, tab *table.Table) *answeringRunner {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	r := &answeringRunner{t: t, permit: coreonce.NewKeyPermit("vm~1", time.Now()), runs: map[string]int{}, runner: once.New(once.Options{
		Self: "vm~1", Store: tab.Store(), Retention: coreonce.DefaultRetention(), MaxAnswerBytes: answerLimit,
	})}
	r.runner.Start(ctx, &tasks)
	// Outcomes are written at once.
	r.runner.Flush()
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return r
}

// answerTo returns the answer to the n-th key.
func answerTo(n int) []byte {
	return append([]byte(fmt.Sprintf("answer %d ", n)), bytes.Repeat([]byte("x"), answerSize)...)
}

// send sends the n-th key.
func (r *answeringRunner) send(n int) coreonce.Outcome {
	key, err := coreonce.ParseKey("org", fmt.Sprintf("%s.%d", r.permit, n))
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return r.runner.Do(ctx, &once.Request{Key: key, Fingerprint: 1, Run: func(context.Context) coreonce.Outcome {
		r.runs[key.Text]++
		return coreonce.Outcome{Answer: answerTo(n)}
	}})
}

// heapBytes returns the bytes of the heap in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestAnswersOfAllKeysTakeBoundedMemory guards against a daemon whose answers kept for resends have no bound in sum, also
// while the store takes no outcomes.
func TestAnswersOfAllKeysTakeBoundedMemory(t *testing.T) {
	const keys = 200
	tab := table.New(1)
	r := newAnsweringRunner(t, tab)
	tab.SetFaults(table.Faults{Down: true})
	before := heapBytes()
	for n := range keys {
		if o := r.send(n); o.Answer == nil {
			t.Fatalf("key %d: %+v", n, o.Refused)
		}
	}
	kept, queued := r.runner.AnswerBytes()
	if kept > answerLimit || queued > answerLimit {
		t.Errorf("%d bytes are kept and %d wait for the store, want at most %d each", kept, queued, int64(answerLimit))
	}
	if grown := heapBytes() - before; grown > 4*answerLimit {
		t.Errorf("the heap grew by %d bytes, want at most %d", grown, int64(4*answerLimit))
	}
	runtime.KeepAlive(r)
}

// TestDroppedAnswerIsReadBack guards against a second run, or a loss, of a request whose answer is no longer in memory.
func TestDroppedAnswerIsReadBack(t *testing.T) {
	const keys = 20
	tab := table.New(1)
	r := newAnsweringRunner(t, tab)
	for n := range keys {
		if o := r.send(n); o.Answer == nil {
			t.Fatalf("key %d: %+v", n, o.Refused)
		}
		for end := time.Now().Add(10 * time.Second); r.runner.Pending() > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	for n := range keys {
		if got := r.send(n).Answer; !bytes.Equal(answerTo(n), got) {
			t.Errorf("key %d sent again: got %d bytes, %.20q, want its answer", n, len(got), got)
		}
	}
	tab.SetFaults(table.Faults{Down: true})
	if o := r.send(0); o.Refused == nil || o.Refused.Outcome() != refusal.Unknown {
		t.Errorf("a dropped answer while the store is away: got %+v, want a refusal with an unknown outcome", o)
	}
	for key, n := range r.runs {
		if n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}
