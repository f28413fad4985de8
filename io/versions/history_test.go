package versions_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"

	_ "bilberrymux/core/admit"
	_ "bilberrymux/core/detect"
	"bilberrymux/core/ident"
	_ "bilberrymux/core/pool"
	_ "bilberrymux/core/retry"
	"bilberrymux/core/store"
	"bilberrymux/io/standin/table"
	"bilberrymux/io/versions"
)

// submitInput is the input of one submit operation in a history.
type submitInput struct {
	id   string
	base ident.Version
}

// submitOutput is the outcome of a submit operation as the operator saw it.
type submitOutput struct {
	accepted ident.Version
	stale    bool
	unknown  bool
}

// modelState is the state of the sequential model: the current version, and the accepted patch IDs
// with their versions.
type modelState struct {
	current ident.Version
	ids     string
}

// model is the sequential specification of the configuration version: a patch is accepted if its
// base is the current version, and becomes the next version.
var model = porcupine.Model{
	Init: func() any { return modelState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(modelState), input.(submitInput), output.(submitOutput)
		entry := fmt.Sprintf("[%s=%d]", in.id, in.base+1)
		switch {
		case out.stale:
			return in.base != s.current, s
		case in.base != s.current:
			return out.unknown, s
		case !out.unknown && out.accepted != s.current+1:
			return false, s
		}
		return true, modelState{s.current + 1, s.ids + entry}
	},
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// nondeterministicModel extends model: a submission with an unknown outcome may also have no effect.
var nondeterministicModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState{}} },
	Step: func(state, input, output any) []any {
		var out []any
		if ok, next := model.Step(state, input, output); ok {
			out = append(out, next)
		}
		if output.(submitOutput).unknown {
			out = append(out, state)
		}
		return out
	},
	DescribeOperation: model.DescribeOperation,
}

const (
	operatorCount          = 4
	submissionsPerOperator = 8
)

// faults are the faults that the store injects while a history is recorded.
var faults = table.Faults{LoseReplyFraction: 0.15, LoseRequestFraction: 0.15, StaleReadFraction: 0.2, DelayMillis: 3}

// withoutConditions returns a faulty store that ignores the conditions of all writes.
func withoutConditions(s *store.Store) *store.Store {
	broken := *s
	broken.Transact = func(ctx context.Context, writes []store.Write) (store.Revision, error) {
		unconditional := make([]store.Write, len(writes))
		for i, w := range writes {
			w.Expect = store.Anything
			unconditional[i] = w
		}
		return s.Transact(ctx, unconditional)
	}
	return &broken
}

// recordHistory records a history of concurrent submissions. Each operator submits to a replica of
// its own, and all replicas share one store that injects faults.
func recordHistory(t *testing.T, seed uint64, wrap func(*store.Store) *store.Store) []porcupine.Operation {
	var mu sync.Mutex
	var ops []porcupine.Operation
	synctest.Test(t, func(t *testing.T) {
		tab := table.New(seed)
		tab.SetFaults(faults)
		begin := time.Now()
		var wg conc.WaitGroup
		for i := range operatorCount {
			wg.Go(func() {
				r := rand.New(rand.NewPCG(seed, uint64(i)))
				replica := versions.New(wrap(tab.Store()), nil)
				highest := ident.Version(0)
				for n := range submissionsPerOperator {
					time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
					op := submit(replica, r, fmt.Sprintf("%d-%d", i, n), begin)
					op.ClientId = i
					mu.Lock()
					ops = append(ops, op)
					mu.Unlock()
					if v := replica.Current().Version; v < highest {
						t.Errorf("version in force decreased from %d to %d", highest, v)
					} else {
						highest = v
					}
				}
			})
		}
		wg.Wait()
	})
	return ops
}

// submit polls the replica, submits a patch against its version and returns the recorded operation.
// Times are nanoseconds since begin.
func submit(replica *versions.Replica, r *rand.Rand, id string, begin time.Time) porcupine.Operation {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+r.IntN(1500))*time.Millisecond)
	defer cancel()
	_ = replica.Poll(ctx)
	in := submitInput{id, replica.Current().Version}
	patch := json.RawMessage(fmt.Sprintf(`{"organisations":{"o%s":{"weight":%d}}}`, id, 1+r.IntN(9)))
	call := time.Since(begin).Nanoseconds()
	number, err := replica.Submit(ctx, versions.Submission{ID: id, Base: in.base, Patch: patch})
	out := submitOutput{accepted: number}
	returned := time.Since(begin).Nanoseconds()
	var stale *versions.StaleError
	switch {
	case errors.As(err, &stale):
		out.stale = true
	case err != nil:
		// The write may still take effect at any later time, so the operation never returns.
		out.unknown = true
		returned = 1 << 62
	}
	return porcupine.Operation{Input: in, Output: out, Call: call, Return: returned}
}

// seedCount returns the number of seeds to run: BILBERRYMUX_SEEDS if it is set, 12 otherwise.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("BILBERRYMUX_SEEDS")); err == nil {
		return n
	}
	return 12
}

// TestSubmitHistoriesAreLinearizable checks that concurrent submissions are linearizable over a
// store that loses requests and replies and returns stale rows.
func TestSubmitHistoriesAreLinearizable(t *testing.T) {
	accepted := 0
	for seed := range uint64(seedCount()) {
		ops := recordHistory(t, seed, func(s *store.Store) *store.Store { return s })
		for _, op := range ops {
			if op.Output.(submitOutput).accepted > 0 {
				accepted++
			}
		}
		if !porcupine.CheckOperations(nondeterministicModel.ToModel(), ops) {
			t.Fatalf("seed %d: the history is not linearizable; replay with BILBERRYMUX_SEEDS=%d go test -run TestSubmitHistoriesAreLinearizable ./io/versions\n%s", seed, seed+1, describe(ops))
		}
	}
	if accepted == 0 {
		t.Fatal("no patch was accepted in any history, want at least one")
	}
}

// TestCheckerDetectsUnconditionalWrites checks that the linearizability checker rejects a history from
// a store that ignores the conditions of writes.
func TestCheckerDetectsUnconditionalWrites(t *testing.T) {
	for seed := range uint64(20) {
		ops := recordHistory(t, seed, withoutConditions)
		if !porcupine.CheckOperations(nondeterministicModel.ToModel(), ops) {
			return
		}
	}
	t.Fatal("20 histories from a store that ignores conditions are linearizable, want at least one violation")
}

// describe formats a history with one line for each operation.
func describe(ops []porcupine.Operation) string {
	out := ""
	for _, op := range ops {
		out += fmt.Sprintf("%d..%d operator %d: %s\n", op.Call, op.Return, op.ClientId, model.DescribeOperation(op.Input, op.Output))
	}
	return out
}
