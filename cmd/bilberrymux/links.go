package main

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/io/loop"
	"bilberrymux/io/netseam"
	"bilberrymux/io/standin/platformserver"
)

// linkPeriod is how often the link rules of a test are read.
const linkPeriod = 500 * time.Millisecond

// followLinks keeps rules in line with those of a stand-in platform, and
// returns the names of processes by address that it knows. It is for tests.
func followLinks(ctx context.Context, address string, rules *netseam.Rules) func(string) string {
	var names atomic.Pointer[map[string]string]
	names.Store(&map[string]string{})
	read := func() {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+address+platformserver.PathLinks, linkPeriod)
		if err != nil || status != fasthttp.StatusOK {
			return
		}
		var links platformserver.Links
		if json.Unmarshal(body, &links) == nil {
			rules.Set(links.Rules)
			names.Store(&links.Names)
		}
	}
	read()
	go loop.Every(ctx, linkPeriod, func(time.Time) { read() })
	return func(address string) string {
		if name, ok := (*names.Load())[address]; ok {
			return name
		}
		return address
	}
}
