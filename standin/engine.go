// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"cairnwick.example/engine"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Engine simulates a model server with continuous batching, a limited number
// of adapter slots, request priorities and, if ChecksFences is set, fencing of
// load and unload orders. Set the exported fields before calling Run.
type Engine struct {
	Base            string
	Slots           int           // adapters loaded at the same time
	BatchSize       int           // requests processed per step
	QueueLimit      int           // requests queued before further ones are rejected
	StepTime        time.Duration // duration of a step, which produces one token for every request of the batch
	ReportLag       time.Duration // age of the state that /metrics shows
	ResumeWindow    time.Duration // how long a run continues without a connected client
	PrefillSteps    int           // steps before the first token when the prompt's prefix is not cached
	PrefixCacheSize int           // zero: no cache
	EventDelay      time.Duration // delay until a cache event becomes visible
	DropEventEvery  int           // every n-th cache event is dropped; zero: none
	ChecksFences    bool
	RefusesNew      bool          // rejects new requests while leaving
	LeavingGrace    time.Duration // new requests later than this after leaving count as violations
	Store           func(ctx context.Context, path string) (string, error)
	Fallback        http.Handler  // serves all other paths, for instance another protocol; may be nil
	BaseModels      []string      // that orders may load; empty: Base is loaded all the time
	BaseModelRoom   int           // how many of them fit; an engine that is ordered to load more crashes
	BaseModelTime   time.Duration // duration of the load of a base model
	HidesRequestIDs bool          // responses do not have the request's ID
	Repeats         Repeater      // set with /control/repeat; it must wrap the listener
	LateRefusals    LateRefuser   // set with /control/refuse-late

	mu               sync.Mutex
	boot             string
	software         string // version, set by a restart
	fence            engine.Fence
	slots            map[string]*slot // by adapter name; at most Slots entries
	runs             map[string]*run  // by request ID; kept for ResumeWindow after they end
	waiting          []*run           // not yet in the batch
	batch            []*run           // at most Batch entries
	reports          []report         // recent states, oldest first; at least one
	leaving          time.Time        // zero while serving
	orderCount       uint64           // accepted by Order since the start
	loadQueue        chan asyncLoad   // loads for Run to execute; buffered for one load per slot
	failLoads        int              // how many of the next loads fail
	counts           Counts
	prefixes         prefixCache
	baseModels       baseModels
	keys             map[string]int // number of runs by idempotency key
	requestIDs       []string       // request IDs of all runs, in order
	limit            limit          // has its own lock
	backoff          backoffState   // has its own lock
	fragility        fragility      // has its own lock
	slowdown         slowdown
	announcesLeaving bool // responses carry the leaving header while the engine is leaving
}

// slot is an adapter slot that is in use.
type slot struct {
	content string // what the store returned: adapter@version
	loading bool
}

// report is a snapshot of the state, shown by /metrics once it is ReportLag old.
type report struct {
	at      time.Time
	running []string // adapters of the batch, one entry per request
	waiting []string
}

// Counts counts what the engine observed. The counters never decrease.
type Counts struct {
	UnloadRunning   int `json:"unload_running"`    // violation: an adapter in use was unloaded
	WrongVersion    int `json:"wrong_version"`     // violation: a run on another version than expected
	RepeatedKeys    int `json:"key_twice"`         // violation: an idempotency key ran again on this engine
	NewAfterLeaving int `json:"new_after_leaving"` // violation: new request after LeavingGrace
	OverLimit       int `json:"over_limit"`        // requests that arrived while BatchSize others were unfinished
	Loads           int `json:"loads"`
	FailedLoads     int `json:"failed_loads"`
	Unloads         int `json:"unloads"`
	StaleOrders     int `json:"stale_orders"` // rejected because of their fence
	Runs            int `json:"runs"`
	Cancelled       int `json:"cancelled"`
	Resumed         int `json:"resumed"`
	Steps           int `json:"steps"`        // steps with a non-empty batch
	StepTokens      int `json:"step_tokens"`  // tokens produced in these steps
	PrefixHits      int `json:"prefix_hits"`  // runs whose prompt prefix was cached
	OrdersLoads     int `json:"orders_loads"` // load orders received
	OverMemory      int `json:"over_memory"`  // violation: ordered to load more base models than it has room for
	BaseModelLoads  int `json:"base_model_loads"`
}

// Add returns the sum of both counts.
func (n Counts) Add(o Counts) Counts {
	n.UnloadRunning += o.UnloadRunning
	n.WrongVersion += o.WrongVersion
	n.RepeatedKeys += o.RepeatedKeys
	n.NewAfterLeaving += o.NewAfterLeaving
	n.OverLimit += o.OverLimit
	n.Loads += o.Loads
	n.FailedLoads += o.FailedLoads
	n.Unloads += o.Unloads
	n.StaleOrders += o.StaleOrders
	n.Runs += o.Runs
	n.Cancelled += o.Cancelled
	n.Resumed += o.Resumed
	n.Steps += o.Steps
	n.StepTokens += o.StepTokens
	n.PrefixHits += o.PrefixHits
	n.OrdersLoads += o.OrdersLoads
	n.OverMemory += o.OverMemory
	n.BaseModelLoads += o.BaseModelLoads
	return n
}

// Run executes steps and loads until ctx is done. It must be called exactly once.
func (e *Engine) Run(ctx context.Context) error {
	e.init()
	tick := time.NewTicker(e.StepTime)
	defer tick.Stop()
	ended := make(chan struct{})
	for loading := 0; ; {
		select {
		case <-ctx.Done():
			for range loading {
				<-ended
			}
			return nil
		case l := <-e.loadQueue:
			loading++
			go func() {
				e.completeLoad(ctx, l)
				ended <- struct{}{}
			}()
		case <-ended:
			loading--
		case <-tick.C:
			e.step(time.Now())
		}
	}
}

// init initializes the internal state on its first call.
func (e *Engine) init() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slots == nil {
		e.resetLocked()
		e.keys = make(map[string]int)
		e.loadQueue = make(chan asyncLoad, e.Slots)
	}
}

// resetLocked resets the engine as a process restart does, except that the counters are kept.
func (e *Engine) resetLocked() {
	for _, r := range e.runs {
		r.abort(errors.New("engine restarted"))
	}
	e.boot = uuid.NewString()
	e.fence = engine.Fence{}
	e.orderCount = 0
	e.baseModels = baseModels{}
	e.recordBaseModelsLocked(time.Now())
	e.slots = make(map[string]*slot)
	e.runs = make(map[string]*run)
	e.waiting, e.batch = nil, nil
	e.reports = []report{{at: time.Now()}}
	e.prefixes = prefixCache{capacity: e.PrefixCacheSize, delay: e.EventDelay, dropEvery: e.DropEventEvery, nextSequence: e.prefixes.nextSequence}
}

// step produces one token for every request of the batch, unless a slowdown skips the step.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeEndedLocked(now)
	if e.slowdown.skipsStep() {
		return
	}
	e.fillBatchLocked()
	if len(e.batch) > 0 {
		e.counts.Steps++
		e.counts.StepTokens += len(e.batch)
	}
	for _, r := range e.batch {
		r.produce(now)
	}
	e.recordReportLocked(now)
}

// removeEndedLocked removes ended and abandoned runs from the batch and the queue, and
// deletes runs that can no longer be resumed.
func (e *Engine) removeEndedLocked(now time.Time) {
	for _, r := range e.runs {
		if r.abandoned(now, e.ResumeWindow) {
			e.counts.Cancelled++
			r.abort(errors.New("client disconnected and did not resume in time"))
		}
	}
	ended := func(r *run) bool { return r.ended() }
	e.batch = slices.DeleteFunc(e.batch, ended)
	e.waiting = slices.DeleteFunc(e.waiting, ended)
	for n, r := range e.runs {
		if r.expired(now, e.ResumeWindow) {
			delete(e.runs, n)
		}
	}
}

// fillBatchLocked moves queued runs into the batch, ordered by priority, then by arrival.
func (e *Engine) fillBatchLocked() {
	slices.SortStableFunc(e.waiting, func(a, b *run) int { return a.priority - b.priority })
	free := min(e.BatchSize-len(e.batch), len(e.waiting))
	e.batch = append(e.batch, e.waiting[:free]...)
	e.waiting = slices.Delete(e.waiting, 0, free)
}

func (e *Engine) recordReportLocked(now time.Time) {
	e.reports = append(e.reports, report{at: now, running: adapterNames(e.batch), waiting: adapterNames(e.waiting)})
	e.dropReportsLocked(now)
}

// dropReportsLocked removes the reports that are older than ReportLag, except the
// newest one.
func (e *Engine) dropReportsLocked(now time.Time) {
	for len(e.reports) > 1 && now.Sub(e.reports[0].at) > e.ReportLag {
		e.reports = e.reports[1:]
	}
}

func adapterNames(runs []*run) []string {
	var names []string
	for _, r := range runs {
		names = append(names, r.model)
	}
	return names
}

// inUseLocked reports whether an unfinished run uses the adapter.
func (e *Engine) inUseLocked(name string) bool {
	for _, r := range e.runs {
		if r.model == name && !r.ended() {
			return true
		}
	}
	return false
}

// Counts returns a copy of the engine's counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Handler serves the engine's API and, under /control/, the test controls.
func (e *Engine) Handler() http.Handler {
	e.init()
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", e.complete)
	m.HandleFunc("POST /v1/chat/completions", e.complete)
	m.HandleFunc("GET /v1/models", e.models)
	m.HandleFunc("POST /v1/load_lora_adapter", e.load)
	m.HandleFunc("POST /v1/unload_lora_adapter", e.unload)
	m.HandleFunc("GET /metrics", e.metrics)
	m.HandleFunc("GET /cairn/fence", e.showFence)
	m.HandleFunc("PUT /cairn/fence", e.claim)
	m.HandleFunc("GET /cairn/streams/{request}", e.resume)
	m.HandleFunc("DELETE /cairn/streams/{request}", e.cancel)
	m.HandleFunc("POST /cairn/role", e.role)
	m.HandleFunc("GET /cairn/events", e.showEvents)
	m.HandleFunc("GET /control/counts", e.showCounts)
	m.HandleFunc("GET /control/keys", e.showKeys)
	m.HandleFunc("GET /control/runs", e.showRuns)
	m.HandleFunc("POST /control/leave", e.leave)
	m.HandleFunc("POST /control/restart", e.restart)
	m.HandleFunc("POST /control/fail-loads", e.setFailLoads)
	m.HandleFunc("POST /control/limit", e.setLimit)
	m.HandleFunc("GET /control/limit", e.showLimit)
	m.HandleFunc("POST /control/backoff", e.setBackoff)
	m.HandleFunc("GET /control/backoff", e.showBackoff)
	m.HandleFunc("POST /control/slowdown", e.setSlowdown)
	m.HandleFunc("POST /control/repeat", e.Repeats.setShare)
	m.HandleFunc("GET /control/repeat", e.Repeats.showCount)
	m.HandleFunc("POST /control/lose", e.Repeats.setLost)
	m.HandleFunc("POST /control/refuse-late", e.LateRefusals.set)
	m.HandleFunc("GET /control/refuse-late", e.LateRefusals.showCount)
	m.HandleFunc("GET /control/base-models", e.showBaseModels)
	m.HandleFunc("POST "+fragilityPath, e.setFragility)
	m.HandleFunc("GET "+fragilityPath, e.showFragility)
	if e.Fallback != nil {
		m.Handle("/", e.Fallback)
	}
	return e.dropWhileDown(e.withHeaders(m))
}

// Leaving reports whether responses must carry the leaving header. It is also for handlers of other protocols.
func (e *Engine) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.announcesLeaving && !e.leaving.IsZero()
}

// withHeaders sets the request ID, fence, boot, leaving and rejections headers on every response.
func (e *Engine) withHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		w.Header().Set(engine.FenceHeader, e.fence.String())
		w.Header().Set(engine.BootHeader, e.boot)
		e.mu.Unlock()
		if id := r.Header.Get(engine.RequestIDHeader); id != "" && !e.HidesRequestIDs {
			w.Header().Set(engine.RequestIDHeader, id)
		}
		if e.Leaving() {
			w.Header().Set(engine.LeavingHeader, "1")
		}
		if limit := e.RejectionLimit(); limit != "" {
			w.Header().Set(engine.RejectionsHeader, limit)
		}
		next.ServeHTTP(w, r)
	})
}
