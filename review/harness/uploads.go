//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// keptClients is the number of clients that send one request after the other on a connection
// that they keep.
const keptClients = 12

// runKept sends requests on one kept connection to the daemon until the context ends. After a
// connection that ended it opens the next one.
func (c *clients) runKept(ctx context.Context, d *daemon, path string) {
	rt := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer rt.CloseIdleConnections()
	for ctx.Err() == nil {
		if a := c.do(rt, d.at(portCallers), http.MethodPost, path, strings.NewReader("booking"), 7); a.status == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// maxClosed is how often a machine in touch may close a connection without an answer.
const maxClosed = 3

// checkLost reports whether LOST was broken: more than three times, a request that a machine in
// touch had passed on to a sound server ended with a closed connection and without an answer,
// before the deadline of the client. Only requests on connections that had carried an earlier one
// count.
func (f *fleet) checkLost(c *clients) bool {
	ran := map[string]time.Time{}
	for _, s := range f.all {
		for _, r := range s.Log() {
			ran[r.ID] = r.At
		}
	}
	closed := map[string]int{}
	for _, a := range c.attempts {
		at, passedOn := ran[a.id]
		if a.status != 0 || !a.reused || !passedOn || a.ended.Sub(a.sent) > c.deadline-100*time.Millisecond || !a.daemon.inTouch(a.ended) || !a.daemon.inTouch(a.sent) {
			continue
		}
		closed[a.daemon.name]++
		if n := closed[a.daemon.name]; n <= maxClosed+1 {
			f.log("check: %s ran at a server at %.3f; %s closed its connection at %.3f without an answer: %v", a.id, f.seconds(at), a.daemon.name, f.seconds(a.ended), a.err)
		}
	}
	broken := false
	for name, n := range closed {
		f.log("check: %s closed %d connections of requests that it had passed on, without an answer", name, n)
		fmt.Printf("%s closed %d connections of requests that it had passed on, without an answer\n", name, n)
		broken = broken || n > maxClosed
	}
	return broken
}

// enforceMemory ends a daemon that exceeds memory_mb, as the platform does, until the context
// ends. The daemon is started again after a short delay. It returns how often a daemon was ended.
func (f *fleet) enforceMemory(ctx context.Context, d *daemon) int {
	ends, peak := 0, int64(0)
	for ; ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
		rss := residentBytes(d.pid())
		if rss > peak {
			peak = rss
		}
		if rss <= memoryMB<<20 {
			continue
		}
		f.log("platform: %s uses %d MiB of %d MiB and is ended", d.name, rss>>20, memoryMB)
		d.signal(syscall.SIGKILL, false)
		<-d.end()
		ends++
		time.Sleep(restartDelay)
		if err := d.start(false); err != nil {
			f.log("platform: %v", err)
			return ends
		}
	}
	f.log("platform: the most memory of %s was %d MiB", d.name, peak>>20)
	return ends
}

// residentBytes returns the resident memory of a process, or 0.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// startSmall starts servers for two routes, and the given number of daemons in the zone of the clients.
func (f *fleet) startSmall(daemons int, work time.Duration) error {
	f.configure([]route{
		{Name: "r-book", Host: "book.example", Prefix: "/book/", Kind: "unsafe", Timeout: 2.5, Target: 1, Service: "bookings", Attempts: 2},
		{Name: "r-deck", Host: "deck.example", Prefix: "/deck/", Kind: "upload", Timeout: 2.5, Target: 2, Priority: 2, Service: "archive", Attempts: 2},
	})
	for n := range 6 {
		if err := f.addServer(fmt.Sprintf("i-book-%d", n), "bookings", work); err != nil {
			return err
		}
	}
	for n := range 4 {
		if err := f.addServer(fmt.Sprintf("i-deck-%d", n), "archive", 280*time.Millisecond); err != nil {
			return err
		}
	}
	f.seeds = f.controlAddresses(min(daemons, 3))
	for n := range daemons {
		if _, err := f.addDaemon(f.zone, n+1); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// Parameters of the case "uploads".
const (
	uploadMB     = 60
	uploadsAlone = 6
	// uploadRate is the rate of one upload in bytes per second. Two at a time stay below the daemon's
	// link of 1,000 Mbit/s, so that no packets wait there.
	uploadRate = 50_000_000
	// uploadChunk is the most that is sent at once, in bytes.
	uploadChunk = 64 << 10
)

// pacedReader reads at no more than uploadRate.
type pacedReader struct {
	source io.Reader
	begin  time.Time
	read   int64
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	due := r.begin.Add(time.Duration(r.read) * time.Second / uploadRate)
	time.Sleep(time.Until(due))
	n, err := r.source.Read(p[:min(len(p), uploadChunk)])
	r.read += int64(n)
	return n, err
}

// uploadsCase sends uploads of a size below max_body_bytes, without the disruption one after the
// other, with it two at a time.
func uploadsCase(f *fleet, trouble bool) (bool, error) {
	if err := f.startSmall(1, time.Second); err != nil {
		return false, err
	}
	d := f.daemons[0]
	books, decks := newClients(f, "book.example", 2500*time.Millisecond), newClients(f, "deck.example", 2500*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var load sync.WaitGroup
	ends := 0
	load.Go(func() { ends = f.enforceMemory(ctx, d) })
	for range keptClients {
		load.Go(func() { books.runKept(ctx, d, "/book/room") })
	}
	time.Sleep(3 * time.Second)
	text := strings.Repeat("0123456789abcdef", uploadMB<<20/16)
	upload := func() {
		decks.do(freshTransport(), d.at(portCallers), http.MethodPost, "/deck/lecture", &pacedReader{source: strings.NewReader(text), begin: time.Now()}, int64(len(text)))
	}
	for range uploadsAlone {
		var wg sync.WaitGroup
		wg.Go(upload)
		if trouble {
			wg.Go(upload)
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
	}
	cancel()
	load.Wait()
	fmt.Printf("ended for its memory: %d times\n", ends)
	return f.checkLost(books), nil
}
