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

// sendResult is the result of one send as the caller saw it.
type sendResult struct {
	answer string
	// unknown is true if the refusal states that the request may have run.
	unknown bool
}

// atMostOnceModel is the model of one key. Its state is the answer of the run, or empty if no answer
// was returned yet. All answers of a key must be equal.
var atMostOnceModel = porcupine.NondeterministicModel{
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
		ran, out := state.(string), output.(sendResult)
		switch {
		case out.answer != "" && (ran == "" || ran == out.answer):
			return []any{out.answer}
		case out.answer != "":
			return nil
		default:
			// A refusal says nothing about the runs of other sends. Runs whose answer no caller
			// received are counted in cluster.runs.
			return []any{state}
		}
	},
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%v -> %+v", input, output)
	},
}

// daemon is one incarnation of a daemon on a VM of the cluster.
type daemon struct {
	id     ident.VMID
	runner *once.Runner
	self   ident.Incarnation
	cancel context.CancelFunc
}

// cluster consists of several daemons that share a faulty store. It counts the runs of each key and
// records the sends of all callers.
type cluster struct {
	tab       *table.Table
	wrapStore func(*store.Store) *store.Store
	// maxAnswerBytes is the limit of the answers of each daemon. Zero means the default.
	maxAnswerBytes int64

	mu      sync.Mutex
	random  *rand.Rand
	daemons []*daemon
	ended   map[ident.Incarnation]bool
	// runs is the number of runs of each key.
	runs   map[string]int
	starts int
	ops    []porcupine.Operation
	tasks  conc.WaitGroup
}

// randomInt returns a random number in [0, n).
func (c *cluster) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// startDaemon starts a daemon on VM i. The incarnation that ran there before ends permanently.
func (c *cluster) startDaemon(i int) *daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.daemons[i]; old != nil {
		c.ended[old.self] = true
		old.cancel()
	}
	c.starts++
	d := &daemon{id: ident.VMID(fmt.Sprint("vm-", i))}
	d.self = ident.Incarnation(fmt.Sprintf("%s~%d", d.id, c.starts))
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.runner = once.New(once.Options{
		Self: d.self, Store: c.wrapStore(c.tab.Store()), Retention: coreonce.DefaultRetention(), MaxAnswerBytes: c.maxAnswerBytes,
		IncarnationEnded: func(inc ident.Incarnation) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.ended[inc]
		},
	})
	d.runner.Start(ctx, &c.tasks)
	c.daemons[i] = d
	return d
}

// findReachable returns the daemon with the given incarnation. It returns nil if there is none, and
// at random for a quarter of the calls.
func (c *cluster) findReachable(inc ident.Incarnation) *daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random.IntN(4) == 0 {
		// Simulates a network partition.
		return nil
	}
	for _, d := range c.daemons {
		if d.self == inc {
			return d
		}
	}
	return nil
}

// send sends a request with the key to a daemon. forwarded states that the sender is another daemon.
func (c *cluster) send(ctx context.Context, d *daemon, key coreonce.Key, forwarded bool) coreonce.Outcome {
	return d.runner.Do(ctx, &once.Request{
		Key: key, Fingerprint: 1, Forwarded: forwarded,
		Run: func(context.Context) coreonce.Outcome { return c.run(key) },
		Forward: func(ctx context.Context, decider ident.Incarnation) (coreonce.Outcome, bool) {
			other := c.findReachable(decider)
			if other == nil {
				return coreonce.Outcome{}, false
			}
			return c.send(ctx, other, key, true), true
		},
	})
}

// run simulates the backend server. It refuses the request before it runs, fails after the run, or
// answers. The random delays before and after the run simulate pauses of the daemon.
func (c *cluster) run(key coreonce.Key) coreonce.Outcome {
	time.Sleep(time.Duration(c.randomInt(3000)) * time.Millisecond)
	switch c.randomInt(5) {
	case 0:
		return coreonce.Outcome{Refused: refusal.New(refusal.QueueFull, "")}
	case 1:
		c.recordRun(key)
		return coreonce.Outcome{Refused: refusal.New(refusal.ServerFailed, "")}
	}
	n := c.recordRun(key)
	time.Sleep(time.Duration(c.randomInt(500)) * time.Millisecond)
	return coreonce.Outcome{Answer: []byte(fmt.Sprintf("run %d of %s", n, key.Text))}
}

// recordRun counts a run of the key and returns the number of its runs so far.
func (c *cluster) recordRun(key coreonce.Key) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key.Text]++
	return c.runs[key.Text]
}

const (
	daemonCount    = 3
	callerCount    = 6
	sendsPerCaller = 12
	keyCount       = 6
	// fewAnswerBytes have room for one or two answers, so that most are dropped from memory.
	fewAnswerBytes = 20
)

// runHistory simulates callers that send and resend a few keys while daemons restart and the store
// fails at times. It returns the cluster with the recorded history.
func runHistory(t *testing.T, seed uint64, wrapStore func(*store.Store) *store.Store) *cluster {
	c := &cluster{
		tab: table.New(seed), wrapStore: wrapStore, random: rand.New(rand.NewPCG(seed, 3)),
		daemons: make([]*daemon, daemonCount), ended: map[ident.Incarnation]bool{}, runs: map[string]int{},
	}
	if seed%2 == 1 {
		c.maxAnswerBytes = fewAnswerBytes
	}
	synctest.Test(t, func(*testing.T) {
		begin := time.Now()
		c.tab.SetFaults(table.Faults{LoseReplyFraction: 0.15, LoseRequestFraction: 0.15, DelayMillis: 20})
		for i := range c.daemons {
			c.startDaemon(i)
		}
		keys := c.keys(begin)
		var callers conc.WaitGroup
		for client := range callerCount {
			callers.Go(func() { c.runCaller(client, begin, keys) })
		}
		callers.Go(func() { c.injectFaults() })
		callers.Wait()
		for _, d := range c.daemons {
			d.cancel()
		}
		c.tasks.Wait()
	})
	return c
}

// keys returns the keys to send. Half of them are plain keys and half are permit keys.
func (c *cluster) keys(now time.Time) []coreonce.Key {
	var out []coreonce.Key
	for i := range keyCount {
		text := fmt.Sprint("order-", i)
		if i%2 == 0 {
			text = coreonce.NewKeyPermit(c.daemons[i%daemonCount].self, now) + "." + text
		}
		key, err := coreonce.ParseKey("org", text)
		if err != nil {
			panic(err)
		}
		out = append(out, key)
	}
	return out
}

// runCaller sends random keys to random daemons with random timeouts.
func (c *cluster) runCaller(client int, begin time.Time, keys []coreonce.Key) {
	for range sendsPerCaller {
		time.Sleep(time.Duration(c.randomInt(2000)) * time.Millisecond)
		key := keys[c.randomInt(len(keys))]
		c.mu.Lock()
		d := c.daemons[c.random.IntN(len(c.daemons))]
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(500+c.randomInt(6000))*time.Millisecond)
		call := time.Since(begin).Nanoseconds()
		outcome := c.send(ctx, d, key, false)
		cancel()
		c.recordOperation(client, key, call, time.Since(begin).Nanoseconds(), outcome)
	}
}

// recordOperation adds a send and its outcome to the history. call and returned are the times of the
// send and of its result in nanoseconds since the start.
func (c *cluster) recordOperation(client int, key coreonce.Key, call, returned int64, o coreonce.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := sendResult{answer: string(o.Answer)}
	if o.Refused != nil {
		out.unknown = o.Refused.Outcome() == refusal.Unknown
	}
	c.ops = append(c.ops, porcupine.Operation{ClientId: client, Input: key.Text, Output: out, Call: call, Return: returned})
}

// injectFaults restarts random daemons and makes the store unavailable at random times.
func (c *cluster) injectFaults() {
	for range 6 {
		time.Sleep(time.Duration(1000+c.randomInt(3000)) * time.Millisecond)
		switch c.randomInt(3) {
		case 0:
			c.startDaemon(c.randomInt(daemonCount))
		case 1:
			c.tab.SetFaults(table.Faults{Down: true})
			time.Sleep(time.Duration(c.randomInt(4000)) * time.Millisecond)
			c.tab.SetFaults(table.Faults{LoseReplyFraction: 0.15, LoseRequestFraction: 0.15, DelayMillis: 20})
		}
	}
}

// violation describes how the history violates the at-most-once guarantee, or returns an empty
// string.
func (c *cluster) violation() string {
	for key, n := range c.runs {
		if n > 1 {
			return fmt.Sprintf("key %s ran %d times, want at most once", key, n)
		}
	}
	if !porcupine.CheckOperations(atMostOnceModel.ToModel(), c.ops) {
		return "the answers are not linearizable under the at-most-once model"
	}
	return ""
}

// describe lists the recorded sends, one a line, with their times in milliseconds.
func (c *cluster) describe() string {
	out := ""
	for _, op := range c.ops {
		out += fmt.Sprintf("%d..%d caller %d: %s\n", op.Call/1e6, op.Return/1e6, op.ClientId, atMostOnceModel.DescribeOperation(op.Input, op.Output))
	}
	return out
}

// seedCount returns the number of seeds to run. BILBERRYMUX_SEEDS overrides the default of 20.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("BILBERRYMUX_SEEDS")); err == nil {
		return n
	}
	return 20
}

// TestAtMostOnceHistories checks that no key runs twice and that all answers of a key are equal. Plain
// keys and permit keys are resent through any daemon, with a faulty store, restarts, network
// partitions and pauses.
func TestAtMostOnceHistories(t *testing.T) {
	ran := 0
	for seed := range uint64(seedCount()) {
		c := runHistory(t, seed, func(s *store.Store) *store.Store { return s })
		if violation := c.violation(); violation != "" {
			t.Fatalf("seed %d: %s; replay with BILBERRYMUX_SEEDS=%d go test -run TestAtMostOnceHistories ./io/once\n%s", seed, violation, seed+1, c.describe())
		}
		ran += len(c.runs)
	}
	if ran == 0 {
		t.Fatal("no request ran in any history, want at least one run")
	}
}

// TestCheckerDetectsUnconditionalClaims checks that the check of the histories finds a violation if
// claims are written without their condition.
func TestCheckerDetectsUnconditionalClaims(t *testing.T) {
	for seed := range uint64(30) {
		c := runHistory(t, seed, func(s *store.Store) *store.Store {
			unconditional := *s
			unconditional.Transact = func(ctx context.Context, writes []store.Write) (store.Revision, error) {
				all := make([]store.Write, len(writes))
				for i, w := range writes {
					w.Expect = store.Anything
					all[i] = w
				}
				return s.Transact(ctx, all)
			}
			return &unconditional
		})
		if c.violation() != "" {
			return
		}
	}
	t.Fatal("no violation found in 30 histories without conditional claims, want at least one")
}

// TestNotRunIsNotReportedAfterRun checks that a refusal does not state that a request has not run if
// its key ran before the send began and the claim row of the run can be read.
func TestNotRunIsNotReportedAfterRun(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		c := &cluster{
			tab: table.New(1), wrapStore: func(s *store.Store) *store.Store { return s }, random: rand.New(rand.NewPCG(9, 3)),
			daemons: make([]*daemon, 2), ended: map[ident.Incarnation]bool{}, runs: map[string]int{},
		}
		first, second := c.startDaemon(0), c.startDaemon(1)
		key, _ := coreonce.ParseKey("org", "order")
		for c.runs[key.Text] == 0 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			c.send(ctx, first, key, false)
			cancel()
		}
		// The incarnation that claimed the key ends. The other daemon finds its claim row.
		c.startDaemon(0)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		outcome := c.send(ctx, second, key, false)
		cancel()
		if outcome.Refused != nil && outcome.Refused.Outcome() == refusal.NotRun {
			t.Errorf("refusal after a run states that the request has not run: %v", outcome.Refused)
		}
		for _, d := range c.daemons {
			d.cancel()
		}
		c.tasks.Wait()
	})
}
