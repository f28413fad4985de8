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

// submitInput is one operator's submission.
type submitInput struct {
	id   string
	base ident.Version
}

// submitOutput is what the operator was told.
type submitOutput struct {
	accepted ident.Version
	stale    bool
	unknown  bool
}

// register is the state of the model: the current version, and which patch
// became which version.
type register struct {
	current ident.Version
	ids     string
}

// model is the register of the configuration version: a patch is accepted as
// the version after its base, once.
var model = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(register), input.(submitInput), output.(submitOutput)
		mark := fmt.Sprintf("[%s=%d]", in.id, in.base+1)
		switch {
		case out.stale:
			return in.base != s.current, s
		case in.base != s.current:
			return out.unknown, s
		case !out.unknown && out.accepted != s.current+1:
			return false, s
		}
		return true, register{s.current + 1, s.ids + mark}
	},
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// unknownModel lets submissions with an unknown outcome also have no effect.
var unknownModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
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
	operators   = 4
	submissions = 8
)

// faults are those of the store in the histories.
var faults = table.Faults{LoseReply: 0.15, LoseRequest: 0.15, StaleReads: 0.2, DelayMillis: 3}

// unconditional breaks a store: it drops the conditions of all writes.
func unconditional(s *store.Store) *store.Store {
	broken := *s
	broken.Transact = func(ctx context.Context, writes []store.Write) (store.Revision, error) {
		free := make([]store.Write, len(writes))
		for i, w := range writes {
			w.Expect = store.Anything
			free[i] = w
		}
		return s.Transact(ctx, free)
	}
	return &broken
}

// history lets operators race patches through daemons of their own over a
// store with faults.
func history(t *testing.T, seed uint64, wrap func(*store.Store) *store.Store) []porcupine.Operation {
	var mu sync.Mutex
	var ops []porcupine.Operation
	synctest.Test(t, func(t *testing.T) {
		tab := table.New(seed)
		tab.SetFaults(faults)
		begin := time.Now()
		var wg conc.WaitGroup
		for i := range operators {
			wg.Go(func() {
				r := rand.New(rand.NewPCG(seed, uint64(i)))
				keeper := versions.New(wrap(tab.Store()), nil)
				highest := ident.Version(0)
				for n := range submissions {
					time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
					op := submit(keeper, r, fmt.Sprintf("%d-%d", i, n), begin)
					op.ClientId = i
					mu.Lock()
					ops = append(ops, op)
					mu.Unlock()
					if v := keeper.Current().Version; v < highest {
						t.Errorf("version in force went back from %d to %d", highest, v)
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

func submit(k *versions.Replica, r *rand.Rand, id string, begin time.Time) porcupine.Operation {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+r.IntN(1500))*time.Millisecond)
	defer cancel()
	_ = k.Poll(ctx)
	in := submitInput{id, k.Current().Version}
	patch := json.RawMessage(fmt.Sprintf(`{"organisations":{"o%s":{"weight":%d}}}`, id, 1+r.IntN(9)))
	call := time.Since(begin).Nanoseconds()
	number, err := k.Submit(ctx, versions.Submission{ID: id, Base: in.base, Patch: patch})
	out := submitOutput{accepted: number}
	back := time.Since(begin).Nanoseconds()
	var stale *versions.StaleError
	switch {
	case errors.As(err, &stale):
		out.stale = true
	case err != nil:
		// The write may still take effect at any later time.
		out.unknown = true
		back = 1 << 62
	}
	return porcupine.Operation{Input: in, Output: out, Call: call, Return: back}
}

// seeds are the fixed ones of CI, or as many as BILBERRYMUX_SEEDS says.
func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("BILBERRYMUX_SEEDS")); err == nil {
		return n
	}
	return 12
}

// TestVersionHistories checks that racing operators over a store that loses
// replies and reads stale rows see one register.
func TestVersionHistories(t *testing.T) {
	accepted := 0
	for seed := range uint64(seeds()) {
		ops := history(t, seed, func(s *store.Store) *store.Store { return s })
		for _, op := range ops {
			if op.Output.(submitOutput).accepted > 0 {
				accepted++
			}
		}
		if !porcupine.CheckOperations(unknownModel.ToModel(), ops) {
			t.Fatalf("seed %d: no order explains the history; replay with BILBERRYMUX_SEEDS=%d go test -run TestVersionHistories ./io/versions\n%s", seed, seed+1, describe(ops))
		}
	}
	if accepted == 0 {
		t.Fatal("no patch was ever accepted: the histories prove nothing")
	}
}

// TestVersionCheckerFindsLostConditions shows that the checker fails when the
// store's conditions are dropped.
func TestVersionCheckerFindsLostConditions(t *testing.T) {
	for seed := range uint64(20) {
		ops := history(t, seed, unconditional)
		if !porcupine.CheckOperations(unknownModel.ToModel(), ops) {
			return
		}
	}
	t.Fatal("20 histories over a store without conditions pass")
}

func describe(ops []porcupine.Operation) string {
	out := ""
	for _, op := range ops {
		out += fmt.Sprintf("%d..%d operator %d: %s\n", op.Call, op.Return, op.ClientId, model.DescribeOperation(op.Input, op.Output))
	}
	return out
}
