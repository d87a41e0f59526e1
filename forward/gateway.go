// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"cairnwick.example/policy"
	"cairnwick.example/quarantine"
	"cairnwick.example/topology"
	"github.com/go-logr/logr"
)

// Gateway is the HTTP handler for callers' requests. Set the exported fields before
// Run and before the first request.
type Gateway struct {
	DataCentre     string
	View           *topology.View
	Protocol       Protocol
	Placer         Placer
	Observer       Observer
	Admission      Admission
	Quarantine     Quarantine
	Limits         Limits
	Origins        Origins
	Boxes          func() int                                               // boxes that share the retry budget; zero: not known yet
	LoadCost       func(dataCentre string) (cost time.Duration, known bool) // of a load there, as reported by its leader
	Unreachable    func(dataCentre string) bool                             // whether all boxes of a data centre are believed dead
	ViewDelay      func() time.Duration                                     // how far the views of boxes that reach the source lag behind it at most
	RetryLimits    func() RetryLimits                                       // of the settings in force
	ReadDelay      func() time.Duration                                     // how long requests have waited unread when they are read; nil: not at all
	OnDraining     func(endpoint string)                                    // called once for each endpoint that announces draining in a response; nil: no callback
	Relay          Relay                                                    // nil: no other box helps
	OnLinksChanged func(cutOff bool)                                        // called with whether this box is cut off from endpoints that run models and that others reach, when that may have changed; nil: no callback
	Dial           engine.DialFunc                                          // opens connections to endpoints; nil: the default dialer
	MaxInFlight    int                                                      // requests; more are refused
	MaxHeldBytes   int64                                                    // bound of request bodies and responses together; zero: none
	Log            logr.Logger
	LogBacklogged  func() bool // whether the log is behind: successes are not logged then
	Stats          *Stats

	startedAt   time.Time // when this box began to earn its shares of the retries
	upstreams   upstreams
	links       links
	notices     noticeTable
	unbegun     unbegunAttempts
	watchOnce   sync.Once
	watcher     *quarantine.Monitor // use watch
	dataCentres dataCentres
	heldOnce    sync.Once
	held        *heldBytes // use heldBytes
	inFlight    atomic.Int64
	draining    atomic.Bool
	sampleCount atomic.Uint64

	streamCounters streamCounters
	proofCounters  proofCounters

	mu         sync.Mutex
	budgets    map[string]*RetryBudget    // by service; mu is taken before a RetryBudget's
	firstToken policy.FirstTokenEstimator // of all endpoints that run models
}

// Run drops state of removed endpoints, detects endpoints that ended and probes the links to the others, until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	g.start(clock.Now())
	watched, probed := make(chan error, 1), make(chan error, 1)
	go func() { watched <- g.watch().Run(ctx) }()
	go func() { probed <- g.probeLinks(ctx) }()
	g.pruneLoop(ctx)
	if err := <-probed; err != nil {
		return err
	}
	return <-watched
}

// dial returns the function that opens connections to endpoints.
func (g *Gateway) dial() engine.DialFunc {
	if g.Dial != nil {
		return g.Dial
	}
	return newDialer().DialContext
}

// watch returns the detector of endpoints that ended; requests may come before Run.
func (g *Gateway) watch() *quarantine.Monitor {
	g.watchOnce.Do(func() { g.watcher = g.newWatch() })
	return g.watcher
}

// Ends returns counts of the endpoints that ended under requests of this box.
func (g *Gateway) Ends() quarantine.TerminationCounts { return g.watch().Counts() }

// heldBytes returns the budget of the memory for callers.
func (g *Gateway) heldBytes() *heldBytes {
	g.heldOnce.Do(func() { g.held = newHeldBytes(g.MaxHeldBytes) })
	return g.held
}

// HeldBytes returns the memory that this box uses for callers.
func (g *Gateway) HeldBytes() HeldByteCounts { return g.heldBytes().counts() }

// start sets the time from which this box earns its share of the extra retries.
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

// Drain makes all further responses close their callers' connections.
func (g *Gateway) Drain() { g.draining.Store(true) }

// fullShare is the part of MaxInFlight, or of MaxHeldBytes, from which IsFull is true. The rest is for requests on
// connections that are open already.
const (
	fullShareNum = 7
	fullShareDen = 8
)

// IsFull reports whether further requests may soon be refused, since too many are in flight or too much memory is held for
// callers.
func (g *Gateway) IsFull() bool {
	held := g.HeldBytes()
	return g.inFlight.Load()*fullShareDen >= int64(g.MaxInFlight)*fullShareNum ||
		(held.Limit > 0 && held.Bytes*fullShareDen >= held.Limit*fullShareNum)
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

func (g *Gateway) retryBudget(service string) *RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budgets == nil {
		g.budgets = make(map[string]*RetryBudget)
	}
	g.startLocked(clock.Now()) // requests may come before Run
	b := g.budgets[service]
	if b == nil {
		b = &RetryBudget{Limits: g.RetryLimits, refilledAt: g.startedAt}
		g.budgets[service] = b
	}
	return b
}

// RetryCounts returns the use of this box's retry budgets, by service.
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
	if g.ReadDelay != nil {
		received = received.Add(-g.ReadDelay())
	}
	defer g.inFlight.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	call, malformed := g.Protocol.ParseCall(r.Header) // first, so that a refusal is logged with the request's ID
	q := &request{received: received, inbound: r, connection: newCallerConn(w), call: call}
	q.connection.limitUnadmitted(clock.SystemTime(received))
	out := &callerResponse{writer: w, isCallHeader: g.Protocol.IsCallHeader}
	defer g.recoverPanic(out, q)
	defer g.releaseBody(q)
	if g.inFlight.Add(1) > int64(g.MaxInFlight) {
		g.refuse(w, q, &Refusal{Code: CodeOverloaded, RetryAfter: overloadRetryAfter})
		return
	}
	if f := g.admit(w, q, malformed); f != nil {
		g.refuse(w, q, f)
		return
	}
	q.connection.limitResponse(clock.SystemTime(q.deadline))
	ctx, cancel := context.WithDeadline(r.Context(), clock.SystemTime(q.deadline))
	defer cancel()
	if g.MaxHeldBytes > 0 {
		out.buffer = newResponseBuffer(ctx, g.heldBytes(), w, clock.SystemTime(q.deadline).Add(writeGrace), cancel)
		defer out.abandon()
	}
	f := g.findOrigin(ctx, q)
	if f == nil {
		f = g.chargeQuota(ctx, q)
	}
	if f == nil {
		f = g.serve(ctx, q, out)
		g.refundQuota(q)
	}
	if disconnected := out.finish(r.Context()); disconnected != nil {
		g.respondFailure(r.Context(), out, q, disconnected) // not ctx, which the disconnection cancelled
		return
	}
	if f != nil {
		g.respondFailure(ctx, out, q, f)
		return
	}
	g.recordSuccess(q, out)
}

// respondFailure sends the final response to a request that got none from an endpoint.
func (g *Gateway) respondFailure(ctx context.Context, out *callerResponse, q *request, f *Refusal) {
	if out.started {
		g.recordFailure(q, f, true)
		panic(http.ErrAbortHandler) // a truncated response must not look complete
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
