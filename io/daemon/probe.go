package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/ident"
	"bilberrymux/core/pool"
	"bilberrymux/core/shard"
	"bilberrymux/io/backend"
	"bilberrymux/io/dispatch"
	"bilberrymux/io/loop"
)

// Parameters of the health probes of backend servers.
const (
	// healthPath is the URL path of a server's health report.
	healthPath = "/healthz"
	// probePeriod is the time between two probes of the same server.
	probePeriod = time.Second
	// probeTimeout bounds a single probe.
	probeTimeout = time.Second
)

// healthReport holds the fields of a server's health report that the daemon uses.
type healthReport struct {
	Healthy  *bool `json:"healthy"`
	Draining bool  `json:"draining"`
}

// probeLoop periodically probes the servers of the shards that this daemon owns, each server in a
// goroutine of its own.
func (d *Daemon) probeLoop(ctx context.Context) {
	for loop.Sleep(ctx, probePeriod) {
		d.shards.Each(func(_ ident.ShardID, owned bool, dispatcher *dispatch.Dispatcher) {
			if !owned {
				return
			}
			for _, s := range dispatcher.Shard.View().Servers {
				d.tasks.Go(func() { d.probeServer(ctx, dispatcher.Shard, s) })
			}
		})
	}
}

// probeServer probes one server and records the result in its shard. Nothing is recorded if the
// daemon stops during the probe.
func (d *Daemon) probeServer(ctx context.Context, sh *shard.Shard, s shard.ServerView) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(healthPath)
	req.Header.SetHost(s.Address)
	// A probe of an ejected server opens a new connection, to check whether new connections work.
	newConn := s.State == pool.Ejected
	answer, outcome, _ := d.backend.Do(ctx, s.Address, req, backend.Options{NewConn: newConn})
	if ctx.Err() == context.Canceled {
		return
	}
	sh.RecordProbe(time.Now(), s.ID, probeResult(answer, outcome))
}

// probeResult evaluates a server's answer to a health probe, or the lack of one. If the body is not
// a valid health report, the status alone decides. A reused connection that the server had already
// closed counts as healthy.
func probeResult(answer *backend.Answer, outcome shard.Outcome) shard.ProbeResult {
	if outcome == shard.StaleConnection {
		return shard.ProbeResult{Reached: true, Healthy: true}
	}
	if answer == nil {
		return shard.ProbeResult{Reached: outcome != shard.DialFailed, Healthy: false}
	}
	defer answer.Discard()
	r := shard.ProbeResult{Reached: true, Healthy: outcome == shard.Good, Draining: outcome == shard.Drain}
	var h healthReport
	if !answer.Streamed && json.Unmarshal(answer.Response.Body(), &h) == nil {
		r.Draining = r.Draining || h.Draining
		if h.Healthy != nil {
			r.Healthy = r.Healthy && *h.Healthy
		}
	}
	return r
}
