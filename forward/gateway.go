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

	startedAt   time.Time // when this box began to count its shares of the retries
	upstreams   upstreams
	notices     noticeTable
	watchOnce   sync.Once
	watcher     *quarantine.Watch // by watch
	dataCentres dataCentres
	inFlight    atomic.Int64
	draining    atomic.Bool
	sampleCount atomic.Uint64

	mu         sync.Mutex
	budgets    map[string]*RetryBudget // by service; mu is taken before a Budget's
	firstToken policy.FirstToken       // of all endpoints that run models
}

// Run forgets endpoints that are gone and looks which ones ended, until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	g.start(clock.Now())
	ended := make(chan error, 1)
	go func() { ended <- g.watch().Run(ctx) }()
	g.pruneLoop(ctx)
	return <-ended
}

// watch returns what finds out which endpoints ended; a request may come before Run.
func (g *Gateway) watch() *quarantine.Watch {
	g.watchOnce.Do(func() { g.watcher = g.newWatch() })
	return g.watcher
}

// Ends returns what this box saw of endpoints that ended.
func (g *Gateway) Ends() quarantine.Ends { return g.watch().Counts() }

// start notes since when this box may save what its share of the extra retries earns.
func (g *Gateway) start(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startLocked(now)
}

func (g *Gateway) startLocked(now time.Time) {
	if g.startedAt.IsZero() {
		g.startedAt = now
	}
}

// Drain makes every further answer ask its caller to use another connection.
func (g *Gateway) Drain() { g.draining.Store(true) }

// InFlight returns how many requests are held now.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

func (g *Gateway) retryBudget(service string) *RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budgets == nil {
		g.budgets = make(map[string]*RetryBudget)
	}
	g.startLocked(clock.Now()) // a request may come before Run
	b := g.budgets[service]
	if b == nil {
		b = &RetryBudget{Limits: g.RetryLimits, refilledAt: g.startedAt}
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
	defer g.inFlight.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	call, malformed := g.Protocol.ParseCall(r.Header) // first: a refusal is logged under its ID
	q := &request{received: received, inbound: r, connection: newCallerConn(w), call: call}
	q.connection.limitUnadmitted(clock.Timer(received))
	out := &callerResponse{writer: w, isCallHeader: g.Protocol.IsCallHeader}
	defer g.recoverPanic(out, q)
	if g.inFlight.Add(1) > int64(g.MaxInFlight) {
		g.refuse(w, q, &Refusal{Code: CodeOverloaded, RetryAfter: overloadRetryAfter})
		return
	}
	if f := g.admit(w, q, malformed); f != nil {
		g.refuse(w, q, f)
		return
	}
	q.connection.limitResponse(clock.Timer(q.deadline))
	ctx, cancel := context.WithDeadline(r.Context(), clock.Timer(q.deadline))
	defer cancel()
	f := g.chargeQuota(ctx, q)
	if f == nil {
		f = g.serve(ctx, q, out)
		g.refundQuota(q)
	}
	if f != nil {
		g.respondFailure(ctx, out, q, f)
		return
	}
	g.recordSuccess(q, out)
}

// respondFailure gives the caller the final answer of a request that got none of its own.
func (g *Gateway) respondFailure(ctx context.Context, out *callerResponse, q *request, f *Refusal) {
	if out.started {
		g.recordFailure(q, f, true)
		panic(http.ErrAbortHandler) // an answer that ends early must not look whole
	}
	if q.inbound.Context().Err() != nil {
		f = &Refusal{Code: CodeCallerGone, MayHaveRun: f.MayHaveRun}
		if context.Cause(q.inbound.Context()) == ErrShutdown {
			f.Code = CodeShutdown
		}
	} else if ctx.Err() != nil && q.mayHaveRun {
		f = &Refusal{Code: CodeTimeout, MayHaveRun: true, Detail: f.Detail}
	}
	g.refuse(out.writer, q, f)
}

const overloadRetryAfter = 300 * time.Millisecond
