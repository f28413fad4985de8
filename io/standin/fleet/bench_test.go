package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/ident"
	"bilberrymux/io/daemon"
	"bilberrymux/io/front"
	"bilberrymux/io/standin/fleet"
	"bilberrymux/io/standin/load"
)

// benchWorkers is the number of concurrent workers: half of the 24 slots.
const benchWorkers = 12

// meanPause is the mean of the random pause of a worker before each request. It keeps the workers
// from sending in lockstep.
const meanPause = 5 * time.Millisecond

// path is a route to the servers whose latency is measured, in microseconds.
type path struct {
	name      string
	addresses []string
	latency   *hdrhistogram.Histogram
}

// BenchmarkAddedTime measures the latency that daemons add. Within one run it alternates between
// requests sent directly to the servers, through the owner, and through another daemon to the owner,
// and reports the percentiles of each path and their differences to the direct path.
func BenchmarkAddedTime(b *testing.B) {
	daemon.LimitMemory()
	o := options(2)
	// The servers respond without delay, since the error of a timer would exceed the added latency.
	o.Services[0].WorkMedian = 0
	f, err := fleet.Start(o)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	if err := f.WaitReady(waitTimeout); err != nil {
		b.Fatal(err)
	}
	paths := newPaths(b, f)
	b.ReportAllocs()
	for b.Loop() {
		for _, p := range paths {
			p.sendRound(b)
		}
	}
	direct := paths[0].latency
	for _, p := range paths {
		b.ReportMetric(float64(p.latency.ValueAtQuantile(50)), p.name+"-p50-us")
		b.ReportMetric(float64(p.latency.ValueAtQuantile(99)), p.name+"-p99-us")
		if p != paths[0] {
			b.ReportMetric(float64(p.latency.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), p.name+"-added-p50-us")
			b.ReportMetric(float64(p.latency.ValueAtQuantile(99)-direct.ValueAtQuantile(99)), p.name+"-added-p99-us")
		}
	}
}

// newPaths returns the direct path, the path through the owner, and the path through another daemon.
func newPaths(b *testing.B, f *fleet.Fleet) []*path {
	b.Helper()
	paths := []*path{{name: "direct"}, {name: "owner"}, {name: "forwarded"}}
	for _, s := range f.Servers["orders"] {
		paths[0].addresses = append(paths[0].addresses, s.Address())
	}
	for _, address := range f.Entries() {
		_, owner, err := timedGet(address)
		if err != nil {
			b.Fatal(err)
		}
		i := 1
		if owner != "" {
			i = 2
		}
		paths[i].addresses = []string{address}
	}
	for _, p := range paths {
		p.latency = hdrhistogram.New(1, 10_000_000, 3)
	}
	return paths
}

// timedGet sends a GET request and returns its latency and the value of the response's owner header,
// which is empty unless the daemon forwarded the request.
func timedGet(address string) (time.Duration, string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/orders/1")
	begin := time.Now()
	err := benchClient.Do(req, resp)
	return time.Since(begin), string(resp.Header.Peek(front.OwnerHeader)), err
}

var benchClient = fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 64}

// sendRound sends 10 requests from each worker over the path and records their latencies.
func (p *path) sendRound(b *testing.B) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for w := range benchWorkers {
		wg.Go(func() {
			for range 10 {
				time.Sleep(rand.N(2 * meanPause))
				took, _, err := timedGet(p.addresses[w%len(p.addresses)])
				if err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				_ = p.latency.RecordValue(took.Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// BenchmarkOwnersMove measures the failover of a shard's owner. It kills the owner and up to three
// more daemons of a fleet of 16 at the same time under a steady load, and reports how many requests
// were not answered in time.
func BenchmarkOwnersMove(b *testing.B) {
	for _, killed := range []int{1, 2, 4} {
		b.Run(fmt.Sprintf("killed=%d", killed), func(b *testing.B) {
			for b.Loop() {
				killOwners(b, killed)
			}
		})
	}
}

// killOwners runs the load for 6 s and kills the given number of daemons, the owner first, after 2 s.
func killOwners(b *testing.B, killed int) {
	f, err := fleet.Start(options(16))
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	if err := f.WaitReady(waitTimeout); err != nil {
		b.Fatal(err)
	}
	owner := 0
	for i, address := range f.Entries() {
		if _, other, err := timedGet(address); err == nil && other == "" {
			owner = i
		}
	}
	l := load.New(load.Options{Entries: f.Entries(), Seed: 1, Streams: []load.Stream{
		{Name: "read", Rank: ident.Urgent, Method: "GET", Path: "/orders", Rate: 300, DeadlineMillis: 1000, MaxResends: 2},
	}})
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	time.AfterFunc(2*time.Second, func() {
		for i := range killed {
			f.Daemons[(owner+i)%len(f.Daemons)].Kill()
		}
	})
	l.Run(ctx)
	r := l.Report()[0]
	b.ReportMetric(float64(r.Sent), "sent")
	b.ReportMetric(float64(r.Sent)*(1-r.InTime), "not-in-time")
	b.ReportMetric(r.P99MS, "p99-ms")
}
