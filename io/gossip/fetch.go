package gossip

import (
	"context"
	"fmt"
	"time"

	"bilberrymux/core/ident"
	"bilberrymux/io/peer/peerpb"
)

// fetchTimeout is the timeout for fetching a complete configuration.
const fetchTimeout = 30 * time.Second

// maxChunkBytes is the maximum size of one chunk of a streamed configuration.
const maxChunkBytes = 256 << 10

// FetchConfig fetches the complete configuration from the peer at the given address and installs it
// if it is newer. It lets a daemon start while the store is unavailable.
func (g *Gossip) FetchConfig(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	stream, err := g.options.Client.Peer(ctx, address).FetchConfig(ctx, &peerpb.FetchRequest{
		From: string(g.options.Members.Self().VM),
	})
	if err != nil {
		return fmt.Errorf("gossip: fetch configuration: %w", err)
	}
	defer stream.Close()
	var body []byte
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("gossip: fetch configuration: %w", err)
		}
		body = append(body, chunk.GetBody()...)
		if chunk.GetLast() {
			return g.options.Versions.InstallSnapshot(ident.Version(chunk.GetVersion()), body)
		}
	}
}

// ServeConfig streams the complete configuration in force to a peer that called FetchConfig.
func (g *Gossip) ServeConfig(_ *peerpb.FetchRequest, stream peerpb.DRPCPeer_FetchConfigStream) error {
	version, body, err := g.options.Versions.SnapshotBody()
	if err != nil {
		return err
	}
	for {
		n := min(len(body), maxChunkBytes)
		chunk := &peerpb.FetchChunk{Version: uint64(version), Body: body[:n], Last: n == len(body)}
		if err := stream.Send(chunk); err != nil {
			return fmt.Errorf("gossip: send configuration: %w", err)
		}
		if body = body[n:]; chunk.Last {
			return nil
		}
	}
}
