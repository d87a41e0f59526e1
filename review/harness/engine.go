// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in for a model server: it holds base models, carries out orders one at a time, checks fences, and answers
// requests with streams. Set the exported fields before start.
type engine struct {
	ID        string
	Service   string
	Zone      string
	Slots     int
	WeightsMB float64
	ModelMB   map[string]float64
	LoadTime  time.Duration
	Events    int           // of a stream
	Gap       time.Duration // between two events
	Store     *store
	Record    *record

	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	models   []string
	loading  string // model of the order under way
	fence    uint64 // the highest one seen
	sequence int
	fallen   bool
	orders   []order // accepted loads
	reports  []reportAt
}

// order is an order that the server accepted.
type order struct {
	At     time.Time
	Holder string
	Model  string
}

// reportAt is what the server reported of itself from a time on.
type reportAt struct {
	at  time.Time
	raw []byte
}

// reportLag is how old the data of a report is.
const reportLag = 200 * time.Millisecond

// start listens, and writes the server's entry.
func (e *engine) start(models ...string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.listener, e.models = l, models
	m := http.NewServeMux()
	m.HandleFunc("GET /api/report", e.report)
	m.HandleFunc("POST /api/order", e.order)
	m.HandleFunc("/", e.request)
	e.server = &http.Server{Handler: m}
	go func() { _ = e.server.Serve(l) }() // ends when the server is closed
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changedLocked()
	return nil
}

// stop closes the listener and all connections.
func (e *engine) stop() { _ = e.server.Close() }

func (e *engine) heldLocked() []any {
	list := []any{}
	for _, m := range e.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

// changedLocked writes the entry and remembers the report.
func (e *engine) changedLocked() {
	e.Store.put("servers/"+e.ID, map[string]any{"service": e.Service, "address": e.listener.Addr().String(), "zone": e.Zone,
		"version": "v1", "slots": e.Slots, "state": "ready", "cold_remaining_ms": 0, "stage": "colocated",
		"models": e.heldLocked(), "sequence": e.sequence})
	raw, err := json.Marshal(map[string]any{"stage": "colocated", "models": e.heldLocked(), "utilization": e.loading != "",
		"sequence": e.sequence, "queued": 0, "active": 0, "kv_used": 0, "kv_capacity": 219357, "handles": 0, "pending": []string{}})
	if err != nil {
		panic(err) // a value of this program
	}
	e.reports = append(e.reports, reportAt{at: time.Now(), raw: raw})
}

// isOther answers 421 to a call that expects another instance.
func (e *engine) isOther(w http.ResponseWriter, r *http.Request) bool {
	want := r.Header.Get("Expected-Instance")
	if want == "" || want == e.ID {
		return false
	}
	w.Header().Set("Instance-Id", e.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (e *engine) report(w http.ResponseWriter, r *http.Request) {
	if e.isOther(w, r) {
		return
	}
	e.mu.Lock()
	raw := e.reports[0].raw
	for _, p := range e.reports {
		if time.Since(p.at) >= reportLag {
			raw = p.raw
		}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // fails only if the caller has left
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var d struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Adapter   string `json:"adapter"`
		Holder    string `json:"holder"`
		Fence     uint64 `json:"fencing_token"`
	}
	err := json.NewDecoder(r.Body).Decode(&d)
	if e.isOther(w, r) {
		return
	}
	if err != nil || d.Holder == "" || d.Fence == 0 || d.Operation != "loading" || d.Adapter != "" || e.ModelMB[d.Model] == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := e.acceptLocked(d.Holder, d.Model, d.Fence)
	e.mu.Unlock()
	e.Record.add("server %s: %s orders it to load %s with fence %d: %d", e.ID, d.Holder, d.Model, d.Fence, status)
	w.WriteHeader(status)
}

// acceptLocked carries out an order to load a base model, and returns the status of its answer.
func (e *engine) acceptLocked(holder, model string, fence uint64) int {
	if fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = fence
	if e.loading == model {
		return http.StatusAccepted
	}
	if e.loading != "" {
		return http.StatusConflict
	}
	total := e.ModelMB[model]
	for _, m := range e.models {
		if m == model {
			return http.StatusOK
		}
		total += e.ModelMB[m]
	}
	e.orders = append(e.orders, order{At: time.Now(), Holder: holder, Model: model})
	e.sequence++
	if total > e.WeightsMB {
		e.fallen = true
		e.Record.add("server %s holds %v, is ordered by %s to load %s too, %.0f MB of %.0f MB, and falls", e.ID, e.models, holder, model, total, e.WeightsMB)
		go e.stop()
		return http.StatusAccepted
	}
	e.loading = model
	e.changedLocked()
	time.AfterFunc(e.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.models, e.loading = append(e.models, model), ""
		e.Record.add("server %s has loaded %s", e.ID, model)
		e.changedLocked()
	})
	return http.StatusAccepted
}

// request answers a request with a stream.
func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	if e.isOther(w, r) {
		return
	}
	id, model := r.Header.Get("Attempt-Id"), r.Header.Get("Model")
	w.Header().Set("Attempt-Id", id)
	e.mu.Lock()
	held := false
	for _, m := range e.models {
		held = held || m == model
	}
	e.mu.Unlock()
	if !held {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.Record.ran(id, e.ID)
	w.Header().Set("Server-Signature", e.ID+"."+id)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range e.Events {
		fmt.Fprintf(w, "id: %s\ndata: %s event %d\n\n", strconv.Itoa(i+1), id, i+1)
		_ = http.NewResponseController(w).Flush() // fails only if the caller has left
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.Gap):
		}
	}
}

// accepted returns the loads that the server accepted, and whether it has fallen.
func (e *engine) accepted() ([]order, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]order(nil), e.orders...), e.fallen
}

// hasModel reports whether the server holds a base model.
func (e *engine) hasModel() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.models) > 0
}
