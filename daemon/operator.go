// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"

	"cairnwick.example/wire"
)

// operatorServer answers operators.
type operatorServer struct {
	wire.UnimplementedOperatorServer

	node *Node
}

// Status implements the Operator service.
func (s operatorServer) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	n := s.node
	a := &wire.StatusReply{
		Box:        n.box,
		DataCentre: n.centre,
		Role:       n.Role,
		State:      n.state(),
		Version:    Version,
	}
	if c := n.Keeper.Catalog(); c != nil {
		a.Revision = c.Revision()
	}
	for _, m := range n.Table.Members() {
		a.Members = append(a.Members, m.Wire())
	}
	if n.Endpoints != nil {
		a.Endpoints = n.Endpoints()
	}
	return a, nil
}

// Explain implements the Operator service.
func (s operatorServer) Explain(_ context.Context, q *wire.ExplainRequest) (*wire.ExplainReply, error) {
	return &wire.ExplainReply{Decisions: s.node.Record.ForRequest(q.GetRequest())}, nil
}

// Watch implements the Operator service.
func (s operatorServer) Watch(q *wire.WatchRequest, out wire.Operator_WatchServer) error {
	return s.node.Record.Watch(out.Context(), q, out.Send)
}
