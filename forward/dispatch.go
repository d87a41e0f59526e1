// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"

	"cairnwick.example/clock"
)

// dispatch is one request at one endpoint, which counts towards the endpoint's load until finish.
type dispatch struct {
	gateway             *Gateway
	request             *request
	upstream            *upstream
	run                 Run // nil if the request needs no adapter
	unreadTokens        int // prompt tokens that the endpoint has not read, including the request's: of this box, or of all if an owner chose it
	aheadTokens         int // unreadTokens, if an owner chose the endpoint; else zero
	predictedFirstToken time.Duration
	sentAt              time.Time
	promptRead          bool          // a part of the response came
	lastPartAt          time.Time     // when the latest part of the response came
	longestPause        time.Duration // between two parts of the response
}

// newDispatch records that a request is being sent to an endpoint.
func (g *Gateway) newDispatch(q *request, t target) *dispatch {
	u := g.upstream(t.endpoint)
	d := &dispatch{gateway: g, request: q, upstream: u, sentAt: clock.Now()}
	d.unreadTokens = u.startRequest(q.call.PromptTokens)
	d.predictedFirstToken = g.predictFirstToken(d.unreadTokens)
	if t.aheadTokens > 0 {
		d.unreadTokens, d.aheadTokens, d.predictedFirstToken = t.aheadTokens, t.aheadTokens, t.firstToken
	}
	if q.call.Adapter.Name != "" || isBalanced(q) {
		d.run = g.Observer.RequestStarted(t.endpoint, q.call)
	}
	g.Limits.RequestSent(t.endpoint.ID())
	g.notices.recordSent(t.endpoint.ID(), d.sentAt)
	q.attempts++
	q.responseBegan = false
	q.sentAt, q.sentTo, q.version, q.predictedFirstToken, q.firstTokenAt = d.sentAt, t.endpoint, t.version, d.predictedFirstToken, time.Time{}
	return d
}

// eventReceived records an event of the response. The first one shows that the prompt has been read.
func (d *dispatch) eventReceived(event []byte) {
	now := clock.Now()
	if !d.request.responseBegan && hasData(event) {
		d.gateway.recordBegan(d.request, d.upstream.endpoint.Service())
	}
	d.gateway.recordActivity(d.upstream, now)
	if d.promptRead {
		d.longestPause = max(d.longestPause, now.Sub(d.lastPartAt))
		d.request.maxEventGap = max(d.request.maxEventGap, d.longestPause)
		d.lastPartAt = now
		return
	}
	d.promptRead, d.lastPartAt = true, now
	d.request.firstTokenAt = now
	d.upstream.promptRead(d.request.call.PromptTokens)
	if d.run != nil {
		if d.linkFailed() {
			d.run.PromptRead(0, 0)
			return
		}
		d.run.PromptRead(d.aheadTokens, now.Sub(d.sentAt))
		d.gateway.observeFirstToken(d.unreadTokens, now.Sub(d.sentAt))
	}
}

// linkFailed reports whether this box was cut off from the endpoint's service at some time since the request was sent, so
// that its failure or its time says nothing of the endpoint.
func (d *dispatch) linkFailed() bool {
	return d.gateway.links.wasCutOffSince(d.upstream.endpoint.Service(), d.sentAt)
}

// recordFailure records that the endpoint failed the request. An adapter that is not loaded, a caller that has gone,
// a deadline that has passed and a link that has failed say nothing of the endpoint's state.
func (d *dispatch) recordFailure(ctx context.Context, f *Refusal) {
	if d.run != nil && ctx.Err() == nil && !d.linkFailed() && f.Code != CodeNotLoaded && f.Code != CodeCallerGone {
		d.run.Failed()
	}
}

// finish records that the endpoint no longer works on the request.
func (d *dispatch) finish() {
	if !d.promptRead {
		d.upstream.promptRead(d.request.call.PromptTokens)
	}
	d.upstream.endRequest()
	d.gateway.Limits.RequestEnded(d.upstream.endpoint.ID())
	if d.run != nil {
		d.run.Finished(d.longestPause)
	}
}

// observeFirstToken updates the predictor with the time that an endpoint took to its first token.
func (g *Gateway) observeFirstToken(tokens int, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.firstToken.Observe(tokens, took)
}

// PromptReadTime predicts how long an endpoint takes to read a prompt of the given length, from the
// responses that this box received.
func (g *Gateway) PromptReadTime(tokens int) time.Duration {
	return g.predictFirstToken(tokens) - g.predictFirstToken(0)
}

// predictFirstToken predicts the time to the first token while the given number of prompt tokens are unread.
func (g *Gateway) predictFirstToken(tokens int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstToken.Predict(tokens)
}
