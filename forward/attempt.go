// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"github.com/pkg/errors"
)

// maxBufferedBody limits a response that is not a stream, in bytes.
const maxBufferedBody = 16 << 20

// invalidResponse is the detail of a response that checkResponse does not accept.
const invalidResponse = "the response is not for this request, not signed, contradictory, or encoded"

// attempt sends the request once and relays the response; nil means that the
// caller got all of it.
func (g *Gateway) attempt(ctx context.Context, q *request, out *callerResponse, t target) *Refusal {
	g.recordTakeUp(q, t)
	d := g.newDispatch(q, t)
	defer d.finish()
	ctx, end := g.unbegun.add(ctx, q)
	defer end()
	resp, f := g.send(ctx, q, d.upstream, t, q.call.LastEventID)
	if f != nil {
		d.recordFailure(ctx, f)
		return f
	}
	defer resp.Body.Close()
	if f = g.relay(ctx, q, out, d, t, resp); f != nil && !out.callerGone {
		d.recordFailure(ctx, f)
	}
	return f
}

// send sends the request and charges its organisation's quota for it, unless it was provably not
// executed. An invalid response is a failure.
func (g *Gateway) send(ctx context.Context, q *request, u *upstream, t target, lastEvent string) (*http.Response, *Refusal) {
	g.rechargeQuota(q)
	resp, f := g.roundTrip(ctx, q, u, t, lastEvent)
	if f == nil || f.MayHaveRun {
		q.charged = 0
	}
	return resp, f
}

// roundTrip sends the request and reads the head of the response.
func (g *Gateway) roundTrip(ctx context.Context, q *request, u *upstream, t target, lastEvent string) (*http.Response, *Refusal) {
	stopWatch := g.watchSilence(u)
	resp, relayed, err := g.exchange(ctx, q, u, t, lastEvent)
	stopWatch()
	var lost *engine.NoResponseError
	switch {
	case errors.Is(err, engine.ErrExpired):
		return nil, &Refusal{Code: CodeTimeout, Unsent: true, Detail: "deadline passed before the request was sent"}
	case errors.As(err, &lost):
		return nil, g.recordLost(ctx, q, u, lost, relayed)
	case err != nil:
		return nil, &Refusal{Code: CodeBadRequest, Detail: err.Error()}
	}
	g.recordActivity(u, clock.Now())
	if f := g.checkResponse(q, u, t, resp); f != nil {
		_ = resp.Body.Close() // discarded
		return nil, f
	}
	return resp, nil
}

// recordActivity notes that data came from an endpoint.
func (g *Gateway) recordActivity(u *upstream, now time.Time) {
	u.recordActivity(now)
	g.links.recordActivity(u.endpoint.Service(), now)
	g.dataCentres.recordActivity(u.endpoint.DataCentre(), now)
}

// watchSilence counts the request as silent once its response takes longer than silentAfter. After
// silenceTimeout without any data it has the links to the endpoints checked, records a failure of the data
// centre and closes the idle connections, which may be dead too. The returned function stops the watch.
func (g *Gateway) watchSilence(u *upstream) func() {
	sent := clock.Now()
	silenceTimer := time.AfterFunc(silenceTimeout, func() {
		g.links.recordSilence(u.endpoint.Service(), sent)
		if !g.links.isCutOff(u.endpoint.Service()) {
			g.dataCentres.recordSilence(u.endpoint.DataCentre(), u.endpoint.ID(), sent, clock.Now())
		}
		u.closeIdleIfSilent(sent)
	})
	done := make(chan struct{}, 1)
	timer := time.AfterFunc(silentAfter, func() {
		u.addSilent(1)
		done <- struct{}{}
	})
	return func() {
		silenceTimer.Stop()
		if !timer.Stop() {
			<-done
			u.addSilent(-1)
		}
	}
}

// newOutbound creates the request to an endpoint, with the caller's method, path and
// body.
func (g *Gateway) newOutbound(ctx context.Context, q *request, t target, lastEvent string) (*http.Request, error) {
	target, err := targetURL(t.endpoint.Address(), q.inbound.RequestURI)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, q.inbound.Method, "http://"+t.endpoint.Address()+"/", nil)
	if err != nil {
		return nil, errors.Wrap(err, "forward: create request")
	}
	r.URL = target
	r.Host = q.inbound.Host
	r.Header = endToEnd(q.inbound.Header, g.Protocol.IsCallHeader)
	if r.Header["User-Agent"] == nil {
		r.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	if r.ContentLength = int64(len(q.body)); len(q.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(q.body)) // net/http writes it with the head, which it does only for readers that it knows
	}
	g.Protocol.SetDirectives(r.Header, Directives{
		Endpoint:    t.endpoint.ID(),
		Remaining:   q.remaining(clock.Now()),
		Priority:    q.config.Rank(q.route, q.organisation),
		HasModel:    q.service.Engine() != nil,
		Version:     t.version,
		LastEventID: lastEvent,

		Organisation: q.organisationName(),
	})
	return r, nil
}

// targetURL returns the URL with which net/http sends a request target to an address as it is written.
func targetURL(address, target string) (*url.URL, error) {
	path, query, hasQuery := strings.Cut(target, "?")
	u := &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if strings.HasPrefix(path, "//") { // net/http would write an opaque part with the scheme
		decoded, err := url.PathUnescape(path)
		if err != nil {
			return nil, errors.Wrap(err, "forward: request target")
		}
		u.Opaque, u.Path, u.RawPath = "", decoded, path
	}
	if u.RequestURI() != target {
		return nil, errors.Errorf("forward: request target %q cannot be sent as it is written", target)
	}
	return u, nil
}

// recordLost records an attempt without a response. It says nothing of the endpoint if this box's own link may have
// failed.
func (g *Gateway) recordLost(ctx context.Context, q *request, u *upstream, err *engine.NoResponseError, relayed bool) *Refusal {
	sent := err.Sent
	if ctx.Err() == nil {
		u.resetConnections()
	}
	if ctx.Err() == nil && !g.isOwnFault(u, relayed) {
		u.recordOutcome(true)
		if !sent {
			u.markDown(clock.Now())
			g.dataCentres.recordFailure(u.endpoint.DataCentre(), u.endpoint.ID(), clock.Now())
		} else {
			g.reportBroken(u, q)
		}
	}
	q.tried[u.endpoint.ID()] = true
	if !sent {
		g.recordAttempt(q, failedAttempt{outcome: "lost", proof: unsent, detail: err.Error()})
		q.unsent++
		if isDialError(err) {
			q.excluded[u.endpoint.ID()] = true
		}
		return &Refusal{Code: CodeNoEndpoint, Unsent: true, RetryAfter: g.linkRetryAfter(u.endpoint.Service(), refusedRetryAfter), Detail: err.Error()}
	}
	g.recordAttempt(q, failedAttempt{outcome: "lost", proof: noProof, detail: err.Error()})
	q.mayHaveRun = true
	q.executions++
	return &Refusal{Code: CodeNoAnswer, MayHaveRun: true, Detail: err.Error()}
}

// isDialError reports whether no connection was made. Otherwise an idle connection was broken, and the
// endpoint may still be up.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// checkResponse checks whether a response belongs to the call and whether the request was executed.
func (g *Gateway) checkResponse(q *request, u *upstream, t target, resp *http.Response) *Refusal {
	head := g.Protocol.ParseResponse(resp, q.call, t.endpoint.ID())
	if !head.MatchesCall {
		g.recordSurplus(u.endpoint.ID())
		return g.recordInvalid(q, u, resp) // nothing that it says is meant for this request
	}
	g.observeResponse(q, u, t, head)
	switch {
	case head.WrongEndpoint:
		u.markDown(clock.Now())
		return g.recordRefused(q, t, CodeNoEndpoint, failedAttempt{proof: misdirected, status: resp.StatusCode, detail: "another endpoint answered at the address"})
	case head.AdapterNotLoaded:
		g.View.RemoveAdapter(t.endpoint.ID(), q.call.Adapter)
		f := g.recordRefused(q, t, CodeNotLoaded, failedAttempt{proof: misdirected, status: resp.StatusCode, detail: "the endpoint does not hold the adapter"})
		delete(q.tried, t.endpoint.ID()) // it can be loaded there
		delete(q.excluded, t.endpoint.ID())
		q.notLoadedAt = t.endpoint.ID()
		return f
	case head.NotExecuted:
		g.notices.recordRejection(t.endpoint.ID())
		g.Limits.RequestRejected(t.endpoint.ID())
		if head.Backoff == 0 {
			u.recordRefusal(clock.Now())
		}
		return g.recordRefused(q, t, CodeRefusedByEndpoint, failedAttempt{proof: rejected, status: resp.StatusCode, detail: "the endpoint rejected the request: " + resp.Status})
	case head.IsContradictory || head.Encoded || (isSuccess(resp) && !head.Signed):
		return g.recordInvalid(q, u, resp)
	}
	if promisesNotExecuted(resp.StatusCode) {
		return g.recordUnproven(q, u, resp)
	}
	return nil
}

// recordUnproven records a response whose status promises that the request was not executed, without a proof. It is relayed only
// to callers that may repeat the request whatever happened to it.
func (g *Gateway) recordUnproven(q *request, u *upstream, resp *http.Response) *Refusal {
	g.proofCounters.unproven.Add(1)
	g.Log.Info("Endpoint refused a request without proof that it was not executed", "request", q.call.ID, "route", q.route.Name(),
		"endpoint", u.endpoint.ID(), "status", resp.StatusCode, "attempt", q.attempts)
	if q.route.IsReexecutable() {
		return nil
	}
	u.recordOutcome(true)
	q.mayHaveRun = true
	q.executions++
	q.tried[u.endpoint.ID()] = true
	detail := "the endpoint responded with " + resp.Status + " and did not say whether it executed the request"
	g.recordAttempt(q, failedAttempt{outcome: "unproven", proof: noProof, status: resp.StatusCode, detail: detail})
	return &Refusal{Code: CodeUnprovenRefusal, MayHaveRun: true, Detail: detail}
}

// recordInvalid records a response that is none: the request may have been executed.
func (g *Gateway) recordInvalid(q *request, u *upstream, resp *http.Response) *Refusal {
	u.resetConnections()
	u.recordOutcome(true)
	q.mayHaveRun = true
	q.executions++
	q.tried[u.endpoint.ID()] = true
	g.recordAttempt(q, failedAttempt{outcome: "spoilt", proof: noProof, status: resp.StatusCode, detail: invalidResponse})
	return &Refusal{Code: CodeInvalidResponse, MayHaveRun: true, Detail: invalidResponse}
}

// recordRefused records that an endpoint rejected the request without executing it.
func (g *Gateway) recordRefused(q *request, t target, c Code, a failedAttempt) *Refusal {
	q.tried[t.endpoint.ID()] = true
	q.excluded[t.endpoint.ID()] = true
	a.outcome = "refused"
	g.recordAttempt(q, a)
	retryAfter := refusedRetryAfter
	if after, known := g.earliestAvailable(g.View.Endpoints(q.service.Name()), clock.Now()); known {
		retryAfter = max(retryAfter, after)
	}
	return &Refusal{Code: c, RetryAfter: retryAfter, Detail: a.detail}
}

// relay sends the response to the caller, at once or event by event.
func (g *Gateway) relay(ctx context.Context, q *request, out *callerResponse, d *dispatch, t target, resp *http.Response) *Refusal {
	if isStream(resp) {
		return g.relayStream(ctx, q, out, d, t, resp)
	}
	u := d.upstream
	if out.buffer != nil {
		return g.relayBuffered(ctx, q, out, u, t, resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody+1))
	if err == nil && len(body) == 0 && endsWithConnection(resp) && isSuccess(resp) {
		err = io.ErrUnexpectedEOF
	}
	failed := err != nil || len(body) > maxBufferedBody
	u.recordOutcome(failed || resp.StatusCode >= http.StatusInternalServerError)
	if failed {
		return g.recordTruncated(ctx, q, u, err)
	}
	if resp.StatusCode >= http.StatusInternalServerError && g.mayRetryFailure(q, t) {
		return &Refusal{Code: CodeNoAnswer, MayHaveRun: true, Detail: "the endpoint responded with " + resp.Status}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		d.recordFailure(ctx, &Refusal{Code: CodeNoAnswer})
	}
	if len(body) > 0 && isSuccess(resp) {
		g.recordBegan(q, t.endpoint.Service())
	}
	out.writeHead(resp, len(body))
	out.write(body)
	return nil
}

func isSuccess(resp *http.Response) bool { return resp.StatusCode < http.StatusMultipleChoices }

// mayRetryFailure reports whether a repeatable request that failed at an endpoint goes to another
// one. The failed response is discarded in that case, so the retry is taken from the budget first.
func (g *Gateway) mayRetryFailure(q *request, t target) bool {
	q.executions++
	if !q.route.IsReexecutable() || q.executions >= q.route.MaxAttempts() || !q.hasAttempts() {
		return false
	}
	q.tried[t.endpoint.ID()] = true
	now := clock.Now()
	others := g.withoutLimit(g.usable(q.matching(g.View.Endpoints(q.service.Name())), q.tried, now)) // those with a rate limit may have no capacity
	if len(others) == 0 || q.remaining(now) < firstByteTime || !g.takeRetry(q, now) {
		return false
	}
	q.retryReserved, q.mayHaveRun = true, true
	return true
}

// recordTruncated records a response that broke off before any of it was relayed.
func (g *Gateway) recordTruncated(ctx context.Context, q *request, u *upstream, err error) *Refusal {
	detail := fmt.Sprintf("response is longer than %d bytes", maxBufferedBody)
	if err != nil {
		detail = err.Error()
	}
	if ctx.Err() == nil {
		u.resetConnections()
		g.reportBroken(u, q)
	}
	q.mayHaveRun = true
	q.executions++
	q.tried[u.endpoint.ID()] = true
	g.recordAttempt(q, failedAttempt{outcome: "cut", proof: noProof, detail: detail})
	return &Refusal{Code: CodeTruncated, MayHaveRun: true, Detail: detail}
}
