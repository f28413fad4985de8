package edge

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"bilberrymux/core/belief"
	"bilberrymux/core/event"
	"bilberrymux/core/ident"
	"bilberrymux/core/shard"
	"bilberrymux/io/backend"
	"bilberrymux/platform"
)

// attempt sends the request to one server and records the outcome as evidence about the server.
func (e *Edge) attempt(ctx context.Context, k *call, a *belief.Attempt) attemptResult {
	req := k.attemptRequest(a.Server.ID)
	start := time.Now()
	overdue := time.AfterFunc(e.tracker.OverdueAfter(a), func() {
		e.tracker.Overdue(time.Now(), a)
		e.triggerGossip()
	})
	defer overdue.Stop()
	answer, outcome, use, err := e.exchange(ctx, a.Server.Address, req, k.id, !k.route.Idempotent)
	took := time.Since(start)
	if answer != nil {
		e.learnStatements(&a.Server, answer, outcome, start)
	}
	e.recordEnd(k, a, answer, outcome, took)
	result := attemptResult{a, outcome, answer, use, err}
	e.recordAttempt(k, result, took)
	if outcome == belief.Broken {
		e.tasks.Go(func() { e.checkCrash(k, a) })
	}
	if answer != nil && !mayBePassedOn(answer, k.id) {
		answer.Discard()
		result.answer = nil
	}
	return result
}

// attemptRequest returns the request of one attempt. All attempts share the body.
func (k *call) attemptRequest(server ident.ServerID) *fasthttp.Request {
	req := &fasthttp.Request{UseHostHeader: true}
	k.request.Header.CopyTo(&req.Header)
	req.SetBodyRaw(k.request.Body())
	platform.SetTargetHeaders(&req.Header, server, time.Until(k.deadline))
	return req
}

// exchange sends a request with the given id to a server. It returns the answer, if any, the outcome, and the use of
// the connection, which is the zero value if there was none.
func (e *Edge) exchange(ctx context.Context, address string, req *fasthttp.Request, id string, avoidStale bool) (*backend.Answer, belief.Outcome, backend.Use, error) {
	var use backend.Use
	answer, outcome, err := e.backend.Do(ctx, address, req, backend.Options{
		AvoidStale: avoidStale, Identity: &backend.Identity{ID: id, Of: platform.RequestIDs},
		OnConnect: func(u backend.Use) { use = u },
	})
	return answer, outcomeOf(answer, outcome, id), use, err
}

// mayBePassedOn reports whether the caller of the request with the given id may get the answer. One that promises
// that the request did not run, or contradicts itself, is not passed on: the server may have run the request, or
// another one may yet.
func mayBePassedOn(answer *backend.Answer, requestID string) bool {
	return platform.ClassifyResponse(&answer.Response.Header, answer.Head, requestID) == platform.Answered
}

// recordEnd records the outcome of an attempt as evidence about the server and the request. That of a streamed answer
// is known when its body ends.
func (e *Edge) recordEnd(k *call, a *belief.Attempt, answer *backend.Answer, o belief.Outcome, took time.Duration) {
	record := func(o belief.Outcome) {
		e.tracker.End(time.Now(), a, o, took)
		if o == belief.Good {
			e.recordCompletion(k.service, k.fingerprint)
		}
	}
	if answer == nil || !answer.Streamed {
		record(o)
		return
	}
	answer.OnEnd(func(end shard.Outcome) {
		if end == shard.Broken {
			o = belief.Broken
		}
		record(o)
	})
}

// recordAttempt counts the outcome of an attempt, and logs the attempt unless the outcome is
// Good.
func (e *Edge) recordAttempt(k *call, result attemptResult, took time.Duration) {
	a := result.attempt
	e.countBy("attempts", "outcome", string(result.outcome))
	if result.use.Avoided {
		e.count("connections.avoided")
	}
	if result.outcome == belief.Good {
		return
	}
	fields := logrus.Fields{
		"request": k.id, "route": k.route.Name, "service": k.service, "server": a.Server.ID, "outcome": result.outcome,
		"risk": a.Risk, "evidenceAgeMillis": a.EvidenceAge.Milliseconds(), "floor": a.Reason != belief.LeastCost, "tookMillis": took.Milliseconds(),
		"address": a.Server.Address, "startMillis": a.Server.StartMillis, "connection": result.use,
	}
	if result.err != nil {
		fields["error"] = result.err.Error()
	}
	if result.answer != nil {
		fields["response"] = platform.SummarizeResponse(&result.answer.Response.Header, result.answer.Trailers)
	}
	e.log.WithFields(fields).Warn(event.AttemptFailed)
}

// outcomeOf maps the outcome of an exchange to the outcome that is recorded as evidence about
// the server. The answer is nil if no complete response arrived.
func outcomeOf(answer *backend.Answer, exchangeOutcome shard.Outcome, requestID string) belief.Outcome {
	if answer == nil {
		switch exchangeOutcome {
		case shard.DialFailed:
			return belief.Unreachable
		case shard.Cancelled:
			return belief.Neutral
		case shard.NoAnswer, shard.SilentConnection:
			return belief.Silent
		default:
			return belief.Broken
		}
	}
	switch platform.ClassifyResponse(&answer.Response.Header, answer.Head, requestID) {
	case platform.Misdirected:
		return belief.Misdirected
	case platform.NotExecuted:
		return belief.Shed
	case platform.Unsigned, platform.WrongRequest:
		return belief.Broken
	case platform.UnmarkedRefusal, platform.Contradictory:
		return belief.Failed
	}
	if answer.Response.StatusCode() >= fasthttp.StatusInternalServerError {
		return belief.Failed
	}
	return belief.Good
}

// fingerprintOf hashes the method, host, URI and body of a request. Requests with the same
// fingerprint are treated as equal when crashes of servers are traced to requests.
func fingerprintOf(req *fasthttp.Request) ident.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(req.Header.Method())
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(req.Header.Host())
	_, _ = d.Write(req.Header.RequestURI())
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(req.Body())
	return ident.Fingerprint(d.Sum64())
}
