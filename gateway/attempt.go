// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
)

const (
	cancelTimeout   = 2 * time.Second
	maxBufferedBody = 16 << 20 // bytes of a response that is not streamed
	maxErrorBody    = 64 << 10 // bytes read of an endpoint's error response
)

// attempt sends the request once to the endpoint of a grant, and releases the grant.
func (g *Gateway) attempt(ctx context.Context, q *request, out *callerResponse, h heldGrant) *Failure {
	q.attempts++
	q.responseBegan, q.responded, q.cancelled = false, false, false
	startedAt := clock.Now()
	g.stats.LoadStall.Observe(q.class.Name(), time.Duration(h.grant.GetLoadMicros())*time.Microsecond)
	r := &wire.ReleaseRequest{Endpoint: h.endpoint, Id: h.grant.GetId()}
	f := g.send(ctx, q, out, h, r)
	g.reportAttempt(ctx, q, h, f)
	if f == nil {
		g.RetryBudget.RecordSuccess()
		g.prefixes.record(q.prefix, h.endpoint, clock.Now())
	} else if f.Ran != NotRun {
		q.mayHaveRun = true
	}
	r.ServiceMicros = clock.Since(startedAt).Microseconds()
	p := pendingRelease{owner: h.owner, request: r, address: h.grant.GetAddress(), runID: q.runID(), responded: q.responded, adapter: h.adapter}
	if q.cancelled {
		p.runID = ""
	}
	g.release(p)
	g.recordAttempt(q, h, f)
	return f
}

// runID identifies the execution of the latest attempt at its endpoint.
func (q *request) runID() string { return fmt.Sprintf("%s.%d", q.id, q.attempts) }

// reportAttempt reports the outcome to the termination detector: a response that broke off has it check the
// endpoint, and a request that was answered is not suspected.
func (g *Gateway) reportAttempt(ctx context.Context, q *request, h heldGrant, f *Failure) {
	switch {
	case f == nil:
		g.responseBegan(q)
		g.watcher.RecordResponse(q.content, clock.Now())
	case ctx.Err() == nil && f.Ran == MayHaveRun && (f.Code == CodeNoResponse || f.Code == CodeTruncated):
		g.watcher.RecordInterruption(incarnationOf(h), h.grant.GetAddress(), q.suspect())
	}
}

// send sends the request and relays the response. It sets in r what the scheduler needs to know
// about the outcome.
func (g *Gateway) send(ctx context.Context, q *request, out *callerResponse, h heldGrant, r *wire.ReleaseRequest) *Failure {
	runID := q.runID()
	attemptCtx, stop, resetIdle := g.attemptContext(ctx, q)
	defer stop()
	if q.key == "" {
		attemptCtx = engine.WithAbandon(attemptCtx)
	}
	req, err := g.engineRequest(attemptCtx, q, h, runID)
	if err != nil {
		r.Outcome = wire.Outcome_OUTCOME_NOT_SENT
		return badRequest("body: %v", err)
	}
	sentAt := clock.Now()
	resp, err := engine.Call(g.EngineClient, req, h.sendBy)
	if err != nil {
		return g.sendFailure(attemptCtx, q, h, r, err)
	}
	defer resp.Body.Close()
	q.responded = resp.IsIdentified()
	if !q.responded && resp.StatusCode < http.StatusMultipleChoices { // it may be for another request
		return g.sendFailure(attemptCtx, q, h, r, &engine.NoResponseError{Sent: true, Cause: engine.ErrForeignResponse})
	}
	g.observeLimit(h, resp.Header, sentAt, clock.Now())
	r.Leaving = resp.Header.Get(engine.LeavingHeader) == "1"
	r.Fence = resp.Header.Get(engine.FenceHeader)
	r.Boot = resp.Header.Get(engine.BootHeader)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return g.endpointFailure(h, resp, r)
	}
	out.Header().Set(EndpointHeader, h.endpoint)
	out.Header().Set(WaitedHeader, strconv.FormatInt(h.grant.GetWaitedMicros()/1000, 10))
	out.Header().Set(StallHeader, strconv.FormatInt(h.grant.GetLoadMicros()/1000, 10))
	if q.stream {
		return g.relayStream(ctx, out, streamRun{request: q, held: h, sentAt: sentAt, runID: runID, resetIdle: resetIdle}, resp.Response, r)
	}
	return g.relayComplete(attemptCtx, out, h, runID, resp.Response, r)
}

// attemptContext returns the context of an attempt. For a stream it ends after an idle timeout, which
// resetIdle restarts. For any other response it ends at the request's deadline.
func (g *Gateway) attemptContext(ctx context.Context, q *request) (attemptCtx context.Context, stop func(), resetIdle func()) {
	if !q.stream {
		attemptCtx, cancel := context.WithDeadline(ctx, clock.SystemTime(q.deadline))
		return attemptCtx, cancel, func() {}
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(g.Timeouts.Idle, cancel)
	stop = func() {
		timer.Stop()
		cancel()
	}
	return attemptCtx, stop, func() { timer.Reset(g.Timeouts.Idle) }
}

// engineRequest returns the request to the endpoint; runID identifies the execution there.
func (g *Gateway) engineRequest(ctx context.Context, q *request, h heldGrant, runID string) (*http.Request, error) {
	body, err := q.engineBody(h.grant.GetPriority())
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.grant.GetAddress()+q.path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engine.RequestIDHeader, runID)
	if q.key != "" {
		req.Header.Set(engine.KeyHeader, q.key)
	}
	return req, nil
}

// sendFailure returns the failure of an attempt that got no response. An execution that is cancelled then may still begin: the
// cancellation can overtake the request, and endpoints confirm the cancellation of runs that they do not know.
func (g *Gateway) sendFailure(ctx context.Context, q *request, h heldGrant, r *wire.ReleaseRequest, err error) *Failure {
	var lost *engine.NoResponseError
	if errors.As(err, &lost) && !lost.Sent {
		r.Outcome = wire.Outcome_OUTCOME_NOT_SENT
		code := CodeNoResponse
		if errors.Is(err, engine.ErrExpired) {
			code = CodeRefusedByEndpoint // may be retried here: the next grant may still be valid when the request is sent
		}
		return &Failure{Code: code, Ran: NotRun, Message: "request was not sent to " + h.endpoint, RetryAfter: g.RetryAfter}
	}
	r.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	if ctx.Err() != nil {
		q.cancelled = g.cancelExecution(h.grant.GetAddress(), q.runID(), h.endpoint, cancelTimeout)
	}
	return &Failure{Code: CodeNoResponse, Ran: MayHaveRun, Message: h.endpoint + " sent no response", RetryAfter: g.RetryAfter}
}

// cancelExecution cancels an execution at the endpoint: its caller has left, its time is over, or its response broke off. It
// reports whether the endpoint confirmed that. An execution that had begun to respond has ended then.
func (g *Gateway) cancelExecution(address, runID, endpoint string, timeout time.Duration) bool {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	c := &engine.Client{Address: address, HTTP: g.EngineClient}
	if err := c.Cancel(ctx, runID); err != nil {
		g.Log.V(1).Info("Execution could not be cancelled", "request", runID, "endpoint", endpoint, "err", err.Error())
		return false
	}
	return true
}

// endpointFailure reads an error response of the endpoint.
func (g *Gateway) endpointFailure(h heldGrant, resp *engine.Response, r *wire.ReleaseRequest) *Failure {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil {
		r.Outcome = wire.Outcome_OUTCOME_UNKNOWN
		return &Failure{Code: CodeNoResponse, Ran: MayHaveRun, Message: "the error response of " + h.endpoint + " was truncated"}
	}
	refused := resp.Refusal(text)
	r.NotLoaded = refused.Code == engine.CodeNotLoaded
	if !refused.NotExecuted() {
		r.Outcome = wire.Outcome_OUTCOME_UNKNOWN
		return unprovenFailure(refused)
	}
	r.Outcome = wire.Outcome_OUTCOME_REFUSED
	r.Busy = refused.Code == engine.CodeBusy
	r.Leaving = r.Leaving || refused.Code == engine.CodeLeaving
	if refused.Code == engine.CodeBusy {
		g.observeBackoff(h.endpoint, refused.RetryAfter)
	}
	switch refused.Code {
	case engine.CodeBadRequest:
		return badRequest("%s", refused.Message)
	case engine.CodeLeaving:
		return &Failure{Code: CodeLeaving, Ran: NotRun, Message: refused.Message, RetryAfter: max(refused.RetryAfter, time.Second)}
	}
	return &Failure{Code: CodeRefusedByEndpoint, Ran: NotRun, Message: refused.Message, RetryAfter: max(refused.RetryAfter, time.Second)}
}

// unprovenFailure returns the failure of a request that its endpoint refused without a proof that it was not executed. What the
// endpoint says is wrong decides whether another attempt may succeed, if the request is repeatable.
func unprovenFailure(refused *engine.RefusedError) *Failure {
	f := &Failure{Code: CodeNoResponse, Ran: MayHaveRun, Message: refused.Message, RetryAfter: refused.RetryAfter}
	switch refused.Code {
	case engine.CodeBadRequest:
		f.Code, f.RetryAfter = CodeBadRequest, 0
	case engine.CodeNotLoaded:
		f.Code, f.RetryAfter = CodeRefusedByEndpoint, max(refused.RetryAfter, time.Second)
	}
	return f
}

// recordAttempt records the outcome of an attempt as a decision.
func (g *Gateway) recordAttempt(q *request, h heldGrant, f *Failure) {
	d := g.newDecision(q, "run", time.Now())
	d.Endpoint = h.endpoint
	d.Reason = h.grant.GetReason()
	d.WaitedMicros = h.grant.GetWaitedMicros()
	d.Detail = "answered whole; granted by " + h.owner.Name() + " under fence " + h.grant.GetFence()
	if f != nil {
		d.Detail = f.detail()
	}
	g.Decisions.Add(d)
}
