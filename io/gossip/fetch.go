package gossip

import (
	"context"
	"fmt"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/io/peer/peerpb"
)

// fetchTimeout bounds the loading of a whole configuration.
const fetchTimeout = 30 * time.Second

// fetchChunk is the size in bytes of a part of a whole configuration.
const fetchChunk = 256 << 10

// FetchConfig loads the whole configuration of a peer and puts it in force if
// it is newer. It is how a daemon starts while the store is away.
func (g *Gossip) FetchConfig(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	stream, err := g.options.Client.Peer(ctx, address).FetchConfig(ctx, &peerpb.FetchRequest{
		From: string(g.options.Members.Self().VM),
	})
	if err != nil {
		return fmt.Errorf("gossip: fetch: %w", err)
	}
	defer stream.Close()
	var body []byte
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("gossip: fetch: %w", err)
		}
		body = append(body, chunk.GetBody()...)
		if chunk.GetLast() {
			return g.options.Versions.InstallSnapshot(ident.Version(chunk.GetVersion()), body)
		}
	}
}

// ServeConfig answers a peer's FetchConfig.
func (g *Gossip) ServeConfig(_ *peerpb.FetchRequest, stream peerpb.DRPCPeer_FetchConfigStream) error {
	version, body, err := g.options.Versions.SnapshotBody()
	if err != nil {
		return err
	}
	for {
		n := min(len(body), fetchChunk)
		chunk := &peerpb.FetchChunk{Version: uint64(version), Body: body[:n], Last: n == len(body)}
		if err := stream.Send(chunk); err != nil {
			return fmt.Errorf("gossip: serve config: %w", err)
		}
		if body = body[n:]; chunk.Last {
			return nil
		}
	}
}
