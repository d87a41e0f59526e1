// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync/atomic"
	"time"

	"cairnwick.example/forward/origin"
	"cairnwick.example/topology"
)

// StreamCounts counts the streams of routes that allow them to be resumed.
type StreamCounts struct {
	Begun   int64 `json:"begun"`    // their first event was relayed
	Resumed int64 `json:"resumed"`  // broke off, and were sent to another endpoint within the same response
	TakenUp int64 `json:"taken_up"` // broke off, and a caller's next attempt was sent to an endpoint
}

// streamCounters are the counters behind StreamCounts.
type streamCounters struct {
	begun, resumed, takenUp atomic.Int64
}

// Streams returns counts of the streams that may be resumed.
func (g *Gateway) Streams() StreamCounts {
	c := &g.streamCounters
	return StreamCounts{Begun: c.begun.Load(), Resumed: c.resumed.Load(), TakenUp: c.takenUp.Load()}
}

// streamBegan records the first event of a response, from which on the stream goes on only at what began it.
func (g *Gateway) streamBegan(q *request, e *topology.Endpoint) {
	if q.origin == nil {
		o := origin.Of(e)
		q.origin = &o
	}
	if q.route.Kind() != topology.Streaming || !q.route.IsReexecutable() {
		return
	}
	attempt := q.call.Resumes
	if !q.takesUpStream() {
		g.streamCounters.begun.Add(1)
		attempt = q.call.ID
	}
	if attempt == "" {
		return // the caller continues a stream without naming it, and can't name it later either
	}
	g.Origins.StreamBegan(origin.NewKey(q.content, attempt), *q.origin, maxStreamAge(q.route))
}

const (
	// resumeGrace is added to the longest age of a stream: clocks and delays differ.
	resumeGrace = 5 * time.Second
	// maxTakeUps is how many attempts of a caller, each of which lasts for the route's timeout, a stream may consist of.
	maxTakeUps = 4
	// minStreamAge is how long after its first event a caller may come back for the rest of any stream, whatever the route's timeout.
	minStreamAge = time.Minute
)

// maxStreamAge returns how long ago a stream that a caller resumes may have begun. A caller that names no deadline may come back
// later than the route's timeout, and a stream that was taken up may break off again.
func maxStreamAge(r *topology.Route) time.Duration {
	return max(maxTakeUps*r.Timeout(), minStreamAge) + resumeGrace
}

// findOrigin finds out what began the stream that the caller resumes, and selects the service that did. Other software can't
// continue it, so it is refused if that is not known, or if the route no longer leads there.
func (g *Gateway) findOrigin(ctx context.Context, q *request) *Refusal {
	if !q.takesUpStream() {
		return nil
	}
	query := OriginQuery{Age: maxStreamAge(q.route)}
	query.Service, _ = q.route.SoleService()
	if q.call.Resumes != "" {
		query.Key, query.HasKey = origin.NewKey(q.content, q.call.Resumes), true
	}
	o, known := g.Origins.FindOrigin(ctx, query)
	if !known {
		return &Refusal{Code: CodeStreamUnknown, Final: true, Detail: "no box that answers knows what software began the stream"}
	}
	if !q.route.LeadsTo(o.Service) || q.config.Service(o.Service) == nil {
		return &Refusal{Code: CodeStreamLost, Final: true, Detail: "the route no longer leads to the service that began the stream: " + o.Service}
	}
	q.origin, q.service = &o, q.config.Service(o.Service)
	return nil
}

// newSoftwareFor returns for how much longer a request must not go to an endpoint, where it may begin a resumable stream: boxes that
// have not learned of the endpoint's software yet may take another version for the only one.
func (g *Gateway) newSoftwareFor(q *request, e *topology.Endpoint) time.Duration {
	if !q.mayBeginResumable() {
		return 0
	}
	return g.View.SoftwareNewFor(e.Service(), e.Software(), g.ViewDelay())
}

// mayBeginResumable reports whether the request may begin a stream that may be resumed.
func (q *request) mayBeginResumable() bool {
	return q.origin == nil && q.route.Kind() == topology.Streaming && q.route.Resumable()
}

// withoutNewSoftware returns the endpoints of the list whose software is not too new for a request, and the time until the first of
// the others may be used; zero if there are no others.
func (g *Gateway) withoutNewSoftware(q *request, list []*topology.Endpoint) (known []*topology.Endpoint, wait time.Duration) {
	for _, e := range list {
		left := g.newSoftwareFor(q, e)
		if left == 0 {
			known = append(known, e)
		} else if wait == 0 || left < wait {
			wait = left
		}
	}
	return known, wait
}

// matches reports whether the request may go to an endpoint, by the origin of the stream that it continues.
func (q *request) matches(e *topology.Endpoint) bool { return q.origin == nil || q.origin.Matches(e) }

// matching returns the endpoints of the list that the request may go to, by the origin of the stream that it continues.
func (q *request) matching(list []*topology.Endpoint) []*topology.Endpoint {
	if q.origin == nil {
		return list
	}
	return q.origin.Filter(list)
}

// takesUpStream reports whether the caller asks for the rest of a stream whose events it has in part.
func (q *request) takesUpStream() bool {
	return q.route.Kind() == topology.Streaming && (q.call.LastEventID != "" || q.call.Resumes != "")
}

// recordTakeUp logs and counts the next attempt of a caller for the rest of a stream.
func (g *Gateway) recordTakeUp(q *request, t target) {
	if !q.takesUpStream() {
		return
	}
	g.streamCounters.takenUp.Add(1)
	g.Log.Info("Stream is taken up", "request", q.call.ID, "route", q.route.Name(), "resumes", q.call.Resumes, "last_event", q.call.LastEventID,
		"endpoint", t.endpoint.ID(), "software", t.endpoint.Software())
}

// recordResumption logs and counts a stream that goes on at another endpoint within the same response.
func (g *Gateway) recordResumption(q *request, t target, lastEvent string) {
	g.streamCounters.resumed.Add(1)
	began := ""
	if q.origin != nil {
		began = q.origin.Software
	}
	g.Log.Info("Stream is resumed", "request", q.call.ID, "route", q.route.Name(), "last_event", lastEvent,
		"began_software", began, "endpoint", t.endpoint.ID(), "software", t.endpoint.Software())
}
