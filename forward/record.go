// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net/http"

	"cairnwick.example/clock"
	"cairnwick.example/metrics"
)

// sampleInterval is the number of ordinary successes per log line.
const sampleInterval = 32

// maxRoutes limits the number of histograms by route.
const maxRoutes = 64

// maxOrganisations limits the number of histograms by organisation; the rest share one. A histogram takes
// 25 KB of heap, so both families stay below 4 MB.
const maxOrganisations = 64

// Stats holds the gateway's histograms.
type Stats struct {
	Routes          *metrics.Family // latency of served requests, by route
	FirstByte       *metrics.Family // time to first byte, by route
	Refusals        *metrics.Family // time to the refusal, by code
	FailedAttempts  *metrics.Family // duration of failed attempts, by outcome
	PredictionError *metrics.Family // of the time to first token, by direction

	Organisations        *metrics.Family // latency of served requests, by organisation
	OrganisationRefusals *metrics.Family // time to the refusal, by organisation and code
}

// NewStats returns empty histograms.
func NewStats() *Stats {
	return &Stats{
		Routes:          metrics.NewFamily(maxRoutes),
		FirstByte:       metrics.NewFamily(maxRoutes),
		Refusals:        metrics.NewFamily(maxRoutes),
		FailedAttempts:  metrics.NewFamily(maxRoutes),
		PredictionError: metrics.NewFamily(maxRoutes),

		Organisations:        metrics.NewFamily(maxOrganisations),
		OrganisationRefusals: metrics.NewFamily(maxOrganisations),
	}
}

// recordSuccess logs and counts a served request.
func (g *Gateway) recordSuccess(q *request, out *callerResponse) {
	now := clock.Now()
	if q.responseBegan || out.status >= http.StatusMultipleChoices { // an empty response proves nothing
		g.watch().RecordResponse(q.content, now)
	}
	g.Stats.Routes.Observe(q.route.Name(), now.Sub(q.received))
	g.Stats.FirstByte.Observe(q.route.Name(), out.firstByteAt.Sub(q.received))
	if q.organisation != nil {
		g.Stats.Organisations.Observe(q.organisationName(), now.Sub(q.received))
	}
	plain := q.attempts == 1 && out.status < 300 && out.firstByteAt.Sub(q.received) <= q.route.LatencyTarget()
	g.recordPrediction(q)
	if g.LogBacklogged() || (plain && g.sampleCount.Add(1)%sampleInterval != 0 && !g.Log.V(1).Enabled()) {
		return
	}
	g.Log.Info("Request was answered", "request", q.call.ID, "route", q.route.Name(), "organisation", q.organisationName(), "endpoint", q.sentTo.ID(),
		"software", q.sentTo.Software(), "resumes", q.call.Resumes, "adapter", q.call.Adapter.String(), "adapter_version", q.version, "config", q.config.Version(),
		"status", out.status, "attempts", q.attempts, "waited_ms", q.placementTime.Milliseconds(), "queued_ms", q.queueTime.Milliseconds(),
		"sent_ms", q.sentAt.Sub(q.received).Milliseconds(), "predicted_ms", q.predictedFirstToken.Milliseconds(),
		"first_ms", out.firstByteAt.Sub(q.received).Milliseconds(), "target_ms", q.route.LatencyTarget().Milliseconds(),
		"pause_ms", q.maxEventGap.Milliseconds(), "took_ms", now.Sub(q.received).Milliseconds())
}

// recordPrediction records the error of the predicted time to first token.
func (g *Gateway) recordPrediction(q *request) {
	if q.call.Adapter.Name == "" || q.firstTokenAt.IsZero() {
		return
	}
	actual := q.firstTokenAt.Sub(q.sentAt)
	if actual > q.predictedFirstToken {
		g.Stats.PredictionError.Observe("later", actual-q.predictedFirstToken)
		return
	}
	g.Stats.PredictionError.Observe("sooner", q.predictedFirstToken-actual)
}

// maxLoggedParts bounds the prompt parts in a log line.
const maxLoggedParts = 8

// loggedParts returns the IDs of the prompt's parts for a log line.
func (q *request) loggedParts() []string {
	return q.call.PromptParts[:min(len(q.call.PromptParts), maxLoggedParts)]
}

// failedAttempt is an attempt without a usable response.
type failedAttempt struct {
	outcome string
	proof   proof
	status  int // of the response; zero: there was none
	detail  string
}

// recordAttempt logs and counts a failed attempt.
func (g *Gateway) recordAttempt(q *request, a failedAttempt) {
	took := clock.Since(q.sentAt)
	g.Stats.FailedAttempts.Observe(a.outcome, took)
	g.proofCounters.add(a.proof)
	q.proofs = append(q.proofs, a.proof)
	g.Log.Info("Attempt failed", "request", q.call.ID, "route", q.route.Name(), "endpoint", q.sentTo.ID(),
		"software", q.sentTo.Software(), "content", q.content.String(), "parts", q.loggedParts(), "begun", !q.firstTokenAt.IsZero(), "outcome", a.outcome, "proof", string(a.proof), "status", a.status, "attempt", q.attempts, "adapter", q.call.Adapter.String(), "adapter_version", q.version,
		"took_ms", took.Milliseconds(), "cause", a.detail)
}

// recordFailure logs and counts the final response to a request that was not served.
func (g *Gateway) recordFailure(q *request, f *Refusal, started bool) {
	took := clock.Since(q.received)
	g.Stats.Refusals.Observe(string(f.Code), took)
	if q.organisation != nil {
		g.Stats.OrganisationRefusals.Observe(q.organisationName()+" "+string(f.Code), took)
	}
	route, version, endpoint, software := "", uint64(0), "", ""
	if q.route != nil {
		route = q.route.Name()
	}
	if q.config != nil {
		version = q.config.Version()
	}
	if q.sentTo != nil {
		endpoint, software = q.sentTo.ID(), q.sentTo.Software()
	}
	g.Log.Info("Request failed", "request", q.call.ID, "content", q.content.String(), "parts", q.loggedParts(), "route", route, "organisation", q.organisationName(), "reason", string(f.Code),
		"status", f.status(), "may_have_run", f.MayHaveRun, "begun", started, "adapter", q.call.Adapter.String(),
		"endpoint", endpoint, "software", software, "resumes", q.call.Resumes, "attempts", q.attempts, "proofs", q.proofs, "retry_withheld", q.retryWithheld, "config", version, "waited_ms", q.placementTime.Milliseconds(),
		"took_ms", took.Milliseconds(), "retry_ms", f.RetryAfter.Milliseconds(), "cause", f.Detail)
}
