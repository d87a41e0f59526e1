// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/policy"
	"cairnwick.example/quarantine"
	"cairnwick.example/topology"
	"github.com/go-logr/logr"
)

// Gateway answers callers. Set the exported fields before Run and before the
// first request.
type Gateway struct {
	DataCentre    string
	View          *topology.View
	Protocol      Protocol
	Placer        Placer
	Observer      Observer
	Admission     Admission
	Quarantine    Quarantine
	Limits        Limits
	Boxes         func() int                                               // boxes that share the budget of retries; zero: not known yet
	LoadCost      func(dataCentre string) (cost time.Duration, known bool) // of a load there, by who decides for its endpoints
	Unreachable   func(dataCentre string) bool                             // whether all boxes of a data centre are believed dead: it is out of touch
	RetryLimits   func() RetryLimits                                       // by the settings in force
	OnDraining    func(endpoint string)                                    // hears which endpoint said in an answer that it leaves; nil: nobody does
	MaxInFlight   int                                                      // requests held at a time; more are refused
	Log           logr.Logger
	LogBacklogged func() bool // whether the log is behind: successes are not logged then
	Stats         *Stats

	begun     time.Time // when this box began to count its shares of the retries
	upstreams upstreams
	notices   notices
	watchOnce sync.Once
	watched   *quarantine.Watch // by watch
	centres   centres
	held      atomic.Int64
	leaving   atomic.Bool
	sampled   atomic.Uint64

	mu      sync.Mutex
	budgets map[string]*RetryBudget // by service; mu is taken before a Budget's
	first   policy.FirstToken       // of all endpoints that run models
}

// Run forgets endpoints that are gone and looks which ones ended, until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	g.begin(clock.Now())
	ended := make(chan error, 1)
	go func() { ended <- g.watch().Run(ctx) }()
	g.forget(ctx)
	return <-ended
}

// watch returns what finds out which endpoints ended; a request may come before Run.
func (g *Gateway) watch() *quarantine.Watch {
	g.watchOnce.Do(func() { g.watched = g.newWatch() })
	return g.watched
}

// Ends returns what this box saw of endpoints that ended.
func (g *Gateway) Ends() quarantine.Ends { return g.watch().Counts() }

// begin notes since when this box may save what its share of the extra retries earns.
func (g *Gateway) begin(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beginLocked(now)
}

func (g *Gateway) beginLocked(now time.Time) {
	if g.begun.IsZero() {
		g.begun = now
	}
}

// Drain makes every further answer ask its caller to use another connection.
func (g *Gateway) Drain() { g.leaving.Store(true) }

// InFlight returns how many requests are held now.
func (g *Gateway) InFlight() int { return int(g.held.Load()) }

func (g *Gateway) budget(service string) *RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budgets == nil {
		g.budgets = make(map[string]*RetryBudget)
	}
	g.beginLocked(clock.Now()) // a request may come before Run
	b := g.budgets[service]
	if b == nil {
		b = &RetryBudget{Limits: g.RetryLimits, at: g.begun}
		g.budgets[service] = b
	}
	return b
}

// RetryCounts returns what this box did with its shares of the retries, by service.
func (g *Gateway) RetryCounts() map[string]RetryCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make(map[string]RetryCounts, len(g.budgets))
	for s, b := range g.budgets {
		counts[s] = b.Counts()
	}
	return counts
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := clock.Now()
	defer g.held.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	call, malformed := g.Protocol.ParseCall(r.Header) // first: a refusal is logged under its ID
	q := &request{received: received, inbound: r, caller: newCaller(w), call: call}
	q.caller.begin(clock.Timer(received))
	out := &answer{writer: w, describes: g.Protocol.IsCallHeader}
	defer g.recovered(out, q)
	if g.held.Add(1) > int64(g.MaxInFlight) {
		g.refuse(w, q, &Refusal{Code: CodeOverloaded, RetryAfter: overloadRetry})
		return
	}
	if f := g.admit(w, q, malformed); f != nil {
		g.refuse(w, q, f)
		return
	}
	q.caller.admitted(clock.Timer(q.deadline))
	ctx, cancel := context.WithDeadline(r.Context(), clock.Timer(q.deadline))
	defer cancel()
	f := g.spend(ctx, q)
	if f == nil {
		f = g.serve(ctx, q, out)
		g.giveBack(q)
	}
	if f != nil {
		g.fail(ctx, out, q, f)
		return
	}
	g.note(q, out)
}

// fail gives the caller the final answer of a request that got none of its own.
func (g *Gateway) fail(ctx context.Context, out *answer, q *request, f *Refusal) {
	if out.begun {
		g.recordFailure(q, f, true)
		panic(http.ErrAbortHandler) // an answer that ends early must not look whole
	}
	if q.inbound.Context().Err() != nil {
		f = &Refusal{Code: CodeInvalidAnswer, MayHaveRun: f.MayHaveRun}
		if context.Cause(q.inbound.Context()) == ErrShutdown {
			f.Code = CodeShutdown
		}
	} else if ctx.Err() != nil && q.mayHaveRun {
		f = &Refusal{Code: CodeTimeout, MayHaveRun: true, Detail: f.Detail}
	}
	g.refuse(out.writer, q, f)
}

const overloadRetry = 300 * time.Millisecond
