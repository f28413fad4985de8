//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of the pages for the small sites.
const (
	heartbeat = 1500 * time.Millisecond
	// lapseAfter is the silence after which the platform removes an entry.
	lapseAfter = 3 * heartbeat
	// beatRetry is the pause after a write that the store did not confirm.
	beatRetry    = 300 * time.Millisecond
	stableWindow = 3 * time.Second
	drainBound   = 2 * time.Second
)

// run is one request that reached a server.
type run struct {
	request, server string
	// at is the time at which the request reached the server, and began the time at which the server began to work
	// on it, or zero.
	at, began time.Time
	// ended is how the run ended, endDone if well. It is empty before.
	ended string
}

// Ends of runs.
const (
	endDone        = "done"
	endLost        = "done, the answer was lost"
	endShed        = "not executed"
	endDeadline    = "deadline"
	endCrash       = "crashed the server"
	endServerEnded = "lost, the server ended"
	endCut         = "cut, the connection was closed"
)

// runs holds all runs of a script.
type runs struct {
	mu  sync.Mutex
	all []*run
	rec *record
}

func (r *runs) arrive(request, server string) *run {
	out := &run{request: request, server: server, at: time.Now()}
	r.mu.Lock()
	r.all = append(r.all, out)
	r.mu.Unlock()
	r.rec.add(out.at, "arrived %s at %s", request, server)
	return out
}

func (r *runs) begin(x *run) {
	now := time.Now()
	r.mu.Lock()
	x.began = now
	r.mu.Unlock()
	r.rec.add(now, "run %s at %s", x.request, x.server)
}

func (r *runs) end(x *run, how string) {
	r.mu.Lock()
	x.ended = how
	r.mu.Unlock()
	r.rec.add(time.Now(), "ran %s at %s: %s", x.request, x.server, how)
}

// list returns a copy of all runs.
func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, x := range r.all {
		out = append(out, *x)
	}
	return out
}

// server is a backend server. It works on capacity requests at a time, queues as many more, and writes its entry to the store.
type server struct {
	id, service, zone, address string
	capacity                   int
	store                      *store
	runs                       *runs
	// inStep makes the server write its entry for the first time one heartbeat after its start. Others have times of
	// their own.
	inStep bool
	// loses reports whether the answer to a request that ran is lost. It may be nil.
	loses func() bool
	// spread is how much longer or shorter the work of single requests is, as a share of it.
	spread float64
	// poison reports whether a body crashes the server. It may be nil.
	poison func(body string) bool
	// onCrash is called after a crash.
	onCrash func(s *server)

	mu   sync.Mutex
	work time.Duration
	// slowness is how many times as long the server works, or 0.
	slowness  int
	limit     string
	state     string
	born      int64
	sequence  int
	confirmed time.Time
	cutOff    bool
	up        bool
	http      *http.Server
	conns     map[net.Conn]bool
	slots     chan struct{}
	waiting   int
	stop      chan struct{}
}

// start opens the listener of a new incarnation and begins to write the entry.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.up, s.state, s.born, s.sequence = true, "ready", time.Now().UnixMilli(), 0
	s.conns, s.slots, s.stop, s.waiting = map[net.Conn]bool{}, make(chan struct{}, s.capacity), make(chan struct{}), 0
	h := &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.connState, IdleTimeout: 20 * time.Second}
	s.http = h
	stop := s.stop
	s.mu.Unlock()
	go func() { _ = h.Serve(l) }()
	s.beat()
	go func() {
		for first := true; ; first = false {
			pause := heartbeat
			switch {
			case first && !s.inStep:
				pause = time.Duration(rand.Float64() * float64(heartbeat))
			case !s.fresh():
				pause = beatRetry
			}
			select {
			case <-stop:
				return
			case <-time.After(pause):
				s.beat()
			}
		}
	}()
	return nil
}

// fresh reports whether the last write was confirmed not long ago.
func (s *server) fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutOff || time.Since(s.confirmed) < heartbeat+100*time.Millisecond
}

func (s *server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	default:
	}
}

// beat writes the entry, and reports whether the store has confirmed it.
func (s *server) beat() bool {
	s.mu.Lock()
	if s.cutOff || !s.up {
		s.mu.Unlock()
		return false
	}
	s.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "capacity": s.capacity,
		"state": s.state, "warmup_left_s": 0, "sequence": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	if !s.store.put("servers", s.id, value) {
		return false
	}
	s.mu.Lock()
	s.confirmed = time.Now()
	s.mu.Unlock()
	return true
}

// drain reports that the server leaves, and returns the time at which the store had confirmed that.
func (s *server) drain() (time.Time, bool) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	ok := s.beat()
	return time.Now(), ok
}

func (s *server) setLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// setSlowness makes the server work a number of times as long.
func (s *server) setSlowness(factor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowness = factor
}

// end ends the process of the server: its connections are reset.
func (s *server) end() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	close(s.stop)
	h := s.http
	var conns []net.Conn
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = h.Close()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	work, limit, draining, slots, h := s.work, s.limit, s.state != "ready", s.slots, s.http
	s.mu.Unlock()
	head := w.Header()
	if r.URL.Path == "/healthz" {
		head.Set("Bilberrymux-Instance-Id", s.id)
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Bilberrymux-Request-Id")
	head.Set("Bilberrymux-Request-Id", id)
	if limit != "" {
		head.Set("Server-Limit", limit)
	}
	if target := r.Header.Get("Bilberrymux-Target-Instance"); target != "" && target != s.id {
		head.Set("Bilberrymux-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		head.Set("Bilberrymux-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if draining {
		head.Set("Connection", "close")
	}
	ms, _ := strconv.Atoi(r.Header.Get("Bilberrymux-Deadline-Ms"))
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	x := s.runs.arrive(id, s.id)
	if !s.acquire(r, slots, deadline) {
		s.runs.end(x, endShed)
		head.Set("Bilberrymux-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-slots }()
	s.mu.Lock()
	work *= time.Duration(max(1, s.slowness))
	s.mu.Unlock()
	s.runs.begin(x)
	if s.poison != nil && s.poison(string(body)) {
		s.runs.end(x, endCrash)
		s.end()
		s.onCrash(s)
		return
	}
	select {
	case <-time.After(time.Duration((1 + s.spread*(2*rand.Float64()-1)) * float64(work))):
	case <-deadline:
		s.runs.end(x, endDeadline)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		s.mu.Lock()
		ended := h != s.http || !s.up
		s.mu.Unlock()
		if ended {
			s.runs.end(x, endServerEnded)
		} else {
			s.runs.end(x, endCut)
		}
		return
	}
	if s.loses != nil && s.loses() {
		s.runs.end(x, endLost)
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			c.Close()
		}
		return
	}
	head.Set("Bilberrymux-Response-Signature", "sig."+id)
	s.runs.end(x, endDone)
	fmt.Fprintf(w, "answer of %s to %s", s.id, id)
}

// acquire waits for a slot until the deadline, unless the queue is full.
func (s *server) acquire(r *http.Request, slots chan struct{}, deadline <-chan time.Time) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= s.capacity {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case slots <- struct{}{}:
		return true
	case <-deadline:
	case <-r.Context().Done():
	}
	return false
}
