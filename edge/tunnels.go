// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync/atomic"
	"syscall"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/daemon/tunnel"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// tunnelDescriptorsDivisor is the divisor that gives the share of the box's file descriptors that connections for other
	// boxes may use; the rest is for its own callers.
	tunnelDescriptorsDivisor = 8
	minTunnels               = 16
	tunnelPollInterval       = 50 * time.Millisecond // between two checks whether all have ended
)

// tunnels serves connections to endpoints for boxes that are cut off from them.
type tunnels struct {
	node *Node
	most int64 // connections at the same time
	open atomic.Int64
}

// awaitEnd waits until no connection is open, at most for the given time.
func (t *tunnels) awaitEnd(most time.Duration) {
	begun := clock.Now()
	for t.open.Load() > 0 && clock.Since(begun) < most {
		time.Sleep(tunnelPollInterval)
	}
}

// serve opens a connection and copies data until either side closes it.
func (t *tunnels) serve(stream wire.Share_TunnelServer) error {
	defer t.open.Add(-1)
	if t.open.Add(1) > t.most {
		return status.Error(codes.ResourceExhausted, "edge: too many connections for other boxes")
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	e := t.node.view.Endpoint(first.GetEndpoint())
	_, known := t.node.peers.table.Find(first.GetBox())
	switch {
	case !known:
		return status.Error(codes.PermissionDenied, "edge: unknown box")
	case e == nil:
		return status.Error(codes.NotFound, "edge: unknown endpoint")
	case t.node.gateway.CutOff(e):
		return status.Error(codes.Unavailable, "edge: this box is cut off from the endpoint's service, too")
	}
	t.node.peers.table.RecordContact(first.GetBox(), clock.Now())
	c, err := t.node.gateway.DialEndpoint(stream.Context(), e)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return status.Error(codes.FailedPrecondition, err.Error())
	case err != nil && t.node.gateway.CutOff(e):
		return status.Error(codes.Unavailable, err.Error())
	case err != nil:
		return status.Error(codes.Aborted, err.Error())
	}
	defer c.Close()
	if err := stream.Send(&wire.TunnelReply{}); err != nil {
		return err
	}
	return tunnel.Copy(stream, c)
}
