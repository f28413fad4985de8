package router

import (
	"context"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"bilberrymux/core/ident"
	"bilberrymux/core/member"
	coreonce "bilberrymux/core/once"
	"bilberrymux/core/refusal"
	"bilberrymux/core/shard"
	"bilberrymux/io/backend"
	"bilberrymux/io/peer/peerpb"
)

// chunkSize is the size in bytes of a part of a forwarded answer.
const chunkSize = 64 << 10

// forward hands a call to another daemon. The error is set where the daemon
// got nothing, or where the call may be repeated elsewhere; otherwise the reply
// is final.
func (r *Router) forward(ctx context.Context, to *member.Entry, c *Call, id ident.ShardID, key *coreonce.Key) (Reply, error) {
	raw, err := encode(c.HTTP)
	if err != nil {
		return refuse(refusal.Internal, "%v", err), nil
	}
	req := &peerpb.ForwardRequest{
		RequestId: c.ID, Service: string(c.Service), Region: string(id.Region), Rank: string(c.Rank),
		Organisation: string(c.Organisation), Idempotent: c.Idempotent,
		TimeoutMicros: time.Until(c.Deadline).Microseconds(), Hops: int32(c.Hops + 1),
		Kind: uint32(c.Kind), Http: raw, Local: key == nil,
	}
	if key != nil {
		req.Key, req.Scope = key.Text, string(key.Scope)
	}
	r.options.Count("forward.sent", 1)
	repeatable := c.Idempotent || key != nil
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(forwardGrace))
	stream, err := r.options.Client.Peer(ctx, to.PeerAddress).Forward(ctx, req)
	if err != nil {
		cancel()
		if free := elsewhere(err, repeatable); free != nil {
			return Reply{}, free
		}
		return lost(err), nil
	}
	first, err := stream.Recv()
	if err != nil {
		inTime := ctx.Err() == nil
		cancel()
		stream.Close()
		if free := elsewhere(err, repeatable && inTime); free != nil {
			return Reply{}, free
		}
		return lost(err), nil
	}
	in := &incoming{stream: stream, cancel: cancel, rank: c.Rank, router: r, region: to.Region}
	return in.receive(first), nil
}

// forwardGrace is how much longer than the deadline a forwarder waits, so that
// it is the other daemon's refusal which the caller gets.
const forwardGrace = 100 * time.Millisecond

func lost(err error) Reply {
	return Reply{Refused: &refusal.Error{Kind: refusal.PeerLost, Detail: err.Error(), MayHaveRun: true}}
}

// incoming is the answer of another daemon on its way in.
type incoming struct {
	stream  peerpb.DRPCPeer_ForwardClient
	cancel  context.CancelFunc
	rank    ident.Rank
	router  *Router
	region  ident.RegionID
	pending []byte
	last    bool
	failed  error
	answer  *backend.Answer
}

// receive turns the first chunk, and for a short answer all of them, into a
// reply.
func (in *incoming) receive(first *peerpb.ForwardChunk) Reply {
	in.charge(first)
	if first.GetRefusal() != "" {
		in.end()
		return Reply{Refused: &refusal.Error{
			Kind: refusal.Kind(first.GetRefusal()), Detail: first.GetDetail(), MayHaveRun: first.GetRan(),
		}}
	}
	resp := &fasthttp.Response{}
	if err := resp.Header.Read(reader(first.GetHead())); err != nil {
		in.end()
		return lost(err)
	}
	in.pending, in.last = first.GetBody(), first.GetLast()
	in.answer = &backend.Answer{Response: resp}
	if !in.last {
		in.answer.Streamed = true
		resp.SetBodyStream(in, int(first.GetBodySize()))
		return Reply{Answer: in.answer, Replayed: first.GetReplayed()}
	}
	resp.SetBodyRaw(append([]byte(nil), in.pending...))
	in.end()
	return Reply{Answer: in.answer, Replayed: first.GetReplayed()}
}

func (in *incoming) charge(chunk *peerpb.ForwardChunk) {
	r := in.router
	if in.region == r.options.Members.Self().Region {
		return
	}
	size := len(chunk.GetHead()) + len(chunk.GetBody())
	r.options.Link.Charge(time.Now(), in.rank, size)
	r.options.Count("link.bytes.answer."+string(in.rank), int64(size))
}

func (in *incoming) end() {
	_ = in.stream.Close()
	in.cancel()
}

// Read implements io.Reader for a streamed answer. The end without the last
// chunk is an error, so that a cut answer never looks whole.
func (in *incoming) Read(p []byte) (int, error) {
	for len(in.pending) == 0 {
		if in.last {
			return 0, io.EOF
		}
		chunk, err := in.stream.Recv()
		if err != nil {
			in.failed = err
			return 0, backend.ErrTruncated
		}
		in.charge(chunk)
		if chunk.GetRefusal() != "" {
			in.failed = backend.ErrTruncated
			return 0, backend.ErrTruncated
		}
		in.pending, in.last = chunk.GetBody(), chunk.GetLast()
	}
	n := copy(p, in.pending)
	in.pending = in.pending[n:]
	return n, nil
}

// Close implements io.Closer.
func (in *incoming) Close() error {
	in.end()
	end := shard.Good
	if in.failed != nil {
		end = shard.Broken
	}
	in.answer.Finish(end)
	return nil
}

// ServeForward answers another daemon's forward.
func (r *Router) ServeForward(req *peerpb.ForwardRequest, stream peerpb.DRPCPeer_ForwardStream) error {
	r.options.Count("forward.received", 1)
	r.serving.Add(1)
	defer r.serving.Add(-1)
	reply := r.serveForward(stream.Context(), req)
	if reply.Refused != nil {
		return stream.Send(&peerpb.ForwardChunk{
			Refusal: string(reply.Refused.Kind), Detail: reply.Refused.Detail, Ran: reply.Refused.MayHaveRun,
		})
	}
	return sendAnswer(reply, stream)
}

func (r *Router) serveForward(ctx context.Context, req *peerpb.ForwardRequest) Reply {
	if req.GetHops() > maxHops {
		return refuse(refusal.ForwardingLoop, "%d hops", req.GetHops())
	}
	httpReq, err := decodeRequest(req.GetHttp())
	if err != nil {
		return refuse(refusal.BadRequest, "%v", err)
	}
	c := &Call{
		ID: req.GetRequestId(), Service: ident.ServiceID(req.GetService()), Rank: ident.Rank(req.GetRank()),
		Organisation: ident.OrganisationID(req.GetOrganisation()), Idempotent: req.GetIdempotent(),
		Deadline: time.Now().Add(time.Duration(req.GetTimeoutMicros()) * time.Microsecond),
		Kind:     uint8(req.GetKind()), Hops: int(req.GetHops()), HTTP: httpReq,
		Fingerprint: FingerprintOf(httpReq),
	}
	if req.GetKey() == "" {
		return r.Local(ctx, c, ident.RegionID(req.GetRegion()))
	}
	key, err := coreonce.ParseKey(ident.OrganisationID(req.GetScope()), req.GetKey())
	if err != nil {
		return refuse(refusal.BadRequest, "%v", err)
	}
	c.Key = &key
	return r.keyed(ctx, c, true)
}

// sendAnswer sends an answer in chunks.
func sendAnswer(reply Reply, stream peerpb.DRPCPeer_ForwardStream) error {
	resp := reply.Answer.Response
	first := &peerpb.ForwardChunk{Replayed: reply.Replayed}
	if !reply.Answer.Streamed {
		first.Body = resp.Body()
		first.BodySize, first.Last = int64(len(first.Body)), true
		resp.Header.SetContentLength(len(first.Body))
		first.Head = resp.Header.Header()
		return stream.Send(first)
	}
	first.BodySize = int64(resp.Header.ContentLength())
	first.Head = resp.Header.Header()
	err := sendChunks(first, resp.BodyStream(), stream)
	_ = resp.CloseBodyStream()
	return err
}

func sendChunks(chunk *peerpb.ForwardChunk, body io.Reader, stream peerpb.DRPCPeer_ForwardStream) error {
	buffer := make([]byte, chunkSize)
	for {
		n, err := io.ReadFull(body, buffer)
		chunk.Body = buffer[:n]
		chunk.Last = err == io.EOF || err == io.ErrUnexpectedEOF
		if err != nil && !chunk.Last {
			// Without a last chunk the receiver knows that the answer was cut.
			return err
		}
		if sendErr := stream.Send(chunk); sendErr != nil || chunk.Last {
			return sendErr
		}
		chunk = &peerpb.ForwardChunk{}
	}
}

func copyRequest(src *fasthttp.Request) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	src.CopyTo(req)
	return req
}

func releaseRequest(req *fasthttp.Request) {
	fasthttp.ReleaseRequest(req)
}
