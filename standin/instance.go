// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cairnwick.example/engine"
)

// The engine also speaks as an endpoint of the users' platform does: reports, orders, and
// requests to any other path. The boot is the endpoint's id. The names of that platform are
// spelled here once more, so that a wrong one in the platform's own package shows.

const (
	instanceID  = "Instance-Id"
	notExecuted = "Not-Executed"
	attemptID   = "Attempt-Id"
)

type instanceModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"` // NAME@VERSION
}

type instanceReport struct {
	Models   []instanceModel `json:"models"`
	Pending  []string        `json:"pending"` // MODEL/NAME@VERSION
	Sequence uint64          `json:"sequence"`
}

type instanceOrder struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Version   int64  `json:"version"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fencing_token"`
}

// slotOf is the name of the slot that holds an adapter of the base model.
func slotOf(model, adapter string) string { return model + "/" + adapter }

// expected tells whether a call is for this life of the engine; others are turned away.
func (e *Engine) expected(w http.ResponseWriter, q *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if want := q.Header.Get("Expected-Instance"); want == "" || want == e.boot {
		return true
	}
	w.Header().Set(instanceID, e.boot)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

// showReport tells what the engine holds.
func (e *Engine) showReport(w http.ResponseWriter, q *http.Request) {
	if !e.expected(w, q) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m := instanceModel{Name: e.Base, Version: 1, Adapters: []string{}}
	r := instanceReport{Pending: []string{}, Sequence: e.orders}
	for n, s := range e.slots {
		_, name, found := strings.Cut(n, "/")
		switch {
		case !found:
		case s.loading:
			r.Pending = append(r.Pending, slotOf(e.Base, s.content))
		default:
			m.Adapters = append(m.Adapters, name+"@"+versionOf(s.content))
		}
	}
	r.Models = []instanceModel{m}
	writeJSON(w, r)
}

func versionOf(content string) string {
	_, v, _ := strings.Cut(content, "@")
	return v
}

// order begins to load or unload what it names; one that came before changes nothing.
func (e *Engine) order(w http.ResponseWriter, q *http.Request) {
	var o instanceOrder
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 || o.Model != e.Base {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !e.expected(w, q) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	f := engine.NewFence(o.Fence, o.Holder)
	if e.ChecksFences && f.Less(e.fence) {
		e.counts.StaleOrders++
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	e.fence = f
	e.orders++
	switch {
	case o.Adapter == "":
		w.WriteHeader(http.StatusOK) // it always holds its model
	case o.Operation == "loading":
		w.WriteHeader(e.loadLocked(o))
	case o.Operation == "unloading":
		w.WriteHeader(e.unloadLocked(slotOf(o.Model, o.Adapter)))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// loadLocked takes a slot and fetches the adapter behind the answer.
func (e *Engine) loadLocked(o instanceOrder) int {
	n := slotOf(o.Model, o.Adapter)
	content := fmt.Sprintf("%s@%d", o.Adapter, max(o.Version, 1))
	switch s := e.slots[n]; {
	case s != nil && s.loading:
		return http.StatusAccepted
	case s != nil && s.content == content:
		return http.StatusOK
	case s == nil && len(e.slots) >= e.Slots:
		return http.StatusConflict
	}
	e.counts.OrdersLoads++
	s := &slot{content: content, loading: true}
	e.slots[n] = s
	e.fetches <- fetch{name: n, slot: s, path: fmt.Sprintf("adapters/%s/%d", o.Adapter, max(o.Version, 1))}
	return http.StatusAccepted
}

// fetch is a load whose order was answered before it is done.
type fetch struct {
	name string // of the slot
	slot *slot
	path string // in the store
}

// end ends a load.
func (e *Engine) end(ctx context.Context, f fetch) {
	content, err := e.Store(ctx, f.path)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slots[f.name] != f.slot {
		return // the engine restarted
	}
	if err != nil {
		e.counts.FailedLoads++
		delete(e.slots, f.name)
		return
	}
	e.counts.Loads++
	f.slot.content, f.slot.loading = content, false
}

// unloadLocked empties a slot that nobody uses.
func (e *Engine) unloadLocked(name string) int {
	if s := e.slots[name]; s == nil {
		return http.StatusOK
	} else if s.loading || e.usedLocked(name) {
		return http.StatusConflict
	}
	e.counts.Unloads++
	delete(e.slots, name)
	return http.StatusOK
}

// serveRequest runs a request of the users' platform. It streams where the caller accepts
// nothing else.
func (e *Engine) serveRequest(w http.ResponseWriter, q *http.Request) {
	if !e.expected(w, q) {
		return
	}
	id := q.Header.Get(attemptID)
	w.Header().Set(attemptID, id)
	_, text, _ := strings.Cut(q.Header.Get("Token-Usage"), ",")
	tokens, err := strconv.Atoi(text)
	if err != nil || tokens <= 0 {
		tokens = defaultTokens
	}
	r, code := e.admit(q, completion{Model: q.Header.Get("Model"), Tokens: tokens})
	switch {
	case code == engine.CodeNotLoaded:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r == nil:
		w.Header().Set(notExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.join()
	defer r.part()
	w.Header().Set("Server-Signature", r.content+"/"+id)
	if q.Header.Get("Accept") == "text/event-stream" {
		stream(q.Context(), w, r, 0)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body) // its bytes mean nothing here
	whole(q.Context(), w, r)
}
