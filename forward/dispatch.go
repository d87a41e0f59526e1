// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"cairnwick.example/clock"
)

// dispatch is one request at one endpoint. It counts there until it has ended.
type dispatch struct {
	gateway   *Gateway
	request   *request
	upstream  *upstream
	run       Run // nil where the request needs no adapter
	before    int // tokens of prompts of this box that the endpoint had not read, the own ones too
	predicted time.Duration
	sent      time.Time
	read      bool      // something of the answer came
	last      time.Time // when the latest part of it came
}

// dispatchTo notes that a request is being sent to an endpoint.
func (g *Gateway) dispatchTo(q *request, t target) *dispatch {
	u := g.upstreams.of(t.endpoint)
	d := &dispatch{gateway: g, request: q, upstream: u, sent: clock.Now()}
	d.before = u.begin(q.call.PromptTokens)
	d.predicted = g.predict(d.before)
	if q.call.Adapter.Name != "" {
		d.run = g.Observer.RequestStarted(t.endpoint, q.call)
	}
	g.Limits.RequestSent(t.endpoint.ID())
	g.notices.sent(t.endpoint.ID(), d.sent)
	q.attempts++
	q.sentAt, q.sentTo, q.version, q.predicted, q.firstAt = d.sent, t.endpoint, t.version, d.predicted, time.Time{}
	return d
}

// heard notes that a part of the answer came. The first one says that the prompt is read.
func (d *dispatch) heard() {
	now := clock.Now()
	d.gateway.hear(d.upstream, now)
	if d.read {
		d.request.pause = max(d.request.pause, now.Sub(d.last))
		d.last = now
		return
	}
	d.read, d.last = true, now
	d.request.firstAt = now
	d.upstream.read(d.request.call.PromptTokens)
	if d.run != nil {
		d.run.PromptRead()
		d.gateway.learn(d.before, now.Sub(d.sent))
	}
}

// ended notes that the endpoint works on the request no more.
func (d *dispatch) ended() {
	if !d.read {
		d.upstream.read(d.request.call.PromptTokens)
	}
	d.upstream.end()
	if d.run != nil {
		d.run.Finished()
	}
}

// learn takes in how long an endpoint took to its first token.
func (g *Gateway) learn(tokens int, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.first.Observe(tokens, took)
}

// PromptReadTime returns how long endpoints take to read so many tokens of prompts, by the answers
// that this box saw.
func (g *Gateway) PromptReadTime(tokens int) time.Duration { return g.predict(tokens) - g.predict(0) }

// predict returns how long an endpoint takes to its first token after so many tokens.
func (g *Gateway) predict(tokens int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.first.Predict(tokens)
}
