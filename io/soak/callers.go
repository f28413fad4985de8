package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"bilberrymux/platform"
)

// The pace of callers.
const (
	// callerPause is the mean pause between two requests of one caller.
	callerPause = 25 * time.Millisecond
	// askAgain is how long a caller keeps a locate answer.
	askAgain = 2 * time.Second
	// askTimeout bounds one locate call.
	askTimeout = time.Second
	// callerDeadline is the time that a caller gives a request.
	callerDeadline = 3 * time.Second
)

// stubbornPart is the number of callers of which one is stubborn.
const stubbornPart = 3

// caller sends requests one after the other on connections that it keeps.
type caller struct {
	world     *world
	name      string
	random    *rand.Rand
	client    *http.Client
	addresses []string
	asked     time.Time
	// stubborn callers keep an address until they can't connect there.
	stubborn bool
	sends    []Request
}

func newCaller(w *world, n int, seed uint64) *caller {
	return &caller{
		world: w, name: fmt.Sprintf("c%d", n), stubborn: n%stubbornPart == 0, random: rand.New(rand.NewPCG(seed, uint64(n))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
}

// run sends until the context ends.
func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(c.asked) > askAgain {
			c.ask()
		}
		if len(c.addresses) > 0 {
			c.sends = append(c.sends, c.send(fmt.Sprintf("%s-%d", c.name, n)))
		}
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(callerPause)))
	}
	c.client.CloseIdleConnections()
}

// ask learns addresses from up to three daemons; an old answer is kept for want
// of a new one.
func (c *caller) ask() {
	for range 3 {
		p := c.world.daemons[c.random.IntN(len(c.world.daemons))]
		client := http.Client{Timeout: askTimeout}
		resp, err := client.Get("http://" + p.settings.LocateAddress + platform.PathLocate + "?name=" + hosts[0])
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&body)
		resp.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			c.learn(body.Addresses)
			return
		}
	}
}

// learn takes over a locate answer.
func (c *caller) learn(addresses []string) {
	c.asked = time.Now()
	if !c.stubborn {
		c.addresses = addresses
		return
	}
	for _, a := range addresses {
		if !slices.Contains(c.addresses, a) {
			c.addresses = append(c.addresses, a)
		}
	}
}

// send makes one request and notes its end.
func (c *caller) send(id string) Request {
	address := c.addresses[c.random.IntN(len(c.addresses))]
	p := c.world.byAddress[address]
	kind := c.random.IntN(len(hosts))
	s := Request{ID: id, Daemon: p.name, NonIdempotent: kind == 1, Begun: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	method, body := http.MethodGet, ""
	if s.NonIdempotent {
		method, body = http.MethodPost, "order "+id
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/x/"+id, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = hosts[kind]
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(callerDeadline.Milliseconds()))
	resp, err := c.client.Do(req)
	if err == nil {
		s.read(resp)
	} else {
		s.Error = err.Error()
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			s.NoResponseExpected = true
			c.addresses = slices.DeleteFunc(c.addresses, func(a string) bool { return a == address })
		}
	}
	s.Ended = time.Now()
	s.StopRequestedAt = p.stopOf(s.Begun, s.Ended)
	s.NoResponseExpected = s.NoResponseExpected || ctx.Err() != nil
	return s
}

// read takes in an answer.
func (s *Request) read(resp *http.Response) {
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		s.Error = err.Error()
		return
	}
	s.Status = resp.StatusCode
	s.Complete = strings.HasPrefix(string(text), "answer of ") && strings.HasSuffix(string(text), " to "+s.ID)
	s.IDMatches = resp.Header.Get(platform.HeaderRequestID) == s.ID
	s.Signed = resp.Header.Get(platform.HeaderSignature) == "s."+s.ID
}
