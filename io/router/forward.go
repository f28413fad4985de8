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

// forwardChunkBytes is the largest body in bytes of one chunk of a streamed answer.
const forwardChunkBytes = 64 << 10

// forward sends a call to another daemon and returns its reply. If key is nil, the other daemon runs the
// call itself on the servers of the given shard. Otherwise it decides the key and chooses the region.
//
// An error means that the call may be tried elsewhere: it wraps errPeerUnreachable if the daemon did
// not receive the call, and errPeerLost if the call may have run but may be repeated. Without an
// error the reply is final.
func (r *Router) forward(ctx context.Context, to *member.Entry, c *Call, id ident.ShardID, key *coreonce.Key) (Reply, error) {
	raw, err := encodeMessage(c.HTTP)
	if err != nil {
		return refuse(refusal.Internal, "%v", err), nil
	}
	req := &peerpb.ForwardRequest{
		RequestId: c.ID, Service: string(c.Service), Region: string(id.Region), Rank: string(c.Rank),
		Organisation: string(c.Organisation), Idempotent: c.Idempotent,
		TimeoutMicros: time.Until(c.Deadline).Microseconds(), Hops: int32(c.Hops + 1),
		Kind: uint32(c.LatencyClass), Http: raw, Local: key == nil,
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
		if retryErr := retryableForwardError(err, repeatable); retryErr != nil {
			return Reply{}, retryErr
		}
		return peerLostReply(err), nil
	}
	first, err := stream.Recv()
	if err != nil {
		beforeDeadline := ctx.Err() == nil
		cancel()
		stream.Close()
		if retryErr := retryableForwardError(err, repeatable && beforeDeadline); retryErr != nil {
			return Reply{}, retryErr
		}
		return peerLostReply(err), nil
	}
	in := &forwardedAnswer{stream: stream, cancel: cancel, rank: c.Rank, router: r, region: to.Region}
	return in.receive(first), nil
}

// forwardGrace is the time beyond the deadline for which the forwarding daemon waits, so that the
// caller receives the other daemon's refusal instead of a local timeout.
const forwardGrace = 100 * time.Millisecond

// peerLostReply returns the refusal for a call whose daemon failed after it may have run the call.
func peerLostReply(err error) Reply {
	return Reply{Refused: &refusal.Error{Kind: refusal.PeerLost, Detail: err.Error(), MayHaveRun: true}}
}

// forwardedAnswer receives the answer of another daemon from a stream of chunks. It is the body stream
// of an answer that does not fit in one chunk. It is not safe for concurrent use.
type forwardedAnswer struct {
	stream peerpb.DRPCPeer_ForwardClient
	cancel context.CancelFunc
	rank   ident.Rank
	router *Router
	region ident.RegionID
	// pending is the part of the current chunk that has not been read.
	pending []byte
	// complete reports that the last chunk has arrived.
	complete bool
	// readErr is the first error of Read, or nil.
	readErr error
	answer  *backend.Answer
}

// receive builds the reply from the first chunk. If more chunks follow, the body of the answer is a
// stream that reads them.
func (in *forwardedAnswer) receive(first *peerpb.ForwardChunk) Reply {
	in.chargeLink(first)
	if first.GetRefusal() != "" {
		in.closeStream()
		return Reply{Refused: &refusal.Error{
			Kind: refusal.Kind(first.GetRefusal()), Detail: first.GetDetail(), MayHaveRun: first.GetRan(),
		}}
	}
	resp, err := decodeHead(first.GetHead())
	if err != nil {
		in.closeStream()
		return peerLostReply(err)
	}
	in.pending, in.complete = first.GetBody(), first.GetLast()
	in.answer = &backend.Answer{Response: resp}
	if !in.complete {
		in.answer.Streamed = true
		resp.SetBodyStream(in, int(first.GetBodySize()))
		return Reply{Answer: in.answer, Replayed: first.GetReplayed()}
	}
	resp.SetBodyRaw(append([]byte(nil), in.pending...))
	in.closeStream()
	return Reply{Answer: in.answer, Replayed: first.GetReplayed()}
}

// chargeLink takes the bytes of a chunk from the budget of the link between regions, if the chunk came
// from another region.
func (in *forwardedAnswer) chargeLink(chunk *peerpb.ForwardChunk) {
	r := in.router
	if in.region == r.options.Members.Self().Region {
		return
	}
	size := len(chunk.GetHead()) + len(chunk.GetBody())
	r.options.Link.Charge(time.Now(), in.rank, size)
	r.options.Count("link.bytes.answer."+string(in.rank), int64(size))
}

// closeStream closes the stream of chunks and releases its context.
func (in *forwardedAnswer) closeStream() {
	_ = in.stream.Close()
	in.cancel()
}

// Read implements io.Reader for a streamed answer. It returns an error if the stream ends before the
// last chunk, so that a truncated answer is never taken for a complete one.
func (in *forwardedAnswer) Read(p []byte) (int, error) {
	for len(in.pending) == 0 {
		if in.complete {
			return 0, io.EOF
		}
		chunk, err := in.stream.Recv()
		if err != nil {
			in.readErr = err
			return 0, backend.ErrTruncated
		}
		in.chargeLink(chunk)
		if chunk.GetRefusal() != "" {
			in.readErr = backend.ErrTruncated
			return 0, backend.ErrTruncated
		}
		in.pending, in.complete = chunk.GetBody(), chunk.GetLast()
	}
	n := copy(p, in.pending)
	in.pending = in.pending[n:]
	return n, nil
}

// Close implements io.Closer. It reports the end of the answer as broken if Read failed, and as good
// otherwise.
func (in *forwardedAnswer) Close() error {
	in.closeStream()
	outcome := shard.Good
	if in.readErr != nil {
		outcome = shard.Broken
	}
	in.answer.Finish(outcome)
	return nil
}

// ServeForward runs a call that another daemon has forwarded and sends the reply as chunks.
func (r *Router) ServeForward(req *peerpb.ForwardRequest, stream peerpb.DRPCPeer_ForwardStream) error {
	r.options.Count("forward.received", 1)
	r.forwardsInFlight.Add(1)
	defer r.forwardsInFlight.Add(-1)
	reply := r.serveForward(stream.Context(), req)
	if reply.Refused != nil {
		return stream.Send(&peerpb.ForwardChunk{
			Refusal: string(reply.Refused.Kind), Detail: reply.Refused.Detail, Ran: reply.Refused.MayHaveRun,
		})
	}
	return sendAnswer(reply, stream)
}

// serveForward decodes a forwarded call and runs it: on this daemon if it has no key, and as the decider
// of the key otherwise.
func (r *Router) serveForward(ctx context.Context, req *peerpb.ForwardRequest) Reply {
	now := time.Now()
	deadline := now.Add(time.Duration(req.GetTimeoutMicros()) * time.Microsecond)
	if !r.gate.Accepts(now, deadline, 0) {
		return refuse(refusal.Stopping, "")
	}
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
		Deadline:     deadline,
		LatencyClass: uint8(req.GetKind()), Hops: int(req.GetHops()), HTTP: httpReq,
		Fingerprint: FingerprintOf(httpReq),
	}
	if req.GetKey() == "" {
		return r.RunLocally(ctx, c, ident.RegionID(req.GetRegion()))
	}
	key, err := coreonce.ParseKey(ident.OrganisationID(req.GetScope()), req.GetKey())
	if err != nil {
		return refuse(refusal.BadRequest, "%v", err)
	}
	c.Key = &key
	return r.runAtMostOnce(ctx, c, true)
}

// sendAnswer sends an answer: in one chunk if the whole body is in memory, otherwise as a stream.
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

// sendChunks sends the body in chunks of at most forwardChunkBytes. The given chunk is sent first and
// carries the head of the answer.
func sendChunks(chunk *peerpb.ForwardChunk, body io.Reader, stream peerpb.DRPCPeer_ForwardStream) error {
	buffer := make([]byte, forwardChunkBytes)
	for {
		n, err := io.ReadFull(body, buffer)
		chunk.Body = buffer[:n]
		chunk.Last = err == io.EOF || err == io.ErrUnexpectedEOF
		if err != nil && !chunk.Last {
			// The receiver treats a stream without a last chunk as truncated.
			return err
		}
		if sendErr := stream.Send(chunk); sendErr != nil || chunk.Last {
			return sendErr
		}
		chunk = &peerpb.ForwardChunk{}
	}
}

// copyRequest returns a copy of a request from the HTTP library's pool. It must be released with
// releaseRequest.
func copyRequest(src *fasthttp.Request) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	src.CopyTo(req)
	return req
}

// releaseRequest returns a request to the HTTP library's pool.
func releaseRequest(req *fasthttp.Request) {
	fasthttp.ReleaseRequest(req)
}
