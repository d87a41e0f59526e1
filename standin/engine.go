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

// Engine is a stand-in model server: it batches continuously, holds a few
// adapters, honours priorities and checks fences by setting. Set the exported
// fields before Run.
type Engine struct {
	Base         string
	Slots        int           // adapters held at once
	Batch        int           // requests in one step
	QueueLimit   int           // requests held back before it refuses
	StepTime     time.Duration // of one step; every request in it gets one token
	ReportLag    time.Duration // age of what /metrics says
	ResumeWindow time.Duration // how long a run goes on without its reader
	Prefill      int           // steps before the first token of a prompt whose prefix is not cached
	Prefixes     int           // prefixes cached; zero: none
	EventLag     time.Duration // before a cache event can be read
	EventGap     int           // every so many-th cache event is lost; zero: none
	ChecksFences bool
	RefusesNew   bool          // when leaving: refuses new work
	LeavingGrace time.Duration // new work this long after leaving is a breach
	Store        func(ctx context.Context, path string) (string, error)
	Other        http.Handler // serves another dialect on all paths that are not the engine's; nil: nobody does

	mu        sync.Mutex
	boot      string
	fence     engine.Fence
	slots     map[string]*slot // by adapter name; at most Slots
	runs      map[string]*run  // by request, kept for a while after they end
	waiting   []*run           // not yet in a batch
	batch     []*run           // at most Batch
	reports   []report         // recent states, oldest first; at least one
	leaving   time.Time        // zero while serving
	orders    uint64           // taken by Order since the start
	fetches   chan fetch       // loads that Run begins; has room for every slot
	failLoads int              // loads still to fail on command
	counts    Counts
	prefixes  prefixCache
	keys      map[string]int // runs by key
	ran       []string       // every run by its request's id
	limit     limit          // has a lock of its own
	backoffs  backoffs       // the same
	tells     bool           // its answers say that it leaves, while it does
}

// slot holds one adapter.
type slot struct {
	content string // what the store gave: adapter@version
	loading bool
}

// report is the state that /metrics shows once it is old enough.
type report struct {
	at      time.Time
	running []string // adapters of the batch, one entry a request
	waiting []string
}

// Counts is what the engine witnessed; every field only grows.
type Counts struct {
	UnloadRunning   int `json:"unload_running"`    // breach: an adapter in use was unloaded
	WrongVersion    int `json:"wrong_version"`     // breach: content other than asked for
	KeyTwice        int `json:"key_twice"`         // breach: a key ran a second time here
	NewAfterLeaving int `json:"new_after_leaving"` // breach: new work after the grace
	Loads           int `json:"loads"`
	FailedLoads     int `json:"failed_loads"`
	Unloads         int `json:"unloads"`
	StaleOrders     int `json:"stale_orders"` // refused by their fence
	Runs            int `json:"runs"`
	Cancelled       int `json:"cancelled"`
	Resumed         int `json:"resumed"`
	Steps           int `json:"steps"`        // steps with work
	StepTokens      int `json:"step_tokens"`  // tokens of those steps
	PrefixHits      int `json:"prefix_hits"`  // runs whose prefix was cached
	OrdersLoads     int `json:"orders_loads"` // load orders received
}

// Plus returns the sum of both counts.
func (n Counts) Plus(o Counts) Counts {
	n.UnloadRunning += o.UnloadRunning
	n.WrongVersion += o.WrongVersion
	n.KeyTwice += o.KeyTwice
	n.NewAfterLeaving += o.NewAfterLeaving
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
	return n
}

// Run steps the engine until ctx ends. It must be called once.
func (e *Engine) Run(ctx context.Context) error {
	e.init()
	tick := time.NewTicker(e.StepTime)
	defer tick.Stop()
	ended := make(chan struct{})
	for fetching := 0; ; {
		select {
		case <-ctx.Done():
			for range fetching {
				<-ended
			}
			return nil
		case f := <-e.fetches:
			fetching++
			go func() {
				e.end(ctx, f)
				ended <- struct{}{}
			}()
		case <-ended:
			fetching--
		case <-tick.C:
			e.step(time.Now())
		}
	}
}

// init prepares the engine's tables.
func (e *Engine) init() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slots == nil {
		e.restartLocked()
		e.keys = make(map[string]int)
		e.fetches = make(chan fetch, e.Slots)
	}
}

// restartLocked empties the engine as a restart does; counts stay.
func (e *Engine) restartLocked() {
	for _, r := range e.runs {
		r.finish(errors.New("engine restarted"))
	}
	e.boot = uuid.NewString()
	e.fence = engine.Fence{}
	e.orders = 0
	e.slots = make(map[string]*slot)
	e.runs = make(map[string]*run)
	e.waiting, e.batch = nil, nil
	e.reports = []report{{at: time.Now()}}
	e.prefixes = prefixCache{most: e.Prefixes, lag: e.EventLag, gap: e.EventGap, next: e.prefixes.next}
}

// step gives one token to every request of the batch.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropEndedLocked(now)
	e.fillBatchLocked()
	if len(e.batch) > 0 {
		e.counts.Steps++
		e.counts.StepTokens += len(e.batch)
	}
	for _, r := range e.batch {
		r.produce(now)
	}
	e.noteReportLocked(now)
}

// dropEndedLocked takes ended and abandoned runs out of the batch, and forgets
// runs that nobody can resume any more.
func (e *Engine) dropEndedLocked(now time.Time) {
	for _, r := range e.runs {
		if r.abandoned(now, e.ResumeWindow) {
			e.counts.Cancelled++
			r.finish(errors.New("no reader"))
		}
	}
	ended := func(r *run) bool { return r.ended() }
	e.batch = slices.DeleteFunc(e.batch, ended)
	e.waiting = slices.DeleteFunc(e.waiting, ended)
	for n, r := range e.runs {
		if r.forgettable(now, e.ResumeWindow) {
			delete(e.runs, n)
		}
	}
}

// fillBatchLocked moves waiting runs into free places by priority, then age.
func (e *Engine) fillBatchLocked() {
	slices.SortStableFunc(e.waiting, func(a, b *run) int { return a.priority - b.priority })
	free := min(e.Batch-len(e.batch), len(e.waiting))
	e.batch = append(e.batch, e.waiting[:free]...)
	e.waiting = slices.Delete(e.waiting, 0, free)
}

func (e *Engine) noteReportLocked(now time.Time) {
	e.reports = append(e.reports, report{at: now, running: adaptersOf(e.batch), waiting: adaptersOf(e.waiting)})
	e.dropReportsLocked(now)
}

// dropReportsLocked keeps the reports that are not older than the lag, and the
// newest one in any case.
func (e *Engine) dropReportsLocked(now time.Time) {
	for len(e.reports) > 1 && now.Sub(e.reports[0].at) > e.ReportLag {
		e.reports = e.reports[1:]
	}
}

func adaptersOf(runs []*run) []string {
	var names []string
	for _, r := range runs {
		names = append(names, r.model)
	}
	return names
}

// usedLocked tells whether a run of the adapter has not ended.
func (e *Engine) usedLocked(name string) bool {
	for _, r := range e.runs {
		if r.model == name && !r.ended() {
			return true
		}
	}
	return false
}

// Counts returns what the engine witnessed so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Handler serves the engine's protocol and its control paths.
func (e *Engine) Handler() http.Handler {
	e.init()
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", e.complete)
	m.HandleFunc("POST /v1/chat/completions", e.complete)
	m.HandleFunc("GET /v1/models", e.models)
	m.HandleFunc("POST /v1/load_lora_adapter", e.load)
	m.HandleFunc("POST /v1/unload_lora_adapter", e.unload)
	m.HandleFunc("GET /metrics", e.metrics)
	m.HandleFunc("GET /cairn/fence", e.look)
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
	if e.Other != nil {
		m.Handle("/", e.Other)
	}
	return e.mark(m)
}

// Leaving tells whether the engine's answers say that it leaves, for another dialect.
func (e *Engine) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tells && !e.leaving.IsZero()
}

// mark puts the fence and the boot on every answer, and whether the engine leaves.
func (e *Engine) mark(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		w.Header().Set(engine.FenceHeader, e.fence.String())
		w.Header().Set(engine.BootHeader, e.boot)
		e.mu.Unlock()
		if e.Leaving() {
			w.Header().Set(engine.LeavingHeader, "1")
		}
		next.ServeHTTP(w, r)
	})
}
