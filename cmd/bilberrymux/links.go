package main

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/io/httpread"
	"bilberrymux/io/netfault"
	"bilberrymux/io/periodic"
	"bilberrymux/io/standin/platformserver"
)

// linkPollInterval is the interval at which the link rules of a test are fetched, and the timeout of
// each fetch.
const linkPollInterval = 500 * time.Millisecond

// pollLinkRules is for tests. It fetches the network fault rules from the stand-in platform at the
// given address once before it returns, and then every linkPollInterval until ctx ends, and stores
// them in rules. A failed fetch leaves the previous rules in force. The returned function maps the
// address of a process to its name on that platform, or returns the address if it has no name; it may
// be called concurrently.
func pollLinkRules(ctx context.Context, address string, rules *netfault.Rules) func(string) string {
	var names atomic.Pointer[map[string]string]
	names.Store(&map[string]string{})
	client := fasthttp.Client{ConfigureClient: httpread.Configure}
	fetch := func() {
		status, body, err := client.GetTimeout(nil, "http://"+address+platformserver.PathLinks, linkPollInterval)
		if err != nil || status != fasthttp.StatusOK {
			return
		}
		var links platformserver.Links
		if json.Unmarshal(body, &links) == nil {
			rules.Set(links.Rules)
			names.Store(&links.Names)
		}
	}
	fetch()
	go periodic.Every(ctx, linkPollInterval, func(time.Time) { fetch() })
	return func(address string) string {
		if name, ok := (*names.Load())[address]; ok {
			return name
		}
		return address
	}
}
