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

// The probing of servers.
const (
	// healthPath is where servers report their health.
	healthPath = "/healthz"
	// healthPeriod is the time between two probes of one server.
	healthPeriod = time.Second
	// healthTimeout bounds one probe.
	healthTimeout = time.Second
)

// health is the part of a server's report that the daemon reads.
type health struct {
	Healthy  *bool `json:"healthy"`
	Draining bool  `json:"draining"`
}

// probeLoop asks the servers of owned shards for their health.
func (d *Daemon) probeLoop(ctx context.Context) {
	for loop.Sleep(ctx, healthPeriod) {
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

// probeServer asks one server and tells the shard.
func (d *Daemon) probeServer(ctx context.Context, sh *shard.Shard, s shard.ServerView) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(healthPath)
	req.Header.SetHost(s.Address)
	// A probe of a server that is out shows whether new connections work.
	fresh := s.State == pool.Ejected
	answer, end, _ := d.backend.Do(ctx, s.Address, req, backend.Options{NewConn: fresh})
	if ctx.Err() == context.Canceled {
		return
	}
	sh.RecordProbe(time.Now(), s.ID, reportOf(answer, end))
}

// reportOf reads a health report. A report that can't be read counts as
// healthy when the status does.
func reportOf(answer *backend.Answer, end shard.End) shard.ProbeResult {
	if end == shard.StaleConnection {
		return shard.ProbeResult{Reached: true, Healthy: true}
	}
	if answer == nil {
		return shard.ProbeResult{Reached: end != shard.DialFailed, Healthy: false}
	}
	defer answer.Discard()
	r := shard.ProbeResult{Reached: true, Healthy: end == shard.Good, Draining: end == shard.Drain}
	var h health
	if !answer.Streamed && json.Unmarshal(answer.Response.Body(), &h) == nil {
		r.Draining = r.Draining || h.Draining
		if h.Healthy != nil {
			r.Healthy = r.Healthy && *h.Healthy
		}
	}
	return r
}
