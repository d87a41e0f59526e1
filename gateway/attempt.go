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
	cancelTimeout = 2 * time.Second
	maxWhole      = 16 << 20 // bytes of an answer that is not streamed
	maxRefusal    = 64 << 10 // bytes read of an endpoint's refusal
)

// attempt runs the request once at the endpoint of a grant, and gives the grant
// back.
func (g *Gateway) attempt(ctx context.Context, q *request, out *answer, h heldGrant) *Failure {
	q.attempts++
	begun := clock.Now()
	g.stats.Stall.Observe(q.class.Name(), time.Duration(h.grant.GetLoadMicros())*time.Microsecond)
	r := &wire.ReleaseRequest{Endpoint: h.endpoint, Id: h.grant.GetId()}
	f := g.send(ctx, q, out, h, r)
	g.watchAttempt(ctx, q, h, f)
	if f == nil {
		g.Retries.Success()
		g.prefixes.note(q.prefix, h.endpoint, clock.Now())
	} else if f.Ran != NotRun {
		q.unsure = true
	}
	r.ServiceMicros = clock.Since(begun).Microseconds()
	g.release(h.owner, r)
	g.recordAttempt(q, h, f)
	return f
}

// watchAttempt has the endpoint looked at that broke off an answer, and notes which requests one answered.
func (g *Gateway) watchAttempt(ctx context.Context, q *request, h heldGrant, f *Failure) {
	switch {
	case f == nil:
		g.watch.Answered(q.content, clock.Now())
	case ctx.Err() == nil && f.Ran == Unknown && (f.Code == CodeLost || f.Code == CodeCut):
		g.watch.Cut(lifeOf(h), h.grant.GetAddress(), q.content)
	}
}

// send writes the request, and passes the answer on. It notes in r what the
// scheduler must know.
func (g *Gateway) send(ctx context.Context, q *request, out *answer, h heldGrant, r *wire.ReleaseRequest) *Failure {
	run := fmt.Sprintf("%s.%d", q.id, q.attempts)
	live, stop, beat := g.watchdog(ctx, q)
	defer stop()
	e, err := g.engineRequest(live, q, h, run)
	if err != nil {
		r.Outcome = wire.Outcome_OUTCOME_NOT_SENT
		return badRequest("body: %v", err)
	}
	sent := clock.Now()
	a, err := engine.Send(g.Engines, e, h.sendBy)
	if err != nil {
		return g.lost(live, h, run, r, err)
	}
	defer a.Body.Close()
	g.hearLimit(h, a.Header, sent, clock.Now())
	r.Leaving = a.Header.Get(engine.LeavingHeader) == "1"
	r.Fence = a.Header.Get(engine.FenceHeader)
	r.Boot = a.Header.Get(engine.BootHeader)
	if a.StatusCode >= http.StatusBadRequest {
		return g.refusedByEndpoint(h, a, r)
	}
	out.Header().Set(EndpointHeader, h.endpoint)
	out.Header().Set(WaitedHeader, strconv.FormatInt(h.grant.GetWaitedMicros()/1000, 10))
	out.Header().Set(StallHeader, strconv.FormatInt(h.grant.GetLoadMicros()/1000, 10))
	if q.stream {
		return g.passStream(ctx, out, stream{held: h, run: run, beat: beat}, a, r)
	}
	return g.passWhole(live, out, h, run, a, r)
}

// watchdog returns the context of an attempt. That of a stream ends when the
// endpoint is silent for too long; beat says that it is not. That of a whole
// answer ends at the request's deadline.
func (g *Gateway) watchdog(ctx context.Context, q *request) (live context.Context, stop func(), beat func()) {
	if !q.stream {
		live, cancel := context.WithDeadline(ctx, clock.Timer(q.deadline))
		return live, cancel, func() {}
	}
	live, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(g.Spans.Idle, cancel)
	stop = func() {
		timer.Stop()
		cancel()
	}
	return live, stop, func() { timer.Reset(g.Spans.Idle) }
}

func (g *Gateway) engineRequest(ctx context.Context, q *request, h heldGrant, run string) (*http.Request, error) {
	body, err := q.engineBody(h.grant.GetPriority())
	if err != nil {
		return nil, err
	}
	e, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.grant.GetAddress()+q.path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	e.Header.Set("Content-Type", "application/json")
	e.Header.Set(engine.RequestIDHeader, run)
	if q.key != "" {
		e.Header.Set(engine.KeyHeader, q.key)
	}
	return e, nil
}

// lost answers for an attempt that got no answer.
func (g *Gateway) lost(ctx context.Context, h heldGrant, run string, r *wire.ReleaseRequest, err error) *Failure {
	var l *engine.NoResponseError
	if errors.As(err, &l) && !l.Sent {
		r.Outcome = wire.Outcome_OUTCOME_NOT_SENT
		code := CodeLost
		if errors.Is(err, engine.ErrExpired) {
			code = CodeRefused // the next grant may be in time
		}
		return &Failure{Code: code, Ran: NotRun, Message: h.endpoint + " was not reached", Retry: g.Spans.Retry}
	}
	r.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	if ctx.Err() != nil {
		g.cancel(h, run, r)
	}
	return &Failure{Code: CodeLost, Ran: Unknown, Message: h.endpoint + " gave no answer", Retry: g.Spans.Retry}
}

// cancel ends a run that nobody waits for.
func (g *Gateway) cancel(h heldGrant, run string, r *wire.ReleaseRequest) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	c := &engine.Client{Address: h.grant.GetAddress(), HTTP: g.Engines}
	if err := c.Cancel(ctx, run); err != nil {
		g.Log.V(1).Info("Run was not cancelled", "request", run, "endpoint", h.endpoint, "err", err.Error())
		return
	}
	r.Outcome = wire.Outcome_OUTCOME_REFUSED // it is over, and its time says nothing
}

// refusedByEndpoint reads the endpoint's own refusal.
func (g *Gateway) refusedByEndpoint(h heldGrant, a *http.Response, r *wire.ReleaseRequest) *Failure {
	text, err := io.ReadAll(io.LimitReader(a.Body, maxRefusal))
	if err != nil {
		r.Outcome = wire.Outcome_OUTCOME_UNKNOWN
		return &Failure{Code: CodeLost, Ran: Unknown, Message: "the endpoint's refusal broke off"}
	}
	e := engine.ParseRefusal(a, text)
	if !e.NotExecuted() {
		r.Outcome = wire.Outcome_OUTCOME_UNKNOWN
		return &Failure{Code: CodeLost, Ran: Unknown, Message: e.Message, Retry: e.RetryAfter}
	}
	r.Outcome = wire.Outcome_OUTCOME_REFUSED
	r.NotLoaded = e.Code == engine.CodeNotLoaded
	r.Busy = e.Code == engine.CodeBusy
	r.Leaving = r.Leaving || e.Code == engine.CodeLeaving
	if e.Code == engine.CodeBusy {
		g.hearBackoff(h.endpoint, e.RetryAfter)
	}
	switch e.Code {
	case engine.CodeBadRequest:
		return badRequest("%s", e.Message)
	case engine.CodeLeaving:
		return &Failure{Code: CodeLeaving, Ran: NotRun, Message: e.Message, Retry: max(e.RetryAfter, time.Second)}
	}
	return &Failure{Code: CodeRefused, Ran: NotRun, Message: e.Message, Retry: max(e.RetryAfter, time.Second)}
}

// recordAttempt keeps how an attempt went.
func (g *Gateway) recordAttempt(q *request, h heldGrant, f *Failure) {
	d := g.decision(q, "run", time.Now())
	d.Endpoint = h.endpoint
	d.Reason = h.grant.GetReason()
	d.WaitedMicros = h.grant.GetWaitedMicros()
	d.Detail = "answered whole; granted by " + h.owner.Name() + " under fence " + h.grant.GetFence()
	if f != nil {
		d.Detail = f.detail()
	}
	g.Record.Add(d)
}
