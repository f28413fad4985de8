package router

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"bilberrymux/core/admit"
	"bilberrymux/core/bytebudget"
	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/link"
	"bilberrymux/core/member"
	coreonce "bilberrymux/core/once"
	"bilberrymux/core/refusal"
	"bilberrymux/core/shard"
	"bilberrymux/core/shutdown"
	"bilberrymux/io/backend"
	"bilberrymux/io/dispatch"
	"bilberrymux/io/once"
	"bilberrymux/io/peer"
)

// maxHops is the largest number of times that one request is forwarded between daemons.
const maxHops = 3

// maxOwnersTried is the number of possible owners of a shard that are tried before this daemon runs the
// call itself.
const maxOwnersTried = 2

// Options are the dependencies of a Router.
type Options struct {
	Members *member.Table
	Config  func() *config.Config
	Shards  *Shards
	Once    *once.Runner
	Client  *peer.Client
	Backend *backend.Client
	// Link is the byte budget of the link to other regions.
	Link *link.Budget
	// Count adds n to the counter of the given name.
	Count func(name string, n int64)
}

// Router runs calls on this daemon or forwards them to another one. It is safe for concurrent use.
type Router struct {
	options          Options
	forwardsInFlight atomic.Int64
	// answerBuffers bounds the bodies of large answers to requests with keys while they are read.
	answerBuffers *bytebudget.Budget
	// gate rejects the calls of other daemons that may outlast a planned stop.
	gate shutdown.Gate
}

// answerBufferBytes is the number of bytes that the bodies of large answers to requests with keys may hold together.
const answerBufferBytes = 4 * maxStoredAnswerBytes

// New returns a router with the given dependencies.
func New(o Options) *Router {
	return &Router{options: o, answerBuffers: bytebudget.New(answerBufferBytes)}
}

// Drain makes the router refuse the calls of other daemons that the plan doesn't accept.
func (r *Router) Drain(p *shutdown.Plan) {
	r.gate.Begin(p)
}

// ForwardsInFlight returns the number of requests that this daemon is running for other daemons.
func (r *Router) ForwardsInFlight() int64 {
	return r.forwardsInFlight.Load()
}

// Do runs a call that this daemon received from a caller. A call runs at most once if it has an
// idempotency key and is not idempotent by its route.
func (r *Router) Do(ctx context.Context, c *Call) Reply {
	if c.Key != nil && !c.Idempotent {
		return r.runAtMostOnce(ctx, c, false)
	}
	return r.run(ctx, c)
}

// runAtMostOnce runs a call with an idempotency key, or returns the stored outcome of an earlier run.
// The parameter forwarded reports whether the call came from another daemon.
func (r *Router) runAtMostOnce(ctx context.Context, c *Call, forwarded bool) Reply {
	var owner string
	ran := false
	outcome := r.options.Once.Do(ctx, &once.Request{
		Key: *c.Key, Fingerprint: c.Fingerprint, Forwarded: forwarded,
		Run: func(context.Context) coreonce.Outcome {
			ran = true
			// The run continues after the caller has disconnected, since its answer is stored for a
			// resend.
			ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
			defer cancel()
			reply := r.run(ctx, c)
			owner = reply.Owner
			return r.toOutcome(reply)
		},
		Forward: func(ctx context.Context, decider ident.Incarnation) (coreonce.Outcome, bool) {
			return r.askDecider(ctx, c, decider)
		},
	})
	if outcome.Refused != nil {
		return Reply{Refused: outcome.Refused}
	}
	answer, err := decodeAnswer(outcome.Answer)
	if err != nil {
		return Reply{Refused: &refusal.Error{Kind: refusal.Internal, Detail: err.Error(), MayHaveRun: true}}
	}
	return Reply{Answer: answer, Owner: owner, Replayed: !ran}
}

// toOutcome encodes a reply as the outcome that is stored for resends of its key.
func (r *Router) toOutcome(reply Reply) coreonce.Outcome {
	if reply.Refused != nil {
		return coreonce.Outcome{Refused: reply.Refused}
	}
	raw, refused := encodeAnswer(reply.Answer, r.answerBuffers)
	return coreonce.Outcome{Answer: raw, Refused: refused}
}

// askDecider forwards a call to the incarnation that decides its key. It returns false if that incarnation
// is not a member, if the call has reached maxHops, or if two attempts to forward it have failed.
func (r *Router) askDecider(ctx context.Context, c *Call, decider ident.Incarnation) (coreonce.Outcome, bool) {
	e := r.options.Members.View().ByIncarnation(decider)
	if e == nil || c.Hops >= maxHops {
		return coreonce.Outcome{}, false
	}
	// A second attempt is safe, since the decider runs a key at most once.
	for range 2 {
		reply, err := r.forward(ctx, e, c, ident.ShardID{Service: c.Service}, c.Key)
		if err == nil {
			return r.toOutcome(reply), true
		}
	}
	return coreonce.Outcome{}, false
}

// run runs a call in one of the regions that have servers of its service. It tries this daemon's region
// first and another one only if shouldTryOtherRegion and the budget of the link allow it. If it runs
// out of regions or of budget, it returns the reply of the first region.
func (r *Router) run(ctx context.Context, c *Call) Reply {
	service := r.options.Config().Service(c.Service)
	if service == nil {
		return refuse(refusal.NoServer, "service %q is gone", c.Service)
	}
	ownRegion := r.options.Members.Self().Region
	regions := serviceRegions(service, ownRegion)
	if len(regions) == 0 {
		return refuse(refusal.NoServer, "service %q has no servers", c.Service)
	}
	var firstReply Reply
	for i, region := range regions {
		if region != ownRegion && !r.takeLinkBudget(c) {
			r.options.Count("link.refused", 1)
			if i == 0 {
				return refuse(refusal.LinkBudgetExhausted, "")
			}
			break
		}
		reply := r.runInRegion(ctx, c, region)
		if i == 0 {
			firstReply = reply
		}
		if !shouldTryOtherRegion(c, reply) {
			return reply
		}
	}
	return firstReply
}

// serviceRegions returns the regions with servers of a service: ownRegion first if it has any, then the
// others sorted by name.
func serviceRegions(s *config.Service, ownRegion ident.RegionID) []ident.RegionID {
	var out []ident.RegionID
	for _, srv := range s.Servers {
		if !slices.Contains(out, srv.Region) {
			out = append(out, srv.Region)
		}
	}
	slices.SortFunc(out, func(a, b ident.RegionID) int {
		switch {
		case a == b:
			return 0
		case a == ownRegion:
			return -1
		case b == ownRegion || a > b:
			return 1
		}
		return -1
	})
	return out
}

// shouldTryOtherRegion reports whether to try a call in another region, which costs paid traffic
// between regions. This is so if the reply promises that the call did not run, if another region may
// have the capacity that this one lacks, and if the call's rank is not background.
func shouldTryOtherRegion(c *Call, reply Reply) bool {
	if reply.Refused == nil || reply.Refused.Outcome() != refusal.NotRun || c.Rank == ident.Background {
		return false
	}
	switch reply.Refused.Kind {
	case refusal.NoServer, refusal.ServersUnreachable, refusal.ServersShed,
		refusal.DeadlineUnmeetable, refusal.QueueFull, refusal.PeerUnreachable:
		return true
	default:
		return false
	}
}

// takeLinkBudget takes the request's estimated bytes from the budget of the link between regions. It
// returns false and takes nothing if the budget does not allow the request.
func (r *Router) takeLinkBudget(c *Call) bool {
	size := len(c.HTTP.Body()) + estimatedHeaderBytes
	if !r.options.Link.Take(time.Now(), c.Rank, size) {
		return false
	}
	r.options.Count("link.bytes.request."+string(c.Rank), int64(size))
	return true
}

// estimatedHeaderBytes is the assumed size in bytes of a request without its body.
const estimatedHeaderBytes = 512

// runInRegion runs a call on the servers of one region. It forwards the call to the owner of the shard,
// or runs it on this daemon if this daemon is the owner or no owner can be reached.
func (r *Router) runInRegion(ctx context.Context, c *Call, region ident.RegionID) Reply {
	self := r.options.Members.Self()
	id := ident.ShardID{Service: c.Service, Region: region}
	owners := r.options.Members.View().Owners(region, id.String(), maxOwnersTried)
	ran := false
	for _, owner := range owners {
		if owner.VM == self.VM {
			break
		}
		if c.Hops >= maxHops {
			return refuse(refusal.ForwardingLoop, "%d hops", c.Hops)
		}
		reply, err := r.forward(ctx, owner, c, id, nil)
		if err == nil {
			reply.Owner = owner.CallerAddress
			return reply
		}
		r.options.Count("forward.unreached", 1)
		ran = ran || errors.Is(err, errPeerLost)
		if ctx.Err() != nil {
			return markMayHaveRun(refuse(refusal.DeadlineInQueue, ""), ran)
		}
	}
	return markMayHaveRun(r.RunLocally(ctx, c, region), ran)
}

// markMayHaveRun marks a refusal as possibly run if an earlier forward of the call may have run. It
// copies the refusal and leaves answers unchanged.
func markMayHaveRun(reply Reply, ran bool) Reply {
	if reply.Refused != nil && ran {
		e := *reply.Refused
		e.MayHaveRun = true
		reply.Refused = &e
	}
	return reply
}

// RunLocally runs a call from this daemon on the servers of a region, without forwarding it to the
// shard's owner.
func (r *Router) RunLocally(ctx context.Context, c *Call, region ident.RegionID) Reply {
	dispatcher := r.options.Shards.Dispatcher(ident.ShardID{Service: c.Service, Region: region})
	method, path := string(c.HTTP.Header.Method()), string(c.HTTP.URI().Path())
	answer, refused := dispatcher.Do(ctx, &dispatch.Request{
		Service: c.Service, Rank: c.Rank, Organisation: c.Organisation,
		Weight: r.options.Config().Weight(c.Organisation), Deadline: c.Deadline,
		Idempotent: c.Idempotent, Fingerprint: c.Fingerprint, LatencyClass: c.LatencyClass,
		StillIdempotent: func() bool {
			route := r.options.Config().Match(method, path)
			return route != nil && route.Idempotent
		},
		Send: func(ctx context.Context, a *admit.Attempt) (*backend.Answer, shard.Outcome) {
			return r.send(ctx, c, a)
		},
	})
	return Reply{Answer: answer, Refused: refused}
}

// send sends one attempt of a call to its server. It returns the answer, if any, and the
// outcome of the attempt.
func (r *Router) send(ctx context.Context, c *Call, a *admit.Attempt) (*backend.Answer, shard.Outcome) {
	// A hedged attempt may use the request concurrently, so each attempt has its own copy.
	req := copyRequest(c.HTTP)
	defer releaseRequest(req)
	answer, outcome, err := r.options.Backend.Do(ctx, a.Server.Address, req, backend.Options{
		AvoidStale: !c.Idempotent,
		OnConnect: func(use backend.Use) {
			if use.Reused() {
				r.options.Count("connections.reused", 1)
			}
			a.Reused.Store(use.Reused())
			a.Sent.Store(true)
		},
	})
	if err != nil {
		r.options.Count("backend."+string(outcome), 1)
	}
	return answer, outcome
}

// Errors of a forwarded call that may be tried at another daemon.
var (
	// errPeerUnreachable means that the call was not delivered, so it did not run.
	errPeerUnreachable = errors.New("router: peer unreachable")
	// errPeerLost means that the call may have run, but may be repeated.
	errPeerLost = errors.New("router: peer failed during the call")
)

// retryableForwardError wraps a forward's error in errPeerUnreachable or errPeerLost if the call may be
// tried at another daemon. It returns nil if the call may have run and must not be repeated.
func retryableForwardError(err error, repeatable bool) error {
	var dial *peer.DialError
	switch {
	case errors.As(err, &dial):
		return fmt.Errorf("%w: %w", errPeerUnreachable, err)
	case repeatable:
		return fmt.Errorf("%w: %w", errPeerLost, err)
	}
	return nil
}
