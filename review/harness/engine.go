// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
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
	LoadTime  time.Duration // of a base model
	Adapters  int           // places for adapters
	Events    int           // of a stream
	Gap       time.Duration // between two events
	Store     *store
	Record    *record

	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	models   []string
	loading  string // model of the order under way
	adapters map[string]*adapter
	fence    uint64 // the highest one seen
	sequence int
	fallen   bool
	loads    []order // of base models, accepted
	orders   []order // all
	reports  []reportAt
}

// adapter is an adapter that a server holds or loads.
type adapter struct {
	ready     bool
	unloading bool // it goes when its last run ends
	runs      int
}

// order is an order that reached a server.
type order struct {
	At     time.Time
	Holder string
	Model  string
	Fence  uint64
	Status int // of the answer
}

// reportAt is what the server reported of itself from a time on.
type reportAt struct {
	at  time.Time
	raw []byte
}

const (
	reportLag   = 200 * time.Millisecond // how old the data of a report is
	adapterTime = 250 * time.Millisecond // the load of an adapter
	maxPending  = 4                      // adapters on their way to one server
	orderTime   = 3 * time.Millisecond   // until an order is answered
)

// start listens, and writes the server's entry.
func (e *engine) start(models ...string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.listener, e.models, e.adapters = l, models, make(map[string]*adapter)
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
		held := []string{}
		for n, a := range e.adapters {
			if a.ready && strings.HasPrefix(n, m+"/") {
				held = append(held, strings.TrimPrefix(n, m+"/")+"@1")
			}
		}
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": held})
	}
	return list
}

func (e *engine) pendingLocked() []string {
	list := []string{}
	for n, a := range e.adapters {
		if !a.ready {
			list = append(list, n+"@1")
		}
	}
	return list
}

// changedLocked writes the entry and remembers the report.
func (e *engine) changedLocked() {
	e.Store.put("servers/"+e.ID, map[string]any{"service": e.Service, "address": e.listener.Addr().String(), "zone": e.Zone,
		"version": "v1", "slots": e.Slots, "state": "ready", "cold_remaining_ms": 0, "stage": "colocated",
		"models": e.heldLocked(), "sequence": e.sequence})
	raw, err := json.Marshal(map[string]any{"stage": "colocated", "models": e.heldLocked(), "utilization": e.loading != "",
		"sequence": e.sequence, "queued": 0, "active": 0, "kv_used": 0, "kv_capacity": 219357, "handles": 0, "pending": e.pendingLocked()})
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
	if err != nil || d.Holder == "" || d.Fence == 0 || e.ModelMB[d.Model] == 0 || (d.Operation != "loading" && d.Adapter == "") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(orderTime)
	what := d.Model
	if d.Adapter != "" {
		what += "/" + d.Adapter
	}
	e.mu.Lock()
	var status int
	switch {
	case d.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case d.Adapter == "":
		e.fence = d.Fence
		status = e.acceptLocked(d.Holder, d.Model)
	case d.Operation == "loading":
		e.fence = d.Fence
		status = e.loadAdapterLocked(what)
	default:
		e.fence = d.Fence
		status = e.unloadAdapterLocked(what)
	}
	e.orders = append(e.orders, order{At: time.Now(), Holder: d.Holder, Model: what, Fence: d.Fence, Status: status})
	e.mu.Unlock()
	e.Record.add("server %s: %s orders %s of %s with fence %d: %d", e.ID, d.Holder, d.Operation, what, d.Fence, status)
	w.WriteHeader(status)
}

// loadAdapterLocked carries out an order to load an adapter.
func (e *engine) loadAdapterLocked(name string) int {
	a := e.adapters[name]
	switch {
	case a != nil && a.ready && !a.unloading:
		return http.StatusOK
	case a != nil && a.unloading:
		return http.StatusConflict
	case a != nil:
		return http.StatusAccepted
	case len(e.adapters) >= e.Adapters || len(e.pendingLocked()) >= maxPending:
		return http.StatusConflict
	}
	a = &adapter{}
	e.adapters[name] = a
	e.sequence++
	e.changedLocked()
	time.AfterFunc(adapterTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		a.ready = true
		e.changedLocked()
	})
	return http.StatusAccepted
}

// unloadAdapterLocked carries out an order to unload an adapter: at once, or when its runs have ended.
func (e *engine) unloadAdapterLocked(name string) int {
	a := e.adapters[name]
	if a == nil {
		return http.StatusOK
	}
	if !a.ready {
		return http.StatusConflict
	}
	if a.runs > 0 {
		a.unloading = true
		return http.StatusAccepted
	}
	delete(e.adapters, name)
	e.sequence++
	e.changedLocked()
	return http.StatusOK
}

// acceptLocked carries out an order to load a base model, and returns the status of its answer.
func (e *engine) acceptLocked(holder, model string) int {
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
	e.loads = append(e.loads, order{At: time.Now(), Holder: holder, Model: model, Status: http.StatusAccepted})
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
	status, a := e.beginLocked(model)
	e.mu.Unlock()
	if status != http.StatusOK {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Not-Executed", "1")
		}
		w.WriteHeader(status)
		return
	}
	defer e.end(model, a)
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

// beginLocked returns the status of the answer to a request for a model or an adapter; with 200 a run of the adapter has begun.
func (e *engine) beginLocked(name string) (int, *adapter) {
	model, _, isAdapter := strings.Cut(name, "/")
	if !slices.Contains(e.models, model) {
		return http.StatusMisdirectedRequest, nil
	}
	if !isAdapter {
		return http.StatusOK, nil
	}
	a := e.adapters[name]
	switch {
	case a == nil:
		return http.StatusMisdirectedRequest, nil
	case !a.ready || a.unloading:
		return http.StatusServiceUnavailable, nil
	}
	a.runs++
	return http.StatusOK, a
}

// end ends a run.
func (e *engine) end(name string, a *adapter) {
	if a == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.runs--; a.runs == 0 && a.unloading {
		delete(e.adapters, name)
		e.sequence++
		e.changedLocked()
	}
}

// accepted returns the loads of base models that the server accepted, and whether it has fallen.
func (e *engine) accepted() ([]order, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loads), e.fallen
}

// hasModel reports whether the server holds a base model.
func (e *engine) hasModel() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.models) > 0
}

// allOrders returns all orders that reached the server.
func (e *engine) allOrders() []order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}
