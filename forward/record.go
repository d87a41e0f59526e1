// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"cairnwick.example/clock"
	"cairnwick.example/metrics"
)

// sampleEvery is how many ordinary successes share one log line.
const sampleEvery = 32

// mostRoutes bounds the histograms by route.
const mostRoutes = 64

// mostOrganisations bounds the histograms by organisation; the rest share one. A histogram takes
// 25 KB of heap, so that both families stay below 4 MB.
const mostOrganisations = 64

// Stats are the gateway's histograms.
type Stats struct {
	Routes          *metrics.Family // time to the end of served requests, by route
	FirstByte       *metrics.Family // time to the first byte, by route
	Refusals        *metrics.Family // time to the refusal, by code
	FailedAttempts  *metrics.Family // time of failed attempts, by what became of them
	PredictionError *metrics.Family // how far the predicted time to the first token was off, by which way

	Organisations        *metrics.Family // time to the end of served requests, by organisation
	OrganisationRefusals *metrics.Family // time to the refusal, by organisation and code
}

// NewStats returns empty histograms.
func NewStats() *Stats {
	return &Stats{
		Routes:          metrics.NewFamily(mostRoutes),
		FirstByte:       metrics.NewFamily(mostRoutes),
		Refusals:        metrics.NewFamily(mostRoutes),
		FailedAttempts:  metrics.NewFamily(mostRoutes),
		PredictionError: metrics.NewFamily(mostRoutes),

		Organisations:        metrics.NewFamily(mostOrganisations),
		OrganisationRefusals: metrics.NewFamily(mostOrganisations),
	}
}

// note records a request that was served.
func (g *Gateway) note(q *request, out *answer) {
	now := clock.Now()
	g.watch().Answered(q.content, now)
	g.Stats.Routes.Observe(q.route.Name(), now.Sub(q.received))
	g.Stats.FirstByte.Observe(q.route.Name(), out.first.Sub(q.received))
	if q.organisation != nil {
		g.Stats.Organisations.Observe(q.payer(), now.Sub(q.received))
	}
	plain := q.attempts == 1 && out.status < 300 && out.first.Sub(q.received) <= q.route.Target()
	g.notePrediction(q)
	if g.LogBacklogged() || (plain && g.sampled.Add(1)%sampleEvery != 0 && !g.Log.V(1).Enabled()) {
		return
	}
	g.Log.Info("Request was answered", "request", q.call.ID, "route", q.route.Name(), "organisation", q.payer(), "endpoint", q.sentTo.ID(),
		"adapter", q.call.Adapter.String(), "adapter_version", q.version, "config", q.config.Version(),
		"status", out.status, "attempts", q.attempts, "waited_ms", q.waited.Milliseconds(), "queued_ms", q.queued.Milliseconds(),
		"sent_ms", q.sentAt.Sub(q.received).Milliseconds(), "predicted_ms", q.predicted.Milliseconds(),
		"first_ms", out.first.Sub(q.received).Milliseconds(), "target_ms", q.route.Target().Milliseconds(),
		"pause_ms", q.pause.Milliseconds(), "took_ms", now.Sub(q.received).Milliseconds())
}

// notePrediction records how far off the predicted time to the first token was.
func (g *Gateway) notePrediction(q *request) {
	if q.call.Adapter.Name == "" || q.firstAt.IsZero() {
		return
	}
	seen := q.firstAt.Sub(q.sentAt)
	if seen > q.predicted {
		g.Stats.PredictionError.Observe("later", seen-q.predicted)
		return
	}
	g.Stats.PredictionError.Observe("sooner", q.predicted-seen)
}

// recordAttempt records an attempt that brought no answer.
func (g *Gateway) recordAttempt(q *request, what, detail string) {
	took := clock.Since(q.sentAt)
	g.Stats.FailedAttempts.Observe(what, took)
	g.Log.Info("Attempt failed", "request", q.call.ID, "route", q.route.Name(), "endpoint", q.sentTo.ID(),
		"content", q.content.String(), "outcome", what, "attempt", q.attempts, "adapter", q.call.Adapter.String(), "adapter_version", q.version,
		"took_ms", took.Milliseconds(), "cause", detail)
}

// recordFailure records the final answer of a request that was not served.
func (g *Gateway) recordFailure(q *request, f *Refusal, begun bool) {
	took := clock.Since(q.received)
	g.Stats.Refusals.Observe(string(f.Code), took)
	if q.organisation != nil {
		g.Stats.OrganisationRefusals.Observe(q.payer()+" "+string(f.Code), took)
	}
	route, version, endpoint := "", uint64(0), ""
	if q.route != nil {
		route = q.route.Name()
	}
	if q.config != nil {
		version = q.config.Version()
	}
	if q.sentTo != nil {
		endpoint = q.sentTo.ID()
	}
	g.Log.Info("Request failed", "request", q.call.ID, "content", q.content.String(), "route", route, "organisation", q.payer(), "reason", string(f.Code),
		"status", f.status(), "may_have_run", f.MayHaveRun, "begun", begun, "adapter", q.call.Adapter.String(),
		"endpoint", endpoint, "attempts", q.attempts, "retry_withheld", q.withheld, "config", version, "waited_ms", q.waited.Milliseconds(),
		"took_ms", took.Milliseconds(), "retry_ms", f.RetryAfter.Milliseconds(), "cause", f.Detail)
}
