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

var errDocumentNotFound = status.Error(codes.NotFound, "daemon: document not found")

// Server-side keepalive, which closes connections whose client is gone without a FIN or a
// reset. The client detects a silent connection by its calls, see silence.go.
const (
	keepaliveInterval = 10 * time.Second // without received data; long, to save traffic (a ping is 17 bytes), since no call waits for the clean-up
	keepaliveTimeout  = 3 * time.Second  // for the ping's answer, and for TCP to acknowledge written data: each stream may hold up to a window of it
)

// NewServer returns the gRPC server for other daemons, with the same small buffers as
// the Dialer's connections. m counts the messages and may be nil.
func NewServer(creds credentials.TransportCredentials, m *MessageCounter, further ...grpc.ServerOption) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.Creds(creds),
		grpc.ReadBufferSize(connBuffer),
		grpc.WriteBufferSize(connBuffer),
		grpc.StaticStreamWindowSize(flowControlWindow),
		grpc.StaticConnWindowSize(flowControlWindow),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	}
	if m != nil {
		options = append(options, grpc.StatsHandler(serverStats{counter: m}))
	}
	return grpc.NewServer(append(options, further...)...)
}

// peerServer implements the Peer service for other daemons.
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
	if s.node.OnEndpointsEnded != nil {
		s.node.OnEndpointsEnded(q)
	}
	return &wire.EndedReply{}, nil
}

// FetchHead implements the Peer service.
func (s peerServer) FetchHead(_ context.Context, q *wire.FetchHeadRequest) (*wire.Document, error) {
	raw, inForce, ok := s.node.Keeper.Find(q.GetHead())
	if !ok {
		return nil, errDocumentNotFound
	}
	return &wire.Document{Body: raw, InForce: inForce}, nil
}

// FetchShard implements the Peer service.
func (s peerServer) FetchShard(_ context.Context, q *wire.FetchShardRequest) (*wire.Document, error) {
	raw, ok := s.node.Keeper.Shard(q.GetDigest())
	if !ok {
		return nil, errDocumentNotFound
	}
	return &wire.Document{Body: raw}, nil
}

// peerTask serves the peers' port.
func (n *Node) peerTask(l net.Listener) Task {
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
