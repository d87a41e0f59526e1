// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/member"
	"cairnwick.example/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// acquire asks the endpoint's owner for a grant, and looks for the owner while
// it changes.
func (g *Gateway) acquire(ctx context.Context, q *request, endpoint, centre string) (heldGrant, *Failure) {
	limit := g.Spans.Failover
	if centre != g.Centre {
		limit = farFailover // an endpoint of the own data centre is the next to try
	}
	until := clock.Now().Add(min(limit, q.left()))
	hint := "" // who owns the endpoint, by the word of a scheduler that does not
	for {
		if owner, ok := g.ownerOf(endpoint, centre, hint); ok {
			h, refusal := g.askFor(ctx, q, owner, endpoint)
			if h.grant != nil {
				return h, nil
			}
			if refusal != nil && !ownerUnsettled(refusal.GetReason()) {
				return heldGrant{}, g.refusal(q, endpoint, refusal)
			}
			hint = refusal.GetOwner()
		}
		if ctx.Err() != nil || clock.Now().After(until) {
			return heldGrant{}, &Failure{Code: CodeNotReady, Ran: NotRun, Message: "no scheduler answers for " + endpoint, Retry: g.Spans.Retry}
		}
		pause(ctx, failoverPause)
	}
}

// askFor makes one call for a grant and remembers what the answer tells of the
// endpoint. Without an answer it returns neither a grant nor a refusal.
func (g *Gateway) askFor(ctx context.Context, q *request, owner member.Member, endpoint string) (heldGrant, *wire.Refusal) {
	asked := clock.Now()
	a, err := g.ask(ctx, q, owner, endpoint)
	if err != nil {
		return heldGrant{}, nil
	}
	g.beliefs.hear(endpoint, q.model.String(), a.GetFacts(), clock.Now())
	grant := a.GetGrant()
	if grant == nil {
		return heldGrant{}, a.GetRefusal()
	}
	g.beliefs.count(endpoint, 1)
	sendBy := asked.Add(time.Duration(grant.GetSendMicros()) * time.Microsecond)
	return heldGrant{owner: owner, grant: grant, endpoint: endpoint, sendBy: sendBy}, nil
}

// ask makes one call for a grant. When it fails the owner is probed, so that
// the view follows soon.
func (g *Gateway) ask(ctx context.Context, q *request, owner member.Member, endpoint string) (*wire.AcquireReply, error) {
	target := owner.Name()
	if owner.DataCentre() != g.Centre {
		target = centreKey(owner.DataCentre())
	}
	call, cancel := g.calls.with(ctx, target)
	defer cancel()
	a, err := g.Schedulers.Scheduler(owner.Address()).Acquire(call, &wire.AcquireRequest{
		Request:    q.id,
		Endpoint:   endpoint,
		Adapter:    q.model.String(),
		Class:      q.class.Name(),
		Caller:     q.caller,
		WaitMicros: q.mayWait().Microseconds(),
		Revision:   q.catalog.Revision(),
		Box:        g.Name,
		Width:      int32(q.width),
		Limit:      g.limits.of(endpoint, clock.Now()),
	})
	if err == nil && owner.DataCentre() != g.Centre {
		g.reach.note(owner.DataCentre(), clock.Now().Add(reachFor))
	}
	if err != nil && ctx.Err() == nil && status.Code(err) != codes.Canceled {
		g.Probe(owner.Name())
	}
	return a, err
}

// ownerUnsettled tells whether a refusal says that the owner is about to change or
// has only just changed, so that asking again soon may do.
func ownerUnsettled(r wire.Reason) bool {
	return r == wire.Reason_REASON_NOT_OWNER || r == wire.Reason_REASON_NOT_READY
}

// refusal turns a scheduler's refusal into the caller's answer.
func (g *Gateway) refusal(q *request, endpoint string, r *wire.Refusal) *Failure {
	retry := time.Duration(r.GetRetryMicros()) * time.Microsecond
	f := &Failure{Ran: NotRun, Retry: max(retry, time.Millisecond)}
	switch r.GetReason() {
	case wire.Reason_REASON_DEADLINE:
		f.Code, f.Message = CodeDeadline, "the wait would pass what the class or the deadline allows"
	case wire.Reason_REASON_NO_WAIT:
		f.Code, f.Message = CodeNoWait, "class "+q.class.Name()+" may not wait, and no place is free"
	case wire.Reason_REASON_QUEUE_FULL:
		f.Code, f.Message = CodeQueueFull, "too many requests wait"
	case wire.Reason_REASON_LOAD_FAILED:
		f.Code, f.Message = CodeLoadFailed, q.model.String()+" could not be loaded"
	case wire.Reason_REASON_LEAVING:
		f.Code, f.Message = CodeLeaving, endpoint+" is leaving"
	case wire.Reason_REASON_ENDPOINT_DOWN:
		f.Code, f.Message = CodeNoEndpoint, endpoint+" does not answer"
	case wire.Reason_REASON_UNKNOWN_ADAPTER:
		f.Code, f.Message = CodeNotReady, "the scheduler's configuration does not name "+q.model.String()+" yet"
	default:
		f.Code, f.Message = CodeNotReady, "refused as "+r.GetReason().String()
	}
	return f
}

// heldGrant is a grant under which one attempt runs.
type heldGrant struct {
	owner    member.Member
	grant    *wire.Grant
	endpoint string
	sendBy   time.Time
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
