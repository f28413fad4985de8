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

// organisations is the number of callers' organisations without a flood.
const organisations = 4

// meanFactor is the mean of a log-normal variable with median 1.
func meanFactor(spread float64) float64 {
	return math.Exp(spread * spread / 2)
}

// arrivals starts the requests of one rank in one region at random times.
func (r *run) arrivals(region ident.RegionID, rank int, wg *conc.WaitGroup) {
	end := at(r.start, float64(r.script.Seconds))
	next := time.Now()
	for {
		rate := r.rate(rank, next)
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
		wg.Go(func() { r.caller(region, rank) })
	}
}

// draw decides on one request.
func (r *run) draw(region ident.RegionID, rank int) (*unit, *dispatch.Request, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var units []*unit
	for _, u := range r.units {
		if u.region == region {
			units = append(units, u)
		}
	}
	now := time.Now()
	req := &dispatch.Request{
		Service: serviceID, Rank: ident.Ranks[rank], Weight: 1,
		Organisation: r.organisation(rank, now),
		Deadline:     now.Add(r.deploy.Deadlines[rank]),
		Idempotent:   r.random.Float64() < r.script.IdempotentFraction,
		Fingerprint:  ident.Fingerprint(r.random.Uint64()), Kind: uint8(rank),
	}
	return units[r.random.IntN(len(units))], req, req.Idempotent
}

// organisation names the caller: a flood of one organisation sends most.
func (r *run) organisation(rank int, now time.Time) ident.OrganisationID {
	for _, f := range r.script.Floods {
		inside := !now.Before(at(r.start, f.From)) && now.Before(at(r.start, f.Until))
		if inside && f.Rank == ident.Ranks[rank] && f.Organisation != "" && r.random.Float64() > 1/f.Factor {
			return f.Organisation
		}
	}
	return ident.OrganisationID(fmt.Sprint("organisation-", r.random.IntN(organisations)))
}

// caller carries one request through its resends, and checks what it is told.
func (r *run) caller(region ident.RegionID, rank int) {
	u, req, _ := r.draw(region, rank)
	start := time.Now()
	for try := 0; ; try++ {
		ok, refused := r.request(u, req, rank)
		if ok || refused == nil || try >= r.script.MaxResends || refused.Outcome() != refusal.NotRun ||
			!time.Now().Before(req.Deadline) {
			r.ended(req, rank, start, ok, refused)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// request sends once and holds the answer against what servers ran.
func (r *run) request(u *unit, req *dispatch.Request, rank int) (bool, *refusal.Error) {
	runs := 0
	median := time.Duration(float64(r.deploy.WorkMedian) * r.script.WorkFactor[rank])
	req.Send = func(ctx context.Context, a *admit.Attempt) (*backend.Answer, shard.End) {
		ran := false
		answer, end := r.send(ctx, a, work{
			median: median, spread: r.deploy.WorkSpread, failPart: r.script.ErrorFraction, ran: &ran,
		})
		r.add(func(*Result) {
			if ran {
				runs++
			}
		})
		return answer, end
	}
	answer, refused := u.dispatcher.Do(context.Background(), req)
	r.add(func(x *Result) {
		x.Requests++
		if refused != nil && refused.Outcome() == refusal.NotRun && runs > 0 {
			x.FalseNotRun++
		}
		if !req.Idempotent && runs > 1 {
			x.DuplicateRuns++
		}
	})
	// An answer may be the error of a server that failed.
	return refused == nil && answer != nil && !failedAnswer(answer), refused
}

// failedAnswer reports whether an answer is a server's error. Simulated servers
// leave the status of a good answer at its default.
func failedAnswer(a *backend.Answer) bool {
	return a.Response.StatusCode() >= 500
}

func (r *run) ended(req *dispatch.Request, rank int, start time.Time, ok bool, refused *refusal.Error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	inFlood := r.inFlood(start)
	for _, st := range []*rankCounters{&r.result.ranks[rank], flooded(&r.result, rank, inFlood)} {
		if st == nil {
			continue
		}
		st.sent++
		if refused != nil {
			st.refused[refused.Kind]++
		}
		if ok && !now.After(req.Deadline) {
			st.ok++
			_ = st.latency.RecordValue(now.Sub(start).Microseconds())
		}
	}
	r.result.timeline(now.Sub(r.start), rank, ok, now.Sub(start))
}

func flooded(x *Result, rank int, in bool) *rankCounters {
	if !in {
		return nil
	}
	return &x.flood[rank]
}

// inFlood reports whether some rank floods at a time.
func (r *run) inFlood(t time.Time) bool {
	for _, f := range r.script.Floods {
		if !t.Before(at(r.start, f.From)) && t.Before(at(r.start, f.Until)) {
			return true
		}
	}
	return false
}

// poisonPeriod is the time after which a poison request is sent again.
const poisonPeriod = time.Second

// poisonFingerprint is that of the poison request.
const poisonFingerprint = 0xdead

// poisonArrivals sends a request that kills servers again and again.
func (r *run) poisonArrivals(wg *conc.WaitGroup) {
	for _, f := range r.script.Faults {
		if !f.Poison {
			continue
		}
		time.Sleep(time.Until(at(r.start, f.From)))
		for time.Now().Before(at(r.start, f.Until)) {
			wg.Go(r.poisonRequest)
			time.Sleep(poisonPeriod)
		}
	}
}

func (r *run) poisonRequest() {
	u, req, _ := r.draw(r.deploy.Regions[0], 1)
	req.Idempotent, req.Fingerprint = true, poisonFingerprint
	req.Send = func(ctx context.Context, a *admit.Attempt) (*backend.Answer, shard.End) {
		ran := false
		answer, end := r.servers[a.Server.ID].serve(ctx, &r.deploy, a, work{
			median: time.Second, poison: true, ran: &ran,
		})
		if ran {
			r.add(func(x *Result) { x.PoisonKills++ })
		}
		return answer, end
	}
	_, _ = u.dispatcher.Do(context.Background(), req)
}
