// SPDX-License-Identifier: Apache-2.0

// Package gateway faces the callers: it holds each request until its final
// answer, asks a scheduler for a grant, streams straight from the endpoint, and
// tries again only what provably did not run.
//
// A request for a model goes through read, runKeyed, route, acquire and attempt; a call
// of a plain service through readCall, runKeyed and callService. What the gateway
// knows of endpoints are hints (beliefs, prefixes, reach), which replies and pings
// refresh; the scheduler that owns an endpoint decides.
//
// Lock order: each table has a lock of its own, taken alone.
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

// Spans are the time spans of a gateway.
type Spans struct {
	Failover time.Duration // how long a request looks for an owner that answers
	Key      time.Duration // longest wait for the home of a key
	Retry    time.Duration // said to callers when nothing better is known
	Resume   time.Duration // longest wait for a cut stream to go on
	Idle     time.Duration // a stream that is silent so long is taken for cut
}

// Schedulers reaches the schedulers by address.
type Schedulers interface {
	Scheduler(address string) wire.SchedulerClient
}

// Remote tells of the schedulers of other data centres, as the platform lists
// them.
type Remote interface {
	Schedulers(dataCentre string) []member.Member
}

// Gateway serves callers. Set every exported field before Init.
type Gateway struct {
	Name        string // as a member
	Centre      string // its data centre
	Catalog     func() *catalog.Catalog
	Members     *member.Table
	Probe       func(member string) // asks for a heartbeat now
	Schedulers  Schedulers
	Peers       Peers
	Remote      Remote
	Engines     *http.Client    // guarded connections to endpoints
	Dial        engine.DialFunc // opens a connection to an endpoint
	Placement   policy.Placement
	Scope       string // ScopeCentre or ScopeRegion: how far an adapter's homes spread
	Retries     *policy.RetryBudget
	Spans       Spans
	MaxBody     int64 // bytes of a caller's body
	MaxInFlight int   // requests held at a time
	MaxPrefixes int   // prompts' beginnings whose endpoint is remembered; zero: none
	Record      *decision.Record
	Log         logr.Logger

	beliefs  *beliefs
	limits   limits
	backoffs backoff.Table
	reach    *reach
	prefixes *prefixes
	calls    *schedulerCalls
	releases chan release
	watch    *quarantine.Monitor
	tracker  quarantine.Tracker
	ends     chan *wire.EndpointEnd // that the other gateways have not been told
	inFlight atomic.Int64
	leaving  atomic.Bool
	stats    stats
}

// stats are the gateway's figures for /debug/vars.
type stats struct {
	Total      *metrics.Family // time to the final answer, by class
	Callers    *metrics.Family // time to the final answer, by caller
	FirstToken *metrics.Family // time to the first byte of the answer, by class
	Stall      *metrics.Family // part of it spent on loads, by class
	Codes      *metrics.Family // time to the final answer, by code
}

// The scopes of an adapter's homes.
const (
	ScopeCentre = "data_centre"
	ScopeRegion = "region"
)

const (
	familyLimit    = 64   // callers, classes or codes counted apart
	releaseBuffer  = 1024 // grants that wait for a worker; above it a request gives its own back
	releaseWorkers = 8    // grants given back at a time
)

// Init prepares the tables; call it before the handler serves.
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

// InFlight returns how many requests are held now.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Leave makes readiness false and keep-alive connections end; requests that are
// held go on.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Run gives grants back, follows members and reach, and watches for endpoints that end under
// requests, until ctx ends. It returns when what was to give back is given.
func (g *Gateway) Run(ctx context.Context) error {
	tasks := []daemon.Task{g.followMembers, g.followReach, g.watch.Run, g.tellEnds}
	for range releaseWorkers {
		tasks = append(tasks, g.releaseWorker)
	}
	return daemon.RunAll(ctx, tasks...)
}

// Handler serves the callers' protocol.
func (g *Gateway) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", g.serveModel)
	m.HandleFunc("POST /v1/chat/completions", g.serveModel)
	m.HandleFunc("GET /v1/models", g.serveModels)
	m.HandleFunc("/services/{service}/{path...}", g.serveService)
	return g.bound(m)
}

// bound refuses what would be too much to hold.
func (g *Gateway) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer g.inFlight.Add(-1)
		if g.inFlight.Add(1) > int64(g.MaxInFlight) {
			f := &Failure{Code: CodeOverloaded, Ran: NotRun, Message: "too many requests are held", Retry: g.Spans.Retry}
			f.write(w, newRequestID())
			return
		}
		if g.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
