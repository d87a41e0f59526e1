// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cairnwick.example/wire"
)

// serveModel answers a completion.
func (g *Gateway) serveModel(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	w.Header().Set(RequestHeader, id)
	begun := time.Now()
	q, f := g.read(w, r, id)
	if f != nil {
		g.finish(w, nil, id, begun, f)
		return
	}
	h := w.Header()
	h.Set(ModelHeader, q.model.String())
	h.Set(RevisionHeader, strconv.FormatInt(q.catalog.Revision(), 10))
	out := &answer{writer: w, id: id, begun: begun}
	f = g.once(r.Context(), q, func() *Failure { return g.route(r.Context(), q, out) })
	g.stats.Total.Observe(q.class.Name(), time.Since(begun))
	g.stats.Callers.Observe(q.caller, time.Since(begun))
	if !out.first.IsZero() {
		g.stats.FirstToken.Observe(q.class.Name(), out.first.Sub(begun))
	}
	if f != nil {
		g.finish(out, q, id, begun, f)
		return
	}
	g.stats.Codes.Observe("ok", time.Since(begun))
}

// failureWriter is where a failure goes: a plain writer or a begun answer.
type failureWriter interface {
	Header() http.Header
	Write([]byte) (int, error)
	WriteHeader(int)
}

// finish gives a request its final answer when it has none of its own.
func (g *Gateway) finish(w failureWriter, q *request, id string, begun time.Time, f *Failure) {
	g.stats.Codes.Observe(string(f.Code), time.Since(begun))
	g.Log.V(1).Info("Request was refused", "request", id, "revision", q.revision(), "code", f.Code, "ran", f.Ran, "message", f.Message)
	g.record(q, id, f)
	if a, ok := w.(*answer); ok {
		a.fail(f)
		return
	}
	f.write(w, id)
}

// record keeps why a request got no answer.
func (g *Gateway) record(q *request, id string, f *Failure) {
	d := &wire.Decision{
		Request:    id,
		UnixMicros: time.Now().UnixMicro(),
		Box:        g.Name,
		Step:       "answer",
		Detail:     string(f.Code) + " (" + string(f.Ran) + "): " + f.Message,
	}
	if q != nil {
		d.Adapter = q.model.String()
		d.Class = q.class.Name()
		d.Caller = q.caller
		d.Revision = q.catalog.Revision()
		d.WaitedMicros = time.Since(q.arrived).Microseconds()
	}
	g.Record.Add(d)
}

// modelEntry is one line of the list of models.
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

// serveModels lists every adapter at every version.
func (g *Gateway) serveModels(w http.ResponseWriter, _ *http.Request) {
	c := g.Catalog()
	if c == nil {
		f := &Failure{Code: CodeNotReady, Ran: NotRun, Message: "no configuration yet", Retry: time.Second}
		f.write(w, newRequestID())
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
	_ = json.NewEncoder(w).Encode(list) // the caller may be gone
}
