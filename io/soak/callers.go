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

// The timing of the simulated callers.
const (
	// meanCallerPause is the mean of the exponentially distributed pause between two requests of
	// a caller.
	meanCallerPause = 25 * time.Millisecond
	// locateTTL is how long a caller uses a locate response before it asks for a new one.
	locateTTL = 2 * time.Second
	// locateTimeout is the timeout of one locate request.
	locateTimeout = time.Second
	// callerDeadline is the deadline of a request, sent in its deadline header and also
	// enforced by the caller.
	callerDeadline = 3 * time.Second
	// maxConnectAhead is the maximum time from the opening of a connection to its first request, for
	// callers that connect ahead.
	maxConnectAhead = 4 * time.Second
)

// keepsAddressesEvery makes every third caller keep daemon addresses that are no longer in the
// locate response.
const keepsAddressesEvery = 3

// usesIDsAgainEvery is the number of callers of which one uses the ids of refused requests again.
const usesIDsAgainEvery = 4

// maxResends is the maximum number of times that a request is sent again under its id, and maxResendPause the
// maximum pause before.
const (
	maxResends     = 2
	maxResendPause = 20 * time.Millisecond
)

// caller sends requests one at a time over keep-alive connections and records their outcomes.
type caller struct {
	testbed   *testbed
	name      string
	random    *rand.Rand
	client    *http.Client
	addresses []string
	locatedAt time.Time
	// keepsAddresses means that an address is removed only when a connection to it fails, and
	// not when it is missing from the locate response.
	keepsAddresses bool
	// connectsAhead means that each request goes to any daemon, also to those that the locate response
	// does not name, on a connection of its own, which is opened up to maxConnectAhead before the request
	// is sent.
	connectsAhead bool
	// usesIDsAgain means that a request that was refused is sent again under its id.
	usesIDsAgain bool
	requests     []Request
}

func newCaller(tb *testbed, n int, seed uint64) *caller {
	return &caller{
		testbed: tb, name: fmt.Sprintf("c%d", n), keepsAddresses: n%keepsAddressesEvery == 0, usesIDsAgain: n%usesIDsAgainEvery == 1, random: rand.New(rand.NewPCG(seed, uint64(n))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(c.locatedAt) > locateTTL {
			c.locate()
		}
		if len(c.addresses) > 0 {
			c.requests = append(c.requests, c.sendNext(fmt.Sprintf("%s-%d", c.name, n)))
		}
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(meanCallerPause)))
	}
	c.client.CloseIdleConnections()
}

// sendNext sends a request to a random one of the caller's addresses. A caller that connects ahead sends
// it to any daemon, on a connection of its own that is opened ahead of the request.
func (c *caller) sendNext(id string) Request {
	if !c.connectsAhead {
		return c.send(c.client, c.addresses[c.random.IntN(len(c.addresses))], id)
	}
	address := c.testbed.daemons[c.random.IntN(len(c.testbed.daemons))].settings.CallerAddress
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return Request{ID: id, Daemon: c.testbed.daemonsByAddress[address].name, Begun: time.Now(), Ended: time.Now(), Error: err.Error(), NoResponseExpected: true}
	}
	defer conn.Close()
	time.Sleep(time.Duration(c.random.Float64() * float64(maxConnectAhead)))
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
	return c.send(&http.Client{Transport: transport}, address, id)
}

// dropAddress removes an address to which no connection could be opened.
func (c *caller) dropAddress(address string) {
	c.addresses = slices.DeleteFunc(c.addresses, func(a string) bool { return a == address })
}

// locate asks up to three randomly chosen daemons for the addresses of daemons. If none of them
// answers, the caller keeps its current addresses.
func (c *caller) locate() {
	for range 3 {
		p := c.testbed.daemons[c.random.IntN(len(c.testbed.daemons))]
		client := http.Client{Timeout: locateTimeout}
		resp, err := client.Get("http://" + p.settings.LocateAddress + platform.PathLocate + "?name=" + hostOf(services[0], 0))
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&body)
		resp.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			c.applyAddresses(body.Addresses)
			return
		}
	}
}

// applyAddresses replaces the caller's addresses by those of a locate response, or adds the new
// ones if the caller keeps addresses.
func (c *caller) applyAddresses(addresses []string) {
	c.locatedAt = time.Now()
	if !c.keepsAddresses {
		c.addresses = addresses
		return
	}
	for _, a := range addresses {
		if !slices.Contains(c.addresses, a) {
			c.addresses = append(c.addresses, a)
		}
	}
}

// send sends a request to the daemon at an address, once more if it was refused and the caller uses ids again, and
// returns the request with its last outcome.
func (c *caller) send(client *http.Client, address, id string) Request {
	kind, host := c.random.IntN(len(services)), c.random.IntN(hostsPerService)
	r := c.sendOnce(client, address, id, kind, host)
	for range maxResends {
		if !c.usesIDsAgain || !r.refusedAsNotRun() {
			break
		}
		time.Sleep(time.Duration(c.random.Float64() * float64(maxResendPause)))
		again := c.sendOnce(client, address, id, kind, host)
		again.Resends = append(r.Resends, again.Begun)
		again.Begun = r.Begun
		r = again
	}
	return r
}

// refusedAsNotRun reports whether a request that must not run more than once was refused with the promise that it did
// not run.
func (r *Request) refusedAsNotRun() bool {
	return r.NonIdempotent && (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests)
}

// sendOnce sends one request to a host of the service with the given index.
func (c *caller) sendOnce(client *http.Client, address, id string, kind, host int) Request {
	p := c.testbed.daemonsByAddress[address]
	r := Request{ID: id, Daemon: p.name, Service: services[kind], NonIdempotent: kind == 1, Begun: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	method, body := http.MethodGet, ""
	if r.NonIdempotent {
		method, body = http.MethodPost, "order "+id
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/x/"+id, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = hostOf(services[kind], host)
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(callerDeadline.Milliseconds()))
	resp, err := client.Do(req)
	if err == nil {
		r.readResponse(resp)
	} else {
		r.Error = err.Error()
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			r.NoResponseExpected = true
			c.dropAddress(address)
		}
	}
	r.Ended = time.Now()
	r.StopRequestedAt = p.stopRequestDuring(r.Begun, r.Ended)
	r.NoResponseExpected = r.NoResponseExpected || ctx.Err() != nil
	return r
}

// readResponse reads the response and records its status and whether its body, request ID and
// signature belong to the request.
func (r *Request) readResponse(resp *http.Response) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Error = err.Error()
		return
	}
	r.Status = resp.StatusCode
	r.Complete = strings.HasPrefix(string(body), "answer of ") && strings.HasSuffix(string(body), " to "+r.ID)
	r.IDMatches = resp.Header.Get(platform.HeaderRequestID) == r.ID
	r.Signed = resp.Header.Get(platform.HeaderSignature) == "s."+r.ID
}
