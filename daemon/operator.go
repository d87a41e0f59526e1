// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"

	"cairnwick.example/wire"
)

// operatorServer implements the Operator service.
type operatorServer struct {
	wire.UnimplementedOperatorServer

	node *Node
}

// Status returns the state of the node, its members and its endpoints.
func (s operatorServer) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	n := s.node
	reply := &wire.StatusReply{
		Box:        n.box,
		DataCentre: n.dataCentre,
		Role:       n.Role,
		State:      n.state(),
		Version:    Version,
	}
	if c := n.Keeper.Catalog(); c != nil {
		reply.Revision = c.Revision()
	}
	for _, m := range n.Table.Members() {
		reply.Members = append(reply.Members, m.Wire())
	}
	if n.Endpoints != nil {
		reply.Endpoints = n.Endpoints()
	}
	return reply, nil
}

// Explain returns the decisions about a request.
func (s operatorServer) Explain(_ context.Context, q *wire.ExplainRequest) (*wire.ExplainReply, error) {
	return &wire.ExplainReply{Decisions: s.node.Record.ForRequest(q.GetRequest())}, nil
}

// Watch streams decisions as they are made.
func (s operatorServer) Watch(q *wire.WatchRequest, out wire.Operator_WatchServer) error {
	return s.node.Record.Watch(out.Context(), q, out.Send)
}
