// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"strings"
	"time"

	"cairnwick.example/balance"
	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/placement"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// peerServer implements the Peer service: heartbeats and notifications from other boxes.
type peerServer struct {
	wire.UnimplementedPeerServer

	node *Node
}

// Exchange implements the Peer service.
func (s peerServer) Exchange(_ context.Context, h *wire.Heartbeat) (*wire.Heartbeat, error) {
	return s.node.peers.loop.HandleHeartbeat(h), nil
}

// Ended implements the Peer service.
func (s peerServer) Ended(_ context.Context, q *wire.EndedRequest) (*wire.EndedReply, error) {
	s.node.peers.table.RecordContact(q.GetBox(), clock.Now())
	s.node.quarantine.receive(q, time.Now())
	s.node.departures.receive(q)
	return &wire.EndedReply{}, nil
}

// shareServer implements the Share service: streams of facts, and the calls of other boxes to a leader.
type shareServer struct {
	wire.UnimplementedShareServer

	node *Node
}

// Follow implements the Share service.
func (s shareServer) Follow(q *wire.FollowRequest, stream wire.Share_FollowServer) error {
	return s.node.shared.Follow(q, stream)
}

// Ask implements the Share service.
func (s shareServer) Ask(ctx context.Context, q *wire.AskRequest) (*wire.AskReply, error) {
	e := s.node.view.Endpoint(strings.TrimPrefix(q.GetEndpoint(), balancedPrefix))
	if e == nil {
		return nil, status.Error(codes.NotFound, "edge: unknown endpoint")
	}
	p, err := s.node.loader.Place(ctx, wantedFromRequest(q, e))
	if err != nil {
		return nil, status.FromContextError(err).Err()
	}
	return replyFromResult(p), nil
}

// replyFromResult converts the loader's answer to an AskRequest.
func replyFromResult(p forward.PlacementResult) *wire.AskReply {
	return &wire.AskReply{
		Ready:       p.Ready,
		Settling:    p.OwnerChanging,
		Endpoint:    p.Endpoint,
		Version:     p.Version,
		RetryMicros: p.RetryAfter.Microseconds(),
		Reason:      p.Reason,

		QueuedMicros: p.QueueTime.Microseconds(),

		AheadTokens:      int64(p.AheadTokens),
		FirstTokenMicros: p.FirstToken.Microseconds(),
		Busy:             p.Busy,
		Code:             string(p.Code),
		NoRoom:           p.NoRoom,
	}
}

// Use implements the Share service.
func (s shareServer) Use(_ context.Context, q *wire.UseRequest) (*wire.UseReply, error) {
	s.node.peers.table.RecordContact(q.GetBox(), clock.Now())
	return s.node.recordUsage(q), nil
}

// Resign implements the Share service.
func (s shareServer) Resign(ctx context.Context, q *wire.ResignRequest) (*wire.ResignReply, error) {
	h := s.node.loader.Resign(ctx, q.GetEndpoint())
	a := &wire.ResignReply{Resigned: h.Resigned, Fence: h.Fence, Models: h.Models}
	for r, v := range h.Ready {
		a.Slots = append(a.Slots, &wire.Slot{Adapter: r.String(), Version: v, Ready: true})
	}
	for p, v := range h.Pending {
		a.Slots = append(a.Slots, &wire.Slot{Adapter: p.String(), Version: v})
	}
	return a, nil
}

// Settle implements the Share service.
func (s shareServer) Settle(_ context.Context, q *wire.SettleRequest) (*wire.SettleReply, error) {
	s.node.peers.table.RecordContact(q.GetBox(), clock.Now())
	return s.node.spending.handleSettle(q, clock.Now()), nil
}

// Lend implements the Share service.
func (s shareServer) Lend(_ context.Context, q *wire.LendRequest) (*wire.LendReply, error) {
	return s.node.spending.handleLend(q, clock.Now()), nil
}

// Take implements the Share service.
func (s shareServer) Take(_ context.Context, q *wire.TakeRequest) (*wire.TakeReply, error) {
	now := clock.Now()
	s.node.peers.table.RecordContact(q.GetBox(), now)
	return s.node.limits.handleTake(q, now), nil
}

// Limits implements the Share service.
func (s shareServer) Limits(_ context.Context, q *wire.LimitsRequest) (*wire.LimitsReply, error) {
	now := clock.Now()
	s.node.peers.table.RecordContact(q.GetBox(), now)
	return s.node.limits.handleReport(q, now), nil
}

// Tunnel implements the Share service.
func (s shareServer) Tunnel(stream wire.Share_TunnelServer) error {
	return s.node.tunnels.serve(stream)
}

// recordUsage records the usage that a box reported, and returns the current cost of a load.
func (n *Node) recordUsage(q *wire.UseRequest) *wire.UseReply {
	now := clock.Now()
	var uses []placement.Use
	for _, u := range q.GetUsage() {
		if u.GetFar() > 0 {
			n.loader.RecordRemoteRequests(n.Settings.DataCentre, topology.ParseAdapter(u.GetAdapter()), messageCount(int64(u.GetFar())), now)
			continue
		}
		uses = append(uses, useFromReport(u))
	}
	n.loader.RecordUsage(q.GetBox(), uses, q.GetPart(), now)
	cost, known := n.loader.MinLoadCost(now)
	return &wire.UseReply{LevelMicros: cost.Microseconds(), LevelKnown: known}
}

// useFromReport converts a box's report on an adapter at an endpoint.
func useFromReport(u *wire.Usage) placement.Use {
	return placement.Use{
		Endpoint:      u.GetEndpoint(),
		Adapter:       topology.ParseAdapter(u.GetAdapter()),
		Started:       messageCount(int64(u.GetCount())),
		Running:       messageCount(int64(u.GetRunning())),
		PrefillTokens: messageCount(u.GetReading()),
		MemoryTokens:  messageCount(u.GetMemory()),
		Failed:        messageCount(int64(u.GetFailed())),
		Read: balance.Observation{
			Prompts: messageCount(int64(u.GetPromptsRead())),
			Tokens:  messageCount(u.GetTokensRead()),
			Took:    positiveMessageTime(u.GetReadMicros()),
		},
		Streams: messageCount(int64(u.GetStreams())),
		Pauses:  positiveMessageTime(u.GetPauseMicros()),
	}
}

// RecordOrigins implements the Share service.
func (s shareServer) RecordOrigins(_ context.Context, q *wire.RecordOriginsRequest) (*wire.RecordOriginsReply, error) {
	s.node.origins.handleRecord(q)
	return &wire.RecordOriginsReply{}, nil
}

// FindOrigin implements the Share service.
func (s shareServer) FindOrigin(_ context.Context, q *wire.FindOriginRequest) (*wire.FindOriginReply, error) {
	return s.node.origins.handleFind(q), nil
}
