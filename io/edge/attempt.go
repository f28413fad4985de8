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

// attempt sends the request to one server and records what that says about it.
func (e *Edge) attempt(ctx context.Context, k *call, a *belief.Attempt) ended {
	req := &fasthttp.Request{}
	k.request.CopyTo(req)
	req.UseHostHeader = true
	left := time.Until(k.deadline)
	platform.Address(&req.Header, a.Server.ID, left)
	start := time.Now()
	answer, end, err := e.backend.Do(ctx, a.Server.Address, req, backend.Options{
		AvoidStale:   !k.route.Idempotent,
		IsMismatched: func(h *fasthttp.ResponseHeader) bool { return platform.Judge(h, k.id) == platform.Foreign },
	})
	took := time.Since(start)
	outcome := outcomeOf(answer, end, k.id)
	e.book.End(time.Now(), a, outcome, took)
	e.noted(k, a, outcome, took, err)
	if outcome == belief.Broken {
		e.tasks.Go(func() { e.checkCrash(k, a) })
	}
	if outcome != belief.Good && outcome != belief.Failed {
		answer = nil
	}
	return ended{a, outcome, answer, err}
}

// noted logs the end of an attempt that did not bring a good answer.
func (e *Edge) noted(k *call, a *belief.Attempt, o belief.Outcome, took time.Duration, err error) {
	e.countBy("attempts", "outcome", string(o))
	if o == belief.Good {
		return
	}
	fields := logrus.Fields{
		"request": k.id, "route": k.route.Name, "service": k.service, "server": a.Server.ID, "outcome": o,
		"risk": a.Risk, "evidenceAgeMillis": a.Age.Milliseconds(), "floor": a.Floor, "tookMillis": took.Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	e.log.WithFields(fields).Warn(event.AttemptFailed)
}

// outcomeOf reads the end of an exchange as evidence.
func outcomeOf(answer *backend.Answer, end shard.End, requestID string) belief.Outcome {
	if answer == nil {
		switch end {
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
	switch platform.Judge(&answer.Response.Header, requestID) {
	case platform.Misdirected:
		return belief.Misdirected
	case platform.Refused:
		return belief.Shed
	case platform.Unsigned, platform.Foreign:
		return belief.Broken
	}
	if answer.Response.StatusCode() >= fasthttp.StatusInternalServerError {
		return belief.Failed
	}
	return belief.Good
}

// fingerprintOf hashes what makes two requests the same work.
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
