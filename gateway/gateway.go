// SPDX-License-Identifier: Apache-2.0

// Package gateway is the proxy for callers. For each request it obtains a grant from the scheduler that
// owns an endpoint, sends the request to that endpoint and relays the response. It retries a request that
// may have been executed only if the request is repeatable.
//
// A request for a model passes through parseRequest, runWithKey, route, acquire and attempt; a call to a plain
// service through parseServiceCall, runWithKey and callService. The gateway's own state about endpoints
// (stateCache, prefixTable, reachability) is only a hint, refreshed by replies and pings; the scheduler that owns
// an endpoint decides.
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
	"cairnwick.example/transfer"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
)

// Timeouts limit how long a gateway waits for other parts of the system.
type Timeouts struct {
	Failover time.Duration // to find an owner that responds
	KeyClaim time.Duration // to claim a key at its home, and to send a call to a plain service
	Resume   time.Duration // to reopen a stream that broke off
	Idle     time.Duration // between two lines of a stream
}

// SchedulerClients returns clients for schedulers by address.
type SchedulerClients interface {
	Scheduler(address string) wire.SchedulerClient
}

// Directory lists the schedulers of other data centres, as registered on the platform.
type Directory interface {
	Schedulers(dataCentre string) []member.Member
}

// Gateway serves callers. Set every exported field before Init.
type Gateway struct {
	Name         string // as a member
	DataCentre   string
	Catalog      func() *catalog.Catalog
	Members      *member.Table
	Probe        func(member string) // requests a heartbeat immediately
	Schedulers   SchedulerClients
	Peers        Peers
	Directory    Directory
	EngineClient *http.Client    // for requests to endpoints
	DialEngine   engine.DialFunc // opens a connection to an endpoint
	Placement    policy.Placement
	Scope        string // ScopeDataCentre or ScopeRegion: where the endpoints of an adapter may be
	RetryBudget  *policy.RetryBudget
	Timeouts     Timeouts
	RetryAfter   time.Duration // for refused callers, if nothing better is known
	MaxBody      int64         // bytes of a caller's body
	MaxResponses int64         // bytes of all complete responses that are read or written; zero: no limit
	MaxInFlight  int           // requests; more are refused
	MaxPrefixes  int           // prompt prefixes whose last endpoint is remembered; zero: none
	Decisions    *decision.History
	Log          logr.Logger

	states         *stateCache
	limits         limitTable
	backoffs       backoff.Table
	reachability   *reachability
	prefixes       *prefixTable
	calls          *schedulerCalls
	releases       chan pendingRelease
	watcher        *quarantine.Monitor
	responses      *transfer.Budget // those that are read whole
	tracker        quarantine.Tracker
	pendingReports chan *wire.EndedRequest // not yet sent to the other gateways
	inFlight       atomic.Int64
	draining       atomic.Bool
	stats          stats
}

// stats are the gateway's metrics for /debug/vars.
type stats struct {
	Duration       *metrics.Family // time to the end of the response, by class
	CallerDuration *metrics.Family // time to the end of the response, by caller
	FirstByte      *metrics.Family // time to the first byte of the response, by class
	LoadStall      *metrics.Family // time that attempts waited for loads, by class
	CodeDuration   *metrics.Family // time to the end of the response, by code
}

// The scopes of placement.
const (
	ScopeDataCentre = "data_centre"
	ScopeRegion     = "region"
)

const (
	familyLimit    = 64   // callers, classes or codes with metrics of their own
	releaseBuffer  = 1024 // grants that wait for a worker; when full, requests release their own
	releaseWorkers = 8    // concurrent release calls
)

// Init initialises internal state. Call it before Handler and Run.
func (g *Gateway) Init() {
	g.states = newStateCache()
	g.calls = newSchedulerCalls()
	g.reachability = newReachability()
	g.prefixes = newPrefixTable(g.MaxPrefixes)
	g.releases = make(chan pendingRelease, releaseBuffer)
	g.watcher = g.newWatcher()
	g.responses = &transfer.Budget{Limit: g.MaxResponses}
	g.pendingReports = make(chan *wire.EndedRequest, maxPendingReports)
	g.stats = stats{
		Duration:       metrics.NewFamily(familyLimit),
		CallerDuration: metrics.NewFamily(familyLimit),
		FirstByte:      metrics.NewFamily(familyLimit),
		LoadStall:      metrics.NewFamily(familyLimit),
		CodeDuration:   metrics.NewFamily(familyLimit),
	}
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// fullShare is the part of MaxInFlight from which IsFull is true. The rest is for requests on connections that are open
// already.
const (
	fullShareNum = 7
	fullShareDen = 8
)

// IsFull reports whether further requests may soon be refused, since too many are in flight.
func (g *Gateway) IsFull() bool {
	return g.InFlight()*fullShareDen >= int64(g.MaxInFlight)*fullShareNum
}

// Drain begins to drain: responses close their keep-alive connections. Requests in flight continue.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Run runs the background tasks until ctx ends: it releases grants, follows changes of members and of
// reachability, and detects endpoints that end under requests. It returns once all pending grants are
// released.
func (g *Gateway) Run(ctx context.Context) error {
	tasks := []daemon.Task{g.monitorMembers, g.monitorReachability, g.watcher.Run, g.runQuarantine}
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
	return g.limitInFlight(m)
}

// limitInFlight refuses requests above MaxInFlight.
func (g *Gateway) limitInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer g.inFlight.Add(-1)
		if g.inFlight.Add(1) > int64(g.MaxInFlight) {
			f := &Failure{Code: CodeOverloaded, Ran: NotRun, Message: "too many requests in flight", RetryAfter: g.RetryAfter}
			f.write(w, newRequestID())
			return
		}
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
