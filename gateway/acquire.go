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

// acquire requests a grant from the endpoint's owner. While ownership changes, it retries until
// the failover timeout.
func (g *Gateway) acquire(ctx context.Context, q *request, endpoint, dataCentre string) (heldGrant, *Failure) {
	timeout := g.Timeouts.Failover
	if dataCentre != g.DataCentre {
		timeout = remoteFailover // rather try the next endpoint than search long in another data centre
	}
	deadline := clock.Now().Add(min(timeout, q.remaining()))
	hint := "" // the owner, as named by a scheduler that is not
	for {
		if owner, ok := g.ownerOf(endpoint, dataCentre, hint); ok {
			h, refusal := g.requestGrant(ctx, q, owner, endpoint)
			if h.grant != nil {
				return h, nil
			}
			if refusal != nil && !isOwnershipChanging(refusal.GetReason()) {
				return heldGrant{}, g.refusalFailure(q, endpoint, refusal)
			}
			hint = refusal.GetOwner()
		}
		if ctx.Err() != nil || clock.Now().After(deadline) {
			return heldGrant{}, &Failure{Code: CodeNotReady, Ran: NotRun, Message: "no scheduler that owns " + endpoint + " responded", RetryAfter: g.RetryAfter}
		}
		sleep(ctx, failoverInterval)
	}
}

// requestGrant requests a grant once and caches the endpoint's state from the reply. If the call fails,
// it returns neither a grant nor a refusal.
func (g *Gateway) requestGrant(ctx context.Context, q *request, owner member.Member, endpoint string) (heldGrant, *wire.Refusal) {
	sentAt := clock.Now()
	reply, err := g.callAcquire(ctx, q, owner, endpoint)
	if err != nil {
		return heldGrant{}, nil
	}
	g.states.update(endpoint, q.model.String(), reply.GetFacts(), clock.Now())
	grant := reply.GetGrant()
	if grant == nil {
		return heldGrant{}, reply.GetRefusal()
	}
	g.states.addGrants(endpoint, 1)
	sendBy := sentAt.Add(time.Duration(grant.GetSendMicros()) * time.Microsecond)
	return heldGrant{owner: owner, grant: grant, endpoint: endpoint, adapter: q.model.String(), sendBy: sendBy}, nil
}

// callAcquire calls Acquire at the owner. If the call fails the owner is probed, so that a dead one is
// detected sooner.
func (g *Gateway) callAcquire(ctx context.Context, q *request, owner member.Member, endpoint string) (*wire.AcquireReply, error) {
	target := owner.Name()
	if owner.DataCentre() != g.DataCentre {
		target = dataCentreTarget(owner.DataCentre())
	}
	call, cancel := g.calls.withTarget(ctx, target)
	defer cancel()
	reply, err := g.Schedulers.Scheduler(owner.Address()).Acquire(call, &wire.AcquireRequest{
		Request:    q.id,
		Endpoint:   endpoint,
		Adapter:    q.model.String(),
		Class:      q.class.Name(),
		Caller:     q.caller,
		WaitMicros: q.maxWait().Microseconds(),
		Revision:   q.catalog.Revision(),
		Box:        g.Name,
		Width:      int32(q.width),
		Limit:      g.limits.get(endpoint, clock.Now()),

		PromptTokens:   int64(q.promptTokens),
		DeadlineMicros: max(q.remaining().Microseconds(), 1), // zero means that it is not known
	})
	if err == nil && owner.DataCentre() != g.DataCentre {
		g.reachability.extend(owner.DataCentre(), clock.Now().Add(reachableTTL))
	}
	if err != nil && ctx.Err() == nil && status.Code(err) != codes.Canceled {
		g.Probe(owner.Name())
	}
	return reply, err
}

// isOwnershipChanging reports whether a refusal means that the owner is about to change or has just
// changed, so that a retry shortly after may succeed.
func isOwnershipChanging(r wire.Reason) bool {
	return r == wire.Reason_REASON_NOT_OWNER || r == wire.Reason_REASON_NOT_READY
}

// refusalFailure converts a scheduler's refusal to a failure for the caller.
func (g *Gateway) refusalFailure(q *request, endpoint string, r *wire.Refusal) *Failure {
	retryAfter := time.Duration(r.GetRetryMicros()) * time.Microsecond
	f := &Failure{Ran: NotRun, RetryAfter: max(retryAfter, time.Millisecond)}
	switch r.GetReason() {
	case wire.Reason_REASON_DEADLINE:
		f.Code, f.Message = CodeDeadlineUnreachable, "the expected wait exceeds the limit of the class or the deadline"
	case wire.Reason_REASON_NO_WAIT:
		f.Code, f.Message = CodeNoCapacity, "no free capacity, and class "+q.class.Name()+" does not queue"
	case wire.Reason_REASON_QUEUE_FULL:
		f.Code, f.Message = CodeQueueFull, "the queue is full"
	case wire.Reason_REASON_LOAD_FAILED:
		f.Code, f.Message = CodeLoadFailed, q.model.String()+" could not be loaded"
	case wire.Reason_REASON_LEAVING:
		f.Code, f.Message = CodeLeaving, endpoint+" or its scheduler is shutting down"
	case wire.Reason_REASON_ENDPOINT_DOWN:
		f.Code, f.Message = CodeNoEndpoint, endpoint+" is down"
	case wire.Reason_REASON_UNKNOWN_ADAPTER:
		f.Code, f.Message = CodeNotReady, "the scheduler's configuration has no "+q.model.String()+" yet"
	default:
		f.Code, f.Message = CodeNotReady, "scheduler refused the request: "+r.GetReason().String()
	}
	return f
}

// heldGrant is a grant for one attempt.
type heldGrant struct {
	owner    member.Member
	grant    *wire.Grant
	endpoint string
	adapter  string    // with its version
	sendBy   time.Time // when the grant expires if the request has not been sent
}

// sleep returns after d, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
