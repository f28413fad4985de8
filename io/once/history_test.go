package once_test

import (
	"context"
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

	"bilberrymux/core/ident"
	coreonce "bilberrymux/core/once"
	"bilberrymux/core/refusal"
	"bilberrymux/core/store"
	"bilberrymux/io/once"
	"bilberrymux/io/standin/table"
)

// told is what a caller was told of one send.
type told struct {
	answer string
	// unknown leaves open whether the key ran.
	unknown bool
}

// atMostOnce is the model of one key: it has not run, or has run with an
// answer, and every answer is that one.
var atMostOnce = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(string)
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Step: func(state, _, output any) []any {
		ran, out := state.(string), output.(told)
		switch {
		case out.answer != "" && (ran == "" || ran == out.answer):
			return []any{out.answer}
		case out.answer != "":
			return nil
		default:
			// A refused send neither runs the key nor denies another's run. Runs
			// whose answer nobody got are counted by the ledger.
			return []any{state}
		}
	},
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%v -> %+v", input, output)
	},
}

// vm is one daemon of the bench.
type vm struct {
	id     ident.VMID
	runner *once.Runner
	self   ident.Incarnation
	cancel context.CancelFunc
}

// bench is a few daemons over one store with faults, and the ledger of runs.
type bench struct {
	tab  *table.Table
	wrap func(*store.Store) *store.Store

	mu     sync.Mutex
	random *rand.Rand
	vms    []*vm
	gone   map[ident.Incarnation]bool
	runs   map[string]int
	starts int
	ops    []porcupine.Operation
	tasks  conc.WaitGroup
}

func (b *bench) draw(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.IntN(n)
}

// boot starts a daemon on a VM; what ran there before is gone for good.
func (b *bench) boot(i int) *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.vms[i]; old != nil {
		b.gone[old.self] = true
		old.cancel()
	}
	b.starts++
	v := &vm{id: ident.VMID(fmt.Sprint("vm-", i))}
	v.self = ident.Incarnation(fmt.Sprintf("%s~%d", v.id, b.starts))
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.runner = once.New(once.Options{
		Self: v.self, Store: b.wrap(b.tab.Store()), Retention: coreonce.DefaultRetention(),
		Gone: func(inc ident.Incarnation) bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.gone[inc]
		},
	})
	v.runner.Start(ctx, &b.tasks)
	b.vms[i] = v
	return v
}

// find returns the daemon that runs an incarnation, if it can be reached now.
func (b *bench) find(inc ident.Incarnation) *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.random.IntN(4) == 0 {
		// A partition loses this call.
		return nil
	}
	for _, v := range b.vms {
		if v.self == inc {
			return v
		}
	}
	return nil
}

// send sends a key to a daemon, as a caller or as another daemon.
func (b *bench) send(ctx context.Context, v *vm, key coreonce.Key, forwarded bool) coreonce.Outcome {
	return v.runner.Do(ctx, &once.Request{
		Key: key, Fingerprint: 1, Forwarded: forwarded,
		Run: func(context.Context) coreonce.Outcome { return b.run(key) },
		Forward: func(ctx context.Context, decider ident.Incarnation) (coreonce.Outcome, bool) {
			other := b.find(decider)
			if other == nil {
				return coreonce.Outcome{}, false
			}
			return b.send(ctx, other, key, true), true
		},
	})
}

// run is the backend server: it may refuse before it runs, answer, or fail
// after it ran. The daemon may be paused for long on either side of it.
func (b *bench) run(key coreonce.Key) coreonce.Outcome {
	time.Sleep(time.Duration(b.draw(3000)) * time.Millisecond)
	switch b.draw(5) {
	case 0:
		return coreonce.Outcome{Refused: refusal.New(refusal.QueueFull, "")}
	case 1:
		b.ran(key)
		return coreonce.Outcome{Refused: refusal.New(refusal.ServerFailed, "")}
	}
	n := b.ran(key)
	time.Sleep(time.Duration(b.draw(500)) * time.Millisecond)
	return coreonce.Outcome{Answer: []byte(fmt.Sprintf("run %d of %s", n, key.Text))}
}

func (b *bench) ran(key coreonce.Key) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[key.Text]++
	return b.runs[key.Text]
}

const (
	benchVMs     = 3
	benchCallers = 6
	benchSends   = 12
	benchKeys    = 6
)

// play lets callers send and resend a few keys while daemons restart and the
// store comes and goes.
func play(t *testing.T, seed uint64, wrap func(*store.Store) *store.Store) *bench {
	b := &bench{
		tab: table.New(seed), wrap: wrap, random: rand.New(rand.NewPCG(seed, 3)),
		vms: make([]*vm, benchVMs), gone: map[ident.Incarnation]bool{}, runs: map[string]int{},
	}
	synctest.Test(t, func(*testing.T) {
		begin := time.Now()
		b.tab.SetFaults(table.Faults{LoseReply: 0.15, LoseRequest: 0.15, DelayMillis: 20})
		for i := range b.vms {
			b.boot(i)
		}
		keys := b.keys(begin)
		var callers conc.WaitGroup
		for c := range benchCallers {
			callers.Go(func() { b.caller(c, begin, keys) })
		}
		callers.Go(func() { b.trouble() })
		callers.Wait()
		for _, v := range b.vms {
			v.cancel()
		}
		b.tasks.Wait()
	})
	return b
}

// keys are half plain and half made from permits.
func (b *bench) keys(now time.Time) []coreonce.Key {
	var out []coreonce.Key
	for i := range benchKeys {
		text := fmt.Sprint("order-", i)
		if i%2 == 0 {
			text = coreonce.NewPermit(b.vms[i%benchVMs].self, now) + "." + text
		}
		key, err := coreonce.ParseKey("org", text)
		if err != nil {
			panic(err)
		}
		out = append(out, key)
	}
	return out
}

func (b *bench) caller(c int, begin time.Time, keys []coreonce.Key) {
	for range benchSends {
		time.Sleep(time.Duration(b.draw(2000)) * time.Millisecond)
		key := keys[b.draw(len(keys))]
		b.mu.Lock()
		v := b.vms[b.random.IntN(len(b.vms))]
		b.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(500+b.draw(6000))*time.Millisecond)
		call := time.Since(begin).Nanoseconds()
		outcome := b.send(ctx, v, key, false)
		cancel()
		b.note(c, key, call, time.Since(begin).Nanoseconds(), outcome)
	}
}

// note writes down what a caller was told, and whether that was a lie.
func (b *bench) note(c int, key coreonce.Key, call, back int64, o coreonce.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := told{answer: string(o.Answer)}
	if o.Refused != nil {
		out.unknown = o.Refused.Outcome() == refusal.Unknown
	}
	b.ops = append(b.ops, porcupine.Operation{ClientId: c, Input: key.Text, Output: out, Call: call, Return: back})
}

// trouble restarts daemons and takes the store away.
func (b *bench) trouble() {
	for range 6 {
		time.Sleep(time.Duration(1000+b.draw(3000)) * time.Millisecond)
		switch b.draw(3) {
		case 0:
			b.boot(b.draw(benchVMs))
		case 1:
			b.tab.SetFaults(table.Faults{Down: true})
			time.Sleep(time.Duration(b.draw(4000)) * time.Millisecond)
			b.tab.SetFaults(table.Faults{LoseReply: 0.15, LoseRequest: 0.15, DelayMillis: 20})
		}
	}
}

// fault returns what is wrong with a history, or nothing.
func (b *bench) fault() string {
	for key, n := range b.runs {
		if n > 1 {
			return fmt.Sprintf("%s ran %d times", key, n)
		}
	}
	if !porcupine.CheckOperations(atMostOnce.ToModel(), b.ops) {
		return "no order explains the answers"
	}
	return ""
}

func (b *bench) describe() string {
	out := ""
	for _, op := range b.ops {
		out += fmt.Sprintf("%d..%d caller %d: %s\n", op.Call/1e6, op.Return/1e6, op.ClientId, atMostOnce.DescribeOperation(op.Input, op.Output))
	}
	return out
}

func benchSeeds() int {
	if n, err := strconv.Atoi(os.Getenv("BILBERRYMUX_SEEDS")); err == nil {
		return n
	}
	return 20
}

// TestAtMostOnceHistories resends keys of both forms through any daemon over a
// faulty store, with restarts, partitions and pauses.
func TestAtMostOnceHistories(t *testing.T) {
	ran := 0
	for seed := range uint64(benchSeeds()) {
		b := play(t, seed, func(s *store.Store) *store.Store { return s })
		if fault := b.fault(); fault != "" {
			t.Fatalf("seed %d: %s; replay with BILBERRYMUX_SEEDS=%d go test -run TestAtMostOnceHistories ./io/once\n%s", seed, fault, seed+1, b.describe())
		}
		ran += len(b.runs)
	}
	if ran == 0 {
		t.Fatal("nothing ran: the histories prove nothing")
	}
}

// TestCheckerFindsLostClaims shows that the check fails when claims are written
// without their condition.
func TestCheckerFindsLostClaims(t *testing.T) {
	for seed := range uint64(30) {
		b := play(t, seed, func(s *store.Store) *store.Store {
			free := *s
			free.Transact = func(ctx context.Context, writes []store.Write) (store.Revision, error) {
				all := make([]store.Write, len(writes))
				for i, w := range writes {
					w.Expect = store.Anything
					all[i] = w
				}
				return s.Transact(ctx, all)
			}
			return &free
		})
		if b.fault() != "" {
			return
		}
	}
	t.Fatal("30 histories without conditional claims pass")
}

// TestTruthfulNotRun never tells a caller that a key which ran before the send
// began did not run, where the daemon could know.
func TestTruthfulNotRun(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		b := &bench{
			tab: table.New(1), wrap: func(s *store.Store) *store.Store { return s }, random: rand.New(rand.NewPCG(9, 3)),
			vms: make([]*vm, 2), gone: map[ident.Incarnation]bool{}, runs: map[string]int{},
		}
		first, second := b.boot(0), b.boot(1)
		key, _ := coreonce.ParseKey("org", "order")
		for b.runs[key.Text] == 0 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			b.send(ctx, first, key, false)
			cancel()
		}
		// The claimer is gone for good and the other one reads its row.
		b.boot(0)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		outcome := b.send(ctx, second, key, false)
		cancel()
		if outcome.Refused != nil && outcome.Refused.Outcome() == refusal.NotRun {
			t.Errorf("told not run after a run: %v", outcome.Refused)
		}
		for _, v := range b.vms {
			v.cancel()
		}
		b.tasks.Wait()
	})
}
