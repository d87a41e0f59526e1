// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"

	"cairnwick.example/forward"
	"cairnwick.example/member"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// requestLoad requests an adapter load from the leader of the endpoint's data centre, and waits for the result.
func (p *peers) requestLoad(ctx context.Context, m member.Member, w forward.AdapterRequest) (forward.PlacementResult, error) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	ctx, cancel := context.WithTimeout(ctx, max(w.MaxWait, w.TargetWait, 0)+askTimeoutMargin)
	defer cancel()
	go p.cancelWhenNotServing(ctx, func() { cancelCause(forward.ErrOwnerUnreachable) }, m.Name())
	a, err := wire.NewShareClient(p.dialer.Conn(m.Address())).Ask(ctx, &wire.AskRequest{
		Request:    w.RequestID,
		Endpoint:   askedEndpoint(w),
		Adapter:    w.Adapter.String(),
		Version:    w.Version,
		WaitMicros: w.TargetWait.Microseconds(),
		MostMicros: w.MaxWait.Microseconds(),
		Priority:   int32(w.Priority),
		Worth:      w.Value,
		Returned:   w.Retried,
		Denied:     w.NotLoaded,
		Tokens:     int64(w.PromptTokens),
		Elsewhere:  w.AvoidLimited,
		Avoid:      w.Avoid,

		Balance:       w.Balance,
		Box:           w.Box,
		OutputTokens:  int64(w.OutputTokens),
		TargetMicros:  w.Target.Microseconds(),
		QueueMicros:   w.QueueLimit.Microseconds(),
		Declined:      w.Declined,
		UrgentMicros:  w.UrgentLimit.Microseconds(),
		PauseMicros:   w.MaxPause.Microseconds(),
		ElapsedMicros: w.Elapsed.Microseconds(),
	})
	if status.Code(err) == codes.Unavailable || errors.Is(context.Cause(ctx), forward.ErrOwnerUnreachable) {
		return forward.PlacementResult{}, errors.Wrapf(forward.ErrOwnerUnreachable, "edge: leader %s: %v", m.Name(), err)
	}
	if err != nil {
		return forward.PlacementResult{}, errors.Wrapf(err, "edge: leader %s", m.Name())
	}
	return resultFromReply(a), nil
}

// balancedPrefix marks the endpoint of a request for a base model. Leaders of older versions would load the base model as an
// adapter; they know no endpoint of such a name and return an error, so that the box uses its own view.
const balancedPrefix = "balanced:"

// askedEndpoint returns the endpoint as an AskRequest names it.
func askedEndpoint(w forward.AdapterRequest) string {
	if w.Balance && w.Adapter.Name == "" {
		return balancedPrefix + w.Endpoint.ID()
	}
	return w.Endpoint.ID()
}

// cancelWhenNotServing cancels a call to a box as soon as the box is no longer considered serving. Otherwise a frozen
// box would hold its callers until their timeout.
func (p *peers) cancelWhenNotServing(ctx context.Context, cancel context.CancelFunc, name string) {
	for ctx.Err() == nil {
		changed := p.table.Changed()
		if !p.isServing(name) {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// resultFromReply converts an AskReply of a leader.
func resultFromReply(a *wire.AskReply) forward.PlacementResult {
	return forward.PlacementResult{
		Ready:         a.GetReady(),
		OwnerChanging: a.GetSettling(),
		Endpoint:      a.GetEndpoint(),
		Version:       a.GetVersion(),
		QueueTime:     positiveMessageTime(a.GetQueuedMicros()),
		RetryAfter:    positiveMessageTime(a.GetRetryMicros()),
		Reason:        a.GetReason(),
		AheadTokens:   messageCount(a.GetAheadTokens()),
		FirstToken:    positiveMessageTime(a.GetFirstTokenMicros()),
		Busy:          a.GetBusy(),
		Code:          placementCode(a.GetCode()),
		NoRoom:        a.GetNoRoom(),
	}
}

// placementCode returns the code of a refusal by a leader. One that this box doesn't know, from a newer build, is the default:
// codes are labels of metrics.
func placementCode(code string) forward.Code {
	switch c := forward.Code(code); c {
	case forward.CodeEndpointsBusy, forward.CodeNoSlot, forward.CodeNotLoaded:
		return c
	}
	return ""
}

// wantedFromRequest converts an AskRequest of another box.
func wantedFromRequest(q *wire.AskRequest, e *topology.Endpoint) forward.AdapterRequest {
	return forward.AdapterRequest{
		RequestID:    q.GetRequest(),
		Endpoint:     e,
		Adapter:      topology.ParseAdapter(q.GetAdapter()),
		Version:      q.GetVersion(),
		TargetWait:   messageTime(q.GetWaitMicros()),
		MaxWait:      messageTime(q.GetMostMicros()),
		Priority:     int(q.GetPriority()),
		Value:        q.GetWorth(),
		Retried:      q.GetReturned(),
		NotLoaded:    q.GetDenied(),
		PromptTokens: messageCount(q.GetTokens()),

		AvoidLimited: q.GetElsewhere(),
		Avoid:        q.GetAvoid(),

		Balance:      q.GetBalance(),
		Box:          q.GetBox(),
		OutputTokens: messageCount(q.GetOutputTokens()),
		Target:       messageTime(q.GetTargetMicros()),
		QueueLimit:   positiveMessageTime(q.GetQueueMicros()),
		Declined:     q.GetDeclined(),
		UrgentLimit:  positiveMessageTime(q.GetUrgentMicros()),
		MaxPause:     positiveMessageTime(q.GetPauseMicros()),
		Elapsed:      positiveMessageTime(q.GetElapsedMicros()),
	}
}

// placer implements forward.Placer: it forwards requests to the leader of the endpoint's data centre, or to the local
// loader if this box is in charge of the endpoint.
type placer struct{ node *Node }

// Place implements forward.Placer.
func (p placer) Place(ctx context.Context, w forward.AdapterRequest) (forward.PlacementResult, error) {
	m, ok := p.node.peers.clusterView().commander(w.Endpoint.DataCentre())
	w.Box = p.node.peers.box
	if !ok || m.Name() == p.node.peers.box || p.node.loader.OrdersWhileLeaving(w.Endpoint.ID()) {
		return p.node.loader.Place(ctx, w)
	}
	return p.node.peers.requestLoad(ctx, m, w)
}
