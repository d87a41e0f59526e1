// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"context"
	"expvar"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/engine"
	"cairnwick.example/member"
	"cairnwick.example/policy"
	"cairnwick.example/settings"
	"cairnwick.example/wire"
)

// Names of the settings.
const (
	optEviction         = "eviction"
	optWeightBatch      = "weight_batch"
	optSendWindow       = "send_window"
	optVerifyInterval   = "verify"
	optOwnershipTTL     = "trust"
	optBackoff          = "backoff"
	optMaxDeferral      = "patience"
	optHalfLife         = "popularity_half_life"
	optLoadTimeout      = "order_limit"
	optStoreRate        = "store_rate"
	optStoreConcurrency = "store_at_once"
	optQueue            = "queue"
	optHomeUtilisation  = "home_share"
	optLoadWorkers      = "workers"
	optKeyClockSkew     = "key_margin"
	optKeyRetention     = "key_keep"
	optMaxKeys          = "keys"
)

// Options is the table of a scheduler's settings.
var Options = daemon.Options(settings.Table{
	{Name: optEviction, Kind: settings.Text, Default: policy.EvictExpectedReturn, Help: "expected_return or least_recently_used"},
	{Name: optWeightBatch, Kind: settings.Number, Default: 0.0, Help: "priority of short load waits (0) or of full batches (1); above 0 requests that may wait long are deferred to fill batches"},
	{Name: optSendWindow, Kind: settings.Duration, Default: time.Second, Min: time.Millisecond, Help: "time within which a grant must be used"},
	{Name: optVerifyInterval, Kind: settings.Duration, Default: 2 * time.Second, Min: time.Millisecond, Help: "time between probes of an endpoint's fence"},
	{Name: optOwnershipTTL, Kind: settings.Duration, Default: 3 * time.Second, Min: time.Millisecond, Help: "how long a probe proves ownership; above verify"},
	{Name: optBackoff, Kind: settings.Duration, Default: time.Second, Min: time.Millisecond, Help: "pause after an endpoint did not answer"},
	{Name: optMaxDeferral, Kind: settings.Duration, Default: 500 * time.Millisecond, Help: "how long a one-off request waits before it may evict an adapter"},
	{Name: optHalfLife, Kind: settings.Duration, Default: time.Minute, Min: time.Second, Help: "half-life of an adapter's popularity"},
	{Name: optLoadTimeout, Kind: settings.Duration, Default: time.Minute, Min: time.Millisecond, Help: "longest time for a load, with the unload before it"},
	{Name: optStoreRate, Kind: settings.Number, Default: 9.0, Min: 0.01, Help: "loads a second that the store allows the whole system"},
	{Name: optStoreConcurrency, Kind: settings.Count, Default: 6, Min: 1, Help: "concurrent loads that the store serves at full speed"},
	{Name: optQueue, Kind: settings.Count, Default: 256, Min: 1, Help: "requests that may wait at one endpoint"},
	{Name: optHomeUtilisation, Kind: settings.Number, Default: 0.5, Min: 0.01, Help: "how far an adapter's own load may utilise one of its homes"},
	{Name: optLoadWorkers, Kind: settings.Count, Default: 16, Min: 1, Help: "concurrent loads and unloads"},
	{Name: optKeyClockSkew, Kind: settings.Duration, Default: 3 * time.Second, Help: "tolerance for clocks and views that differ, for idempotency keys"},
	{Name: optKeyRetention, Kind: settings.Duration, Default: 10 * time.Minute, Min: time.Second, Help: "how long the outcome of an idempotency key is remembered"},
	{Name: optMaxKeys, Kind: settings.Count, Default: 50000, Min: 1, Help: "idempotency keys remembered"},
})

// maxIdleConnections is per endpoint; probes, loads and unloads need few connections at a time.
const maxIdleConnections = 4

// Serve runs a scheduler with validated settings until ctx ends.
func Serve(ctx context.Context, v settings.Values) error {
	eviction, err := policy.NewEvictionPolicy(v.Text(optEviction))
	if err != nil {
		return err
	}
	n, err := daemon.New(member.Scheduler, v)
	if err != nil {
		return err
	}
	client := n.EndpointClient(maxIdleConnections)
	s := &Scheduler{
		Name:             n.Name(),
		Box:              n.Box(),
		DataCentre:       n.DataCentre(),
		Catalog:          n.Keeper.Catalog,
		CatalogChanged:   n.Keeper.Changed,
		Members:          n.Table,
		ListedSchedulers: func() []string { return n.BoxList.SchedulerNames(n.DataCentre()) },
		Ready:            n.Ready,
		Dial:             func(address string) engine.Endpoint { return &engine.Client{Address: address, HTTP: client} },
		Eviction:         eviction,
		BatchPolicy:      policy.BatchPolicy{Fullness: v.Number(optWeightBatch)},
		Timing: Timing{
			SendWindow:         v.Duration(optSendWindow),
			VerifyInterval:     v.Duration(optVerifyInterval),
			OwnershipTTL:       v.Duration(optOwnershipTTL),
			Backoff:            v.Duration(optBackoff),
			MaxDeferral:        v.Duration(optMaxDeferral),
			PopularityHalfLife: v.Duration(optHalfLife),
			LoadTimeout:        v.Duration(optLoadTimeout),
		},
		StoreLimits:     StoreLimits{Rate: v.Number(optStoreRate), Concurrency: v.Count(optStoreConcurrency)},
		MaxQueue:        v.Count(optQueue),
		HomeUtilisation: v.Number(optHomeUtilisation),
		LoadWorkers:     v.Count(optLoadWorkers),
		Decisions:       n.Record,
		Keys:            NewKeyLedger(KeyTiming{ClockSkew: v.Duration(optKeyClockSkew), Retention: v.Duration(optKeyRetention)}, v.Count(optMaxKeys), time.Now()),
		Log:             n.Log,
	}
	s.Init()
	s.publishMetrics()
	wire.RegisterSchedulerServer(n.Server, s)
	n.Endpoints = s.Status
	n.OnPause = func(time.Duration) { s.Keys.StartTerm(time.Now()) }
	n.Drain = s.Leave
	n.Drained = func() bool { return true } // grants stay valid without their scheduler
	n.Add(s.Run)
	return n.Run(ctx)
}

// publishMetrics exports the scheduler's metrics.
func (s *Scheduler) publishMetrics() {
	expvar.Publish("scheduler_load_stall", s.stats.LoadWait)
	expvar.Publish("scheduler_wait", s.stats.Wait)
	expvar.Publish("scheduler_classes", s.stats.Classes)
	expvar.Publish("scheduler_callers", s.stats.Callers)
	expvar.Publish("scheduler_reasons", s.stats.Reasons)
	expvar.Publish("scheduler_load", s.stats.LoadTime)
	expvar.Publish("scheduler_speeds", expvar.Func(func() any { return s.endpointSpeeds() }))
	expvar.Publish("scheduler_outstanding", expvar.Func(func() any {
		grants, waiting := s.Outstanding()
		return map[string]int{"grants": grants, "waiting": waiting}
	}))
}
