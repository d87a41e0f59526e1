// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cairnwick.example/engine"
	"github.com/pkg/errors"
)

var errCancelled = errors.New("cancelled")

// writeError writes an error response in the OpenAI-compatible format of model servers such as vLLM.
func writeError(w http.ResponseWriter, status int, code engine.Code, message string) {
	kind := "BadRequestError"
	if status == http.StatusNotFound {
		kind = "NotFoundError"
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(engine.ReasonHeader, string(code))
	w.WriteHeader(status)
	fmt.Fprintf(w, "{\"error\":{\"message\":%q,\"type\":%q,\"code\":%d}}\n", message, kind, status)
}

func httpStatus(c engine.Code) int {
	switch c {
	case engine.CodeNotLoaded:
		return http.StatusNotFound
	case engine.CodeStaleFence, engine.CodeNoSlot:
		return http.StatusConflict
	case engine.CodeStoreBusy:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// checkFenceLocked checks the fence of an order against the highest one seen and remembers it.
func (e *Engine) checkFenceLocked(w http.ResponseWriter, q *http.Request) bool {
	if !e.ChecksFences {
		return true
	}
	f, err := engine.ParseFence(q.Header.Get(engine.FenceHeader))
	if err != nil || f.Less(e.fence) || f == (engine.Fence{}) {
		e.counts.StaleOrders++
		writeError(w, http.StatusConflict, engine.CodeStaleFence, "stale fence: the engine has seen a higher one")
		return false
	}
	e.fence = f
	w.Header().Set(engine.FenceHeader, f.String())
	return true
}

func (e *Engine) showFence(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) claim(w http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkFenceLocked(w, q) {
		w.WriteHeader(http.StatusNoContent)
	}
}

type loadOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

func readOrder(w http.ResponseWriter, q *http.Request) (loadOrder, bool) {
	var o loadOrder
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Name == "" {
		writeError(w, http.StatusBadRequest, engine.CodeBadRequest, "lora_name: must name an adapter")
		return o, false
	}
	return o, true
}

func (e *Engine) load(w http.ResponseWriter, q *http.Request) {
	o, ok := readOrder(w, q)
	if !ok || !e.reserve(w, q, o) {
		return
	}
	content, err := e.Store(q.Context(), o.Path)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil && e.failLoads > 0 {
		e.failLoads--
		err = errors.New("load failed by test control")
	}
	if err != nil {
		e.counts.FailedLoads++
		delete(e.slots, o.Name)
		writeLoadError(w, err)
		return
	}
	e.counts.Loads++
	e.slots[o.Name] = &slot{content: content}
	w.WriteHeader(http.StatusOK)
	fmt.Fprintf(w, "Success: LoRA adapter '%s' added successfully.\n", o.Name)
}

// reserve reserves a slot for a load, or writes an error response and returns false.
func (e *Engine) reserve(w http.ResponseWriter, q *http.Request, o loadOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.OrdersLoads++
	if !e.checkFenceLocked(w, q) {
		return false
	}
	if e.slots[o.Name] != nil {
		writeError(w, http.StatusConflict, engine.CodeBadRequest, "adapter is already loaded or loading")
		return false
	}
	if len(e.slots) >= e.Slots {
		writeError(w, http.StatusConflict, engine.CodeNoSlot, "no free adapter slot")
		return false
	}
	e.slots[o.Name] = &slot{loading: true}
	return true
}

func writeLoadError(w http.ResponseWriter, err error) {
	var busy *StoreBusyError
	if errors.As(err, &busy) {
		w.Header().Set("Retry-After", strconv.Itoa(int(busy.Retry/time.Second)+1))
		writeError(w, http.StatusTooManyRequests, engine.CodeStoreBusy, err.Error())
		return
	}
	writeError(w, http.StatusServiceUnavailable, engine.CodeLoadFailed, err.Error())
}

func (e *Engine) unload(w http.ResponseWriter, q *http.Request) {
	o, ok := readOrder(w, q)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFenceLocked(w, q) {
		return
	}
	s := e.slots[o.Name]
	if s == nil || s.loading {
		writeError(w, http.StatusNotFound, engine.CodeNotLoaded, "adapter is not loaded")
		return
	}
	if e.inUseLocked(o.Name) {
		e.counts.UnloadRunning++
	}
	e.counts.Unloads++
	e.prefixes.drop(o.Name, time.Now())
	delete(e.slots, o.Name)
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	type model struct {
		ID     string  `json:"id"`
		Object string  `json:"object"`
		Parent *string `json:"parent"`
	}
	list := []model{{ID: e.Base, Object: "model"}}
	for n, s := range e.slots {
		if !s.loading {
			list = append(list, model{ID: n, Object: "model", Parent: &e.Base})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": list})
}

func (e *Engine) metrics(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.reports[len(e.reports)-1].at) > e.ReportLag { // no step ran lately, as on an overloaded machine
		e.recordReportLocked(now)
	}
	e.dropReportsLocked(now)
	r := e.reports[0]
	fmt.Fprintf(w, "# TYPE %s gauge\n%s{model_name=%q} %d\n", engine.RunningMetric, engine.RunningMetric, e.Base, len(r.running))
	fmt.Fprintf(w, "# TYPE %s gauge\n%s{model_name=%q} %d\n", engine.WaitingMetric, engine.WaitingMetric, e.Base, len(r.waiting))
	fmt.Fprintf(w, "# TYPE %s gauge\n%s{max_lora=\"%d\",running_lora_adapters=%q,waiting_lora_adapters=%q} 1\n",
		engine.AdaptersMetric, engine.AdaptersMetric, e.Slots, joinNames(r.running), joinNames(r.waiting))
}

func joinNames(names []string) string {
	names = slices.Clone(names)
	slices.Sort(names)
	return strings.Join(slices.Compact(names), ",")
}

type roleOrder struct {
	Role string `json:"role"`
}

func (e *Engine) role(w http.ResponseWriter, q *http.Request) {
	var o roleOrder
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || (o.Role != "serving" && o.Role != "leaving") {
		writeError(w, http.StatusBadRequest, engine.CodeBadRequest, `role: must be "serving" or "leaving"`)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFenceLocked(w, q) {
		return
	}
	e.leaving = time.Time{}
	if o.Role == "leaving" {
		e.leaving = time.Now()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) showCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Counts())
}

func (e *Engine) showKeys(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.keys)
}

func (e *Engine) showRuns(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.requestIDs == nil {
		e.requestIDs = []string{}
	}
	_ = json.NewEncoder(w).Encode(e.requestIDs)
}

// leave starts a shutdown by the engine's own operators. With tells=yes, responses carry the leaving header.
func (e *Engine) leave(w http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = time.Now()
	e.announcesLeaving = q.URL.Query().Get("tells") == "yes"
	w.WriteHeader(http.StatusNoContent)
}

// restart restarts the engine, with another version of its software if the query names one.
func (e *Engine) restart(w http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resetLocked()
	if q.URL.Query().Has("software") {
		e.software = q.URL.Query().Get("software")
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) setFailLoads(w http.ResponseWriter, q *http.Request) {
	n, err := strconv.Atoi(q.URL.Query().Get("count"))
	if err != nil || n < 0 {
		writeError(w, http.StatusBadRequest, engine.CodeBadRequest, "count: must be a non-negative integer")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failLoads = n
	w.WriteHeader(http.StatusNoContent)
}
