// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"net"
	"time"

	"cairnwick.example/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
)

var errNotHeld = status.Error(codes.NotFound, "daemon: no such document here")

// How the server's side of a connection ends whose other side has gone without a word; the
// other side finds a silent connection by its calls, see silence.go.
const (
	serverPing   = 10 * time.Second // after so long without a byte: a ping is 17 bytes, and nobody waits for what it frees
	serverAnswer = 3 * time.Second  // for the answer, and for what was written to be acknowledged: streams to the other side hold up to a window each
)

// NewServer returns the gRPC server for other daemons, with buffers as small as those
// of their connections. Messages counts what passes; nil: nothing is counted.
func NewServer(creds credentials.TransportCredentials, m *Messages) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.Creds(creds),
		grpc.ReadBufferSize(connBuffer),
		grpc.WriteBufferSize(connBuffer),
		grpc.StaticStreamWindowSize(window),
		grpc.StaticConnWindowSize(window),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPing, Timeout: serverAnswer}),
	}
	if m != nil {
		options = append(options, grpc.StatsHandler(servedMessages{messages: m}))
	}
	return grpc.NewServer(options...)
}

// peerServer answers other daemons.
type peerServer struct {
	wire.UnimplementedPeerServer

	node *Node
}

// Exchange implements the Peer service.
func (s peerServer) Exchange(_ context.Context, h *wire.Heartbeat) (*wire.Heartbeat, error) {
	return s.node.loop.HandleHeartbeat(h), nil
}

// Ended implements the Peer service.
func (s peerServer) Ended(_ context.Context, q *wire.EndedRequest) (*wire.EndedReply, error) {
	if s.node.OnEnded != nil {
		s.node.OnEnded(q)
	}
	return &wire.EndedReply{}, nil
}

// FetchHead implements the Peer service.
func (s peerServer) FetchHead(_ context.Context, q *wire.FetchHeadRequest) (*wire.Document, error) {
	raw, inForce, ok := s.node.Keeper.Find(q.GetHead())
	if !ok {
		return nil, errNotHeld
	}
	return &wire.Document{Body: raw, InForce: inForce}, nil
}

// FetchShard implements the Peer service.
func (s peerServer) FetchShard(_ context.Context, q *wire.FetchShardRequest) (*wire.Document, error) {
	raw, ok := s.node.Keeper.Shard(q.GetDigest())
	if !ok {
		return nil, errNotHeld
	}
	return &wire.Document{Body: raw}, nil
}

// peersTask serves the peers' port.
func (n *Node) peersTask(l net.Listener) Task {
	return func(ctx context.Context) error {
		served := make(chan error, 1)
		go func() { served <- n.Server.Serve(n.traffic.Peers.WrapListener(l)) }()
		select {
		case err := <-served:
			return errors.Wrap(err, "daemon: serve peers")
		case <-ctx.Done():
			n.Server.Stop()
			return errors.Wrap(<-served, "daemon: serve peers")
		}
	}
}
