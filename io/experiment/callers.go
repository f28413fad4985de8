package experiment

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/sourcegraph/conc"

	"bilberrymux/core/admit"
	"bilberrymux/core/ident"
	"bilberrymux/core/refusal"
	"bilberrymux/core/shard"
	"bilberrymux/io/backend"
	"bilberrymux/io/dispatch"
)

// organisationCount is the number of organisations that callers outside floods belong to.
const organisationCount = 4

// logNormalMean returns the mean of a log-normal variable with median 1, where spread is the
// standard deviation of its logarithm.
func logNormalMean(spread float64) float64 {
	return math.Exp(spread * spread / 2)
}

// generateArrivals starts the requests of one rank in one region as a Poisson process whose rate
// follows the script. It returns at the end of the script; wg waits for the requests.
func (r *run) generateArrivals(region ident.RegionID, rank int, wg *conc.WaitGroup) {
	end := at(r.start, float64(r.script.Seconds))
	next := time.Now()
	for {
		rate := r.arrivalRate(rank, next)
		if rate <= 0 {
			return
		}
		r.mu.Lock()
		next = next.Add(time.Duration(r.random.ExpFloat64() / rate * float64(time.Second)))
		r.mu.Unlock()
		if !next.Before(end) {
			return
		}
		time.Sleep(time.Until(next))
		wg.Go(func() { r.sendWithResends(region, rank) })
	}
}

// newRequest returns a random request, the daemon of the region that receives it, and whether
// the request is idempotent.
func (r *run) newRequest(region ident.RegionID, rank int) (*simDaemon, *dispatch.Request, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []*simDaemon
	for _, daemon := range r.daemons {
		if daemon.region == region {
			candidates = append(candidates, daemon)
		}
	}
	now := time.Now()
	req := &dispatch.Request{
		Service: serviceID, Rank: ident.Ranks[rank], Weight: 1,
		Organisation: r.pickOrganisation(rank, now),
		Deadline:     now.Add(r.deployment.Deadlines[rank]),
		Idempotent:   r.random.Float64() < r.script.IdempotentFraction,
		Fingerprint:  ident.Fingerprint(r.random.Uint64()), LatencyClass: uint8(rank),
	}
	return candidates[r.random.IntN(len(candidates))], req, req.Idempotent
}

// pickOrganisation returns a random organisation for a request. In a flood that is confined to
// one organisation, the additional requests of the flood's rank belong to that organisation. The
// caller must hold r.mu.
func (r *run) pickOrganisation(rank int, now time.Time) ident.OrganisationID {
	for _, f := range r.script.Floods {
		inside := !now.Before(at(r.start, f.From)) && now.Before(at(r.start, f.Until))
		if inside && f.Rank == ident.Ranks[rank] && f.Organisation != "" && r.random.Float64() > 1/f.Factor {
			return f.Organisation
		}
	}
	return ident.OrganisationID(fmt.Sprint("organisation-", r.random.IntN(organisationCount)))
}

// sendWithResends sends one request, resends it while it is refused as not run, up to the
// script's limit and the request's deadline, and records the outcome.
func (r *run) sendWithResends(region ident.RegionID, rank int) {
	daemon, req, _ := r.newRequest(region, rank)
	start := time.Now()
	for resends := 0; ; resends++ {
		ok, refused := r.sendOnce(daemon, req, rank)
		if ok || refused == nil || resends >= r.script.MaxResends || refused.Outcome() != refusal.NotRun ||
			!time.Now().Before(req.Deadline) {
			r.recordOutcome(req, rank, start, ok, refused)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// sendOnce dispatches a request once, compares the outcome with the number of runs that the
// simulated servers counted, and records false "not run" outcomes and duplicate runs. It reports
// whether the answer is a success.
func (r *run) sendOnce(daemon *simDaemon, req *dispatch.Request, rank int) (bool, *refusal.Error) {
	runs := 0 // guarded by r.mu
	median := time.Duration(float64(r.deployment.WorkMedian) * r.script.WorkFactor[rank])
	req.Send = func(ctx context.Context, a *admit.Attempt) (*backend.Answer, shard.Outcome) {
		ran := false
		answer, outcome := r.send(ctx, a, simRequest{
			median: median, spread: r.deployment.WorkSpread, failFraction: r.script.ErrorFraction, ran: &ran,
		})
		r.updateResult(func(*Result) {
			if ran {
				runs++
			}
		})
		return answer, outcome
	}
	answer, refused := daemon.dispatcher.Do(context.Background(), req)
	r.updateResult(func(x *Result) {
		x.Requests++
		if refused != nil && refused.Outcome() == refusal.NotRun && runs > 0 {
			x.FalseNotRun++
		}
		if !req.Idempotent && runs > 1 {
			x.DuplicateRuns++
		}
	})
	// A server that fails answers with an error status, which is not a success.
	return refused == nil && answer != nil && !isServerError(answer), refused
}

// isServerError reports whether an answer has a 5xx status. Simulated servers leave the status of
// a successful answer at its default, 200.
func isServerError(a *backend.Answer) bool {
	return a.Response.StatusCode() >= 500
}

// recordOutcome adds the final outcome of a request to the counters of its rank, of floods, and to
// the timeline.
func (r *run) recordOutcome(req *dispatch.Request, rank int, start time.Time, ok bool, refused *refusal.Error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	inFlood := r.inFlood(start)
	for _, c := range []*rankCounters{&r.result.ranks[rank], floodCounters(&r.result, rank, inFlood)} {
		if c == nil {
			continue
		}
		c.sent++
		if refused != nil {
			c.refused[refused.Kind]++
		}
		if ok && !now.After(req.Deadline) {
			c.ok++
			_ = c.latency.RecordValue(now.Sub(start).Microseconds())
		}
	}
	r.result.addToTimeline(now.Sub(r.start), rank, ok, now.Sub(start))
}

// floodCounters returns the flood counters of a rank, or nil outside floods.
func floodCounters(x *Result, rank int, inFlood bool) *rankCounters {
	if !inFlood {
		return nil
	}
	return &x.flood[rank]
}

// inFlood reports whether a flood of any rank is active at time t.
func (r *run) inFlood(t time.Time) bool {
	for _, f := range r.script.Floods {
		if !t.Before(at(r.start, f.From)) && t.Before(at(r.start, f.Until)) {
			return true
		}
	}
	return false
}

// poisonPeriod is the interval between poison requests.
const poisonPeriod = time.Second

// poisonFingerprint is the fingerprint of every poison request.
const poisonFingerprint = 0xdead

// generatePoisonArrivals sends a poison request, which crashes the server that runs it, every
// poisonPeriod while a poison fault is active.
func (r *run) generatePoisonArrivals(wg *conc.WaitGroup) {
	for _, f := range r.script.Faults {
		if !f.Poison {
			continue
		}
		time.Sleep(time.Until(at(r.start, f.From)))
		for time.Now().Before(at(r.start, f.Until)) {
			wg.Go(r.sendPoisonRequest)
			time.Sleep(poisonPeriod)
		}
	}
}

// sendPoisonRequest dispatches one poison request and counts the servers that it crashes.
func (r *run) sendPoisonRequest() {
	daemon, req, _ := r.newRequest(r.deployment.Regions[0], 1)
	req.Idempotent, req.Fingerprint = true, poisonFingerprint
	req.Send = func(ctx context.Context, a *admit.Attempt) (*backend.Answer, shard.Outcome) {
		ran := false
		answer, outcome := r.servers[a.Server.ID].serve(ctx, &r.deployment, a, simRequest{
			median: time.Second, poison: true, ran: &ran,
		})
		if ran {
			r.updateResult(func(x *Result) { x.PoisonKills++ })
		}
		return answer, outcome
	}
	_, _ = daemon.dispatcher.Do(context.Background(), req)
}
