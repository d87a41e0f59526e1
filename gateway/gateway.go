// SPDX-License-Identifier: Apache-2.0

// Package gateway is the proxy for callers. For each request it obtains a grant from the scheduler that
// owns an endpoint, sends the request to that endpoint and relays the response. It retries a request that
// may have been executed only if the request is repeatable.
//
// A request for a model passes through read, runKeyed, route, acquire and attempt; a call to a plain service
// through readCall, runKeyed and callService. The gateway's own state about endpoints (beliefs, prefixes,
// reach) is only a hint, refreshed by replies and pings; the scheduler that owns an endpoint decides.
//
// Lock order: no two locks of this package are held together.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"cairnwick.example/backoff"
	"cairnwick.example/catalog"
	"cairnwick.example/daemon"
	"cairnwick.example/decision"
	"cairnwick.example/engine"
	"cairnwick.example/member"
	"cairnwick.example/metrics"
	"cairnwick.example/policy"
	"cairnwick.example/quarantine"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
)

// Spans are the timeouts of a gateway.
type Spans struct {
	Failover time.Duration // to find an owner that responds
	Key      time.Duration // to claim a key at its home
	Retry    time.Duration // default Retry-After
	Resume   time.Duration // to reopen a stream that broke off
	Idle     time.Duration // between two lines of a stream
}

// Schedulers returns clients for schedulers by address.
type Schedulers interface {
	Scheduler(address string) wire.SchedulerClient
}

// Remote lists the schedulers of other data centres, as registered on the platform.
type Remote interface {
	Schedulers(dataCentre string) []member.Member
}

// Gateway serves callers. Set every exported field before Init.
type Gateway struct {
	Name        string // as a member
	Centre      string // its data centre
	Catalog     func() *catalog.Catalog
	Members     *member.Table
	Probe       func(member string) // requests a heartbeat immediately
	Schedulers  Schedulers
	Peers       Peers
	Remote      Remote
	Engines     *http.Client    // for requests to endpoints
	Dial        engine.DialFunc // opens a connection to an endpoint
	Placement   policy.Placement
	Scope       string // ScopeCentre or ScopeRegion: where the endpoints of an adapter may be
	Retries     *policy.RetryBudget
	Spans       Spans
	MaxBody     int64 // bytes of a caller's body
	MaxInFlight int   // requests; more are refused
	MaxPrefixes int   // prompt prefixes whose last endpoint is remembered; zero: none
	Record      *decision.Record
	Log         logr.Logger

	beliefs  *beliefs
	limits   limits
	backoffs backoff.Table
	reach    *reach
	prefixes *prefixes
	calls    *schedulerCalls
	releases chan release
	watch    *quarantine.Watch
	tracker  quarantine.Tracker
	ends     chan *wire.EndpointEnd // not yet reported to the other gateways
	inFlight atomic.Int64
	leaving  atomic.Bool
	stats    stats
}

// stats are the gateway's metrics for /debug/vars.
type stats struct {
	Total      *metrics.Family // time to the end of the response, by class
	Callers    *metrics.Family // time to the end of the response, by caller
	FirstToken *metrics.Family // time to the first byte of the response, by class
	Stall      *metrics.Family // time that attempts waited for loads, by class
	Codes      *metrics.Family // time to the end of the response, by code
}

// The scopes of placement.
const (
	ScopeCentre = "data_centre"
	ScopeRegion = "region"
)

const (
	familyLimit    = 64   // callers, classes or codes with metrics of their own
	releaseBuffer  = 1024 // grants that wait for a worker; when full, requests release their own
	releaseWorkers = 8    // concurrent release calls
)

// Init initialises internal state. Call it before Handler and Run.
func (g *Gateway) Init() {
	g.beliefs = newBeliefs()
	g.calls = newSchedulerCalls()
	g.reach = newReach()
	g.prefixes = newPrefixes(g.MaxPrefixes)
	g.releases = make(chan release, releaseBuffer)
	g.watch = g.newWatch()
	g.ends = make(chan *wire.EndpointEnd, endsBuffer)
	g.stats = stats{
		Total:      metrics.NewFamily(familyLimit),
		Callers:    metrics.NewFamily(familyLimit),
		FirstToken: metrics.NewFamily(familyLimit),
		Stall:      metrics.NewFamily(familyLimit),
		Codes:      metrics.NewFamily(familyLimit),
	}
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Leave begins to drain: responses close their keep-alive connections. Requests in flight continue.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Run runs the background tasks until ctx ends: it releases grants, follows changes of members and of
// reachability, and detects endpoints that end under requests. It returns once all pending grants are
// released.
func (g *Gateway) Run(ctx context.Context) error {
	tasks := []daemon.Task{g.followMembers, g.followReach, g.watch.Run, g.tellEnds}
	for range releaseWorkers {
		tasks = append(tasks, g.releaseWorker)
	}
	return daemon.RunAll(ctx, tasks...)
}

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", g.serveModel)
	m.HandleFunc("POST /v1/chat/completions", g.serveModel)
	m.HandleFunc("GET /v1/models", g.serveModels)
	m.HandleFunc("/services/{service}/{path...}", g.serveService)
	return g.bound(m)
}

// bound refuses requests above MaxInFlight.
func (g *Gateway) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer g.inFlight.Add(-1)
		if g.inFlight.Add(1) > int64(g.MaxInFlight) {
			f := &Failure{Code: CodeOverloaded, Ran: NotRun, Message: "too many requests in flight", Retry: g.Spans.Retry}
			f.write(w, newRequestID())
			return
		}
		if g.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
