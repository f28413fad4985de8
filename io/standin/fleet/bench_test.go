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

// benchWorkers is half of the slots, 12 of 24.
const benchWorkers = 12

// benchPause is the mean pause of a worker between two requests, so that the
// workers do not send in step.
const benchPause = 5 * time.Millisecond

// path is one way to the servers.
type path struct {
	name      string
	addresses []string
	latency   *hdrhistogram.Histogram
}

// BenchmarkAddedTime sends the same requests directly to the servers, through
// the owner, and through another daemon to the owner, in turns of one run, and
// reports the percentiles and what the daemons add to them.
func BenchmarkAddedTime(b *testing.B) {
	daemon.LimitMemory()
	o := options(2)
	// The servers answer at once: a timer's own error would be larger than what
	// is measured.
	o.Services[0].WorkMedian = 0
	f, err := fleet.Start(o)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	if err := f.WaitReady(patience); err != nil {
		b.Fatal(err)
	}
	paths := pathsOf(b, f)
	b.ReportAllocs()
	for b.Loop() {
		for _, p := range paths {
			p.round(b)
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

func pathsOf(b *testing.B, f *fleet.Fleet) []*path {
	b.Helper()
	paths := []*path{{name: "direct"}, {name: "owner"}, {name: "forwarded"}}
	for _, s := range f.Servers["orders"] {
		paths[0].addresses = append(paths[0].addresses, s.Address())
	}
	for _, address := range f.Entries() {
		_, owner, err := get(address)
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

func get(address string) (time.Duration, string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/orders/1")
	begin := time.Now()
	err := benchClient.Do(req, resp)
	return time.Since(begin), string(resp.Header.Peek(front.OwnerHeader)), err
}

var benchClient = fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 64}

// round sends a few requests from each worker.
func (p *path) round(b *testing.B) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for w := range benchWorkers {
		wg.Go(func() {
			for range 10 {
				time.Sleep(rand.N(2 * benchPause))
				took, _, err := get(p.addresses[w%len(p.addresses)])
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

// BenchmarkOwnersMove kills daemons of a fleet of 16 at once under a steady load
// and reports how many of the requests were not answered in time.
func BenchmarkOwnersMove(b *testing.B) {
	for _, killed := range []int{1, 2, 4} {
		b.Run(fmt.Sprintf("killed=%d", killed), func(b *testing.B) {
			for b.Loop() {
				moveOwners(b, killed)
			}
		})
	}
}

func moveOwners(b *testing.B, killed int) {
	f, err := fleet.Start(options(16))
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	if err := f.WaitReady(patience); err != nil {
		b.Fatal(err)
	}
	owner := 0
	for i, address := range f.Entries() {
		if _, other, err := get(address); err == nil && other == "" {
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
