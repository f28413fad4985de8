package router

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"bilberrymux/core/admit"
	"bilberrymux/core/config"
	"bilberrymux/core/ident"
	"bilberrymux/core/link"
	"bilberrymux/core/member"
	coreonce "bilberrymux/core/once"
	"bilberrymux/core/refusal"
	"bilberrymux/core/shard"
	"bilberrymux/io/backend"
	"bilberrymux/io/dispatch"
	"bilberrymux/io/once"
	"bilberrymux/io/peer"
)

// maxHops bounds the forwards of one request.
const maxHops = 3

// ownersTried is the number of daemons in a region that are tried for a shard.
const ownersTried = 2

// Options are the dependencies of a Router.
type Options struct {
	Members *member.Table
	Config  func() *config.Config
	Shards  *Shards
	Once    *once.Runner
	Client  *peer.Client
	Backend *backend.Client
	Link    *link.Budget
	// Count adds to the counter of that name.
	Count func(name string, n int64)
}

// Router is safe for concurrent use.
type Router struct {
	options Options
	serving atomic.Int64
}

// New returns a router.
func New(o Options) *Router {
	return &Router{options: o}
}

// Serving returns the number of requests that run here for other daemons.
func (r *Router) Serving() int64 {
	return r.serving.Load()
}

// Do serves a call that came from a caller.
func (r *Router) Do(ctx context.Context, c *Call) Reply {
	if c.Key != nil && !c.Idempotent {
		return r.keyed(ctx, c, false)
	}
	return r.run(ctx, c)
}

// keyed serves a call that must run at most once.
func (r *Router) keyed(ctx context.Context, c *Call, forwarded bool) Reply {
	var owner string
	ran := false
	outcome := r.options.Once.Do(ctx, &once.Request{
		Key: *c.Key, Fingerprint: c.Fingerprint, Forwarded: forwarded,
		Run: func(context.Context) coreonce.Outcome {
			ran = true
			// The run goes on when the caller leaves: its answer is kept.
			ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
			defer cancel()
			reply := r.run(ctx, c)
			owner = reply.Owner
			return toOutcome(reply)
		},
		Forward: func(ctx context.Context, decider ident.Incarnation) (coreonce.Outcome, bool) {
			return r.ask(ctx, c, decider)
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

// toOutcome turns a reply into what is kept for resends.
func toOutcome(reply Reply) coreonce.Outcome {
	if reply.Refused != nil {
		return coreonce.Outcome{Refused: reply.Refused}
	}
	raw, refused := encodeAnswer(reply.Answer)
	return coreonce.Outcome{Answer: raw, Refused: refused}
}

// ask hands a keyed call to the incarnation that decides it.
func (r *Router) ask(ctx context.Context, c *Call, decider ident.Incarnation) (coreonce.Outcome, bool) {
	e := r.options.Members.View().ByIncarnation(decider)
	if e == nil || c.Hops >= maxHops {
		return coreonce.Outcome{}, false
	}
	// The same key may go to its decider twice without harm.
	for range 2 {
		reply, err := r.forward(ctx, e, c, ident.ShardID{Service: c.Service}, c.Key)
		if err == nil {
			return toOutcome(reply), true
		}
	}
	return coreonce.Outcome{}, false
}

// run brings a call to the servers of its service: those of the own region
// first.
func (r *Router) run(ctx context.Context, c *Call) Reply {
	service := r.options.Config().Service(c.Service)
	if service == nil {
		return refuse(refusal.NoServer, "service %q is gone", c.Service)
	}
	own := r.options.Members.Self().Region
	regions := regionsOf(service, own)
	if len(regions) == 0 {
		return refuse(refusal.NoServer, "service %q has no servers", c.Service)
	}
	var first Reply
	for i, region := range regions {
		if region != own && !r.mayCross(c) {
			r.options.Count("link.refused", 1)
			if i == 0 {
				return refuse(refusal.LinkBudgetExhausted, "")
			}
			break
		}
		reply := r.inRegion(ctx, c, region)
		if i == 0 {
			first = reply
		}
		if !otherRegionHelps(c, reply) {
			return reply
		}
	}
	return first
}

// regionsOf lists the regions with servers of a service, the own one first.
func regionsOf(s *config.Service, own ident.RegionID) []ident.RegionID {
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
		case a == own:
			return -1
		case b == own || a > b:
			return 1
		}
		return -1
	})
	return out
}

// otherRegionHelps reports whether another region is worth its paid link: the
// own one did not run the request, could not, and the rank matters.
func otherRegionHelps(c *Call, reply Reply) bool {
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

// mayCross takes the request's bytes from the budget of the link.
func (r *Router) mayCross(c *Call) bool {
	size := len(c.HTTP.Body()) + headerEstimate
	if !r.options.Link.Take(time.Now(), c.Rank, size) {
		return false
	}
	r.options.Count("link.bytes.request."+string(c.Rank), int64(size))
	return true
}

// headerEstimate is what the head of a message takes on the link, in bytes.
const headerEstimate = 512

// inRegion runs a call on the servers of one region: at the shard's owner, or
// here where no owner can be reached.
func (r *Router) inRegion(ctx context.Context, c *Call, region ident.RegionID) Reply {
	self := r.options.Members.Self()
	id := ident.ShardID{Service: c.Service, Region: region}
	owners := r.options.Members.View().Owners(region, id.String(), ownersTried)
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
		ran = ran || errors.Is(err, errLost)
		if ctx.Err() != nil {
			return mayHaveRun(refuse(refusal.DeadlineInQueue, ""), ran)
		}
	}
	return mayHaveRun(r.Local(ctx, c, region), ran)
}

// mayHaveRun owns up, in a refusal, to an earlier forward that may have run.
func mayHaveRun(reply Reply, ran bool) Reply {
	if reply.Refused != nil && ran {
		e := *reply.Refused
		e.MayHaveRun = true
		reply.Refused = &e
	}
	return reply
}

// Local runs a call on servers from this daemon.
func (r *Router) Local(ctx context.Context, c *Call, region ident.RegionID) Reply {
	d := r.options.Shards.Dispatcher(ident.ShardID{Service: c.Service, Region: region})
	answer, refused := d.Do(ctx, &dispatch.Request{
		Service: c.Service, Rank: c.Rank, Organisation: c.Organisation,
		Weight: r.options.Config().Weight(c.Organisation), Deadline: c.Deadline,
		Idempotent: c.Idempotent, Fingerprint: c.Fingerprint, Kind: c.Kind,
		Send: func(ctx context.Context, a *admit.Attempt) (*backend.Answer, shard.End) {
			return r.send(ctx, c, a)
		},
	})
	return Reply{Answer: answer, Refused: refused}
}

// send runs one attempt at a server.
func (r *Router) send(ctx context.Context, c *Call, a *admit.Attempt) (*backend.Answer, shard.End) {
	// A hedge may run beside this attempt, so that each has its own request.
	req := copyRequest(c.HTTP)
	defer releaseRequest(req)
	answer, end, err := r.options.Backend.Do(ctx, a.Server.Address, req, backend.Options{
		AvoidStale: !c.Idempotent,
		OnConnect: func(reused bool) {
			a.Reused.Store(reused)
			a.Sent.Store(true)
		},
	})
	if err != nil {
		r.options.Count("backend."+string(end), 1)
	}
	return answer, end
}

// The errors that leave a forwarded call free to go elsewhere.
var (
	// errNotReached marks a forward that no daemon got.
	errNotReached = errors.New("router: peer not reached")
	// errLost marks a forward that may have run, of a call that may be repeated.
	errLost = errors.New("router: peer lost")
)

// elsewhere returns the error that leaves a call free to go elsewhere, or nil
// where it is not: it may have run and must not be repeated.
func elsewhere(err error, repeatable bool) error {
	var dial *peer.DialError
	switch {
	case errors.As(err, &dial):
		return fmt.Errorf("%w: %w", errNotReached, err)
	case repeatable:
		return fmt.Errorf("%w: %w", errLost, err)
	}
	return nil
}
