// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"cairnwick.example/daemon/tunnel"
	"cairnwick.example/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Tunnel implements the Peer service.
func (s peerServer) Tunnel(stream wire.Peer_TunnelServer) error {
	l := s.node.links
	defer l.tunnels.Add(-1)
	if l.tunnels.Add(1) > maxTunnels {
		return status.Error(codes.ResourceExhausted, "daemon: too many connections for other boxes")
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	c := s.node.Keeper.Catalog()
	if c == nil {
		return status.Error(codes.Unavailable, "daemon: no configuration yet")
	}
	e, known := c.Endpoint(first.GetEndpoint())
	switch {
	case !known:
		return status.Error(codes.NotFound, "daemon: unknown endpoint")
	case l.isCutOff():
		return status.Error(codes.Unavailable, "daemon: this box is cut off from the endpoints, too")
	}
	conn, err := s.node.EndpointDial()(stream.Context(), "tcp", e.Address())
	if err != nil {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	defer conn.Close()
	if err := stream.Send(&wire.TunnelReply{}); err != nil {
		return err
	}
	return tunnel.Copy(stream, conn)
}
