// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/wire"
)

// serveModel serves a completion request.
func (g *Gateway) serveModel(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	w.Header().Set(RequestHeader, id)
	startedAt := clock.Now()
	q, f := g.parseRequest(w, r, id)
	if f != nil {
		g.finishWithFailure(w, nil, id, startedAt, f)
		return
	}
	h := w.Header()
	h.Set(ModelHeader, q.model.String())
	h.Set(RevisionHeader, strconv.FormatInt(q.catalog.Revision(), 10))
	out := &callerResponse{writer: w, id: id}
	f = g.runWithKey(r.Context(), q.key, id, func() (Ran, *Failure) {
		f := g.route(r.Context(), q, out)
		return f.ran(), f
	})
	g.stats.Duration.Observe(q.class.Name(), clock.Since(startedAt))
	g.stats.CallerDuration.Observe(q.caller, clock.Since(startedAt))
	if out.started() {
		g.stats.FirstByte.Observe(q.class.Name(), out.firstByteAt.Sub(startedAt))
	}
	if f != nil {
		g.finishWithFailure(out, q, id, startedAt, f)
		return
	}
	g.stats.CodeDuration.Observe("ok", clock.Since(startedAt))
}

// finishWithFailure logs, records and sends the failure of a request. w is a *callerResponse if a response may
// have started.
func (g *Gateway) finishWithFailure(w http.ResponseWriter, q *request, id string, startedAt time.Time, f *Failure) {
	g.stats.CodeDuration.Observe(string(f.Code), clock.Since(startedAt))
	g.Log.V(1).Info("Request was not served", "request", id, "revision", q.revision(), "code", f.Code, "ran", f.Ran, "message", f.Message)
	g.recordFailure(q, id, f)
	if out, ok := w.(*callerResponse); ok {
		out.writeFailure(f)
		return
	}
	f.write(w, id)
}

// recordFailure records a failure as a decision; q is nil if the request could not be parsed.
func (g *Gateway) recordFailure(q *request, id string, f *Failure) {
	d := &wire.Decision{Request: id, UnixMicros: time.Now().UnixMicro(), Box: g.Name, Step: "answer"}
	if q != nil {
		d = g.newDecision(q, "answer", time.Now())
		d.WaitedMicros = clock.Since(q.receivedAt).Microseconds()
	}
	d.Detail = f.detail()
	g.Decisions.Add(d)
}

// newDecision returns a decision with the fields that all those about a request for a model have in common.
func (g *Gateway) newDecision(q *request, step string, now time.Time) *wire.Decision {
	return &wire.Decision{
		Request:    q.id,
		UnixMicros: now.UnixMicro(),
		Box:        g.Name,
		Step:       step,
		Adapter:    q.model.String(),
		Class:      q.class.Name(),
		Caller:     q.caller,
		Revision:   q.catalog.Revision(),
	}
}

// modelEntry is one model in the response to GET /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// serveModels lists all versions of all adapters.
func (g *Gateway) serveModels(w http.ResponseWriter, _ *http.Request) {
	c := g.Catalog()
	if c == nil {
		noConfiguration().write(w, newRequestID())
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, n := range c.Adapters() {
		a, _ := c.Adapter(n)
		for _, v := range a.Versions() {
			list.Data = append(list.Data, modelEntry{ID: n + "@" + v, Object: "model", OwnedBy: "cairnwick", Parent: a.Base()})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // fails only if the caller has disconnected
}
