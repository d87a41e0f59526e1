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

// The options of a scheduler.
const (
	optEviction   = "eviction"
	optBatch      = "weight_batch"
	optSendWindow = "send_window"
	optVerify     = "verify"
	optTrust      = "trust"
	optBackoff    = "backoff"
	optPatience   = "patience"
	optHalfLife   = "popularity_half_life"
	optOrderLimit = "order_limit"
	optStoreRate  = "store_rate"
	optStoreMost  = "store_at_once"
	optQueue      = "queue"
	optHomeShare  = "home_share"
	optWorkers    = "workers"
	optKeyMargin  = "key_margin"
	optKeyKeep    = "key_keep"
	optKeys       = "keys"
)

// Options is the table of a scheduler's settings.
var Options = daemon.Options(settings.Table{
	{Name: optEviction, Kind: settings.Text, Default: policy.EvictReturn, Help: "expected_return or least_recently_used"},
	{Name: optBatch, Kind: settings.Number, Default: 0.0, Help: "what is weighed: 0 load stalls first, 1 batch fullness first; above 0 requests that may wait long are held for fuller batches"},
	{Name: optSendWindow, Kind: settings.Duration, Default: time.Second, Least: time.Millisecond, Help: "a grant must be used within it"},
	{Name: optVerify, Kind: settings.Duration, Default: 2 * time.Second, Least: time.Millisecond, Help: "time between looks at an endpoint's fence"},
	{Name: optTrust, Kind: settings.Duration, Default: 3 * time.Second, Least: time.Millisecond, Help: "how long a look vouches for ownership; above verify"},
	{Name: optBackoff, Kind: settings.Duration, Default: time.Second, Least: time.Millisecond, Help: "pause after an endpoint gave no answer"},
	{Name: optPatience, Kind: settings.Duration, Default: 500 * time.Millisecond, Help: "how long a one-off request is held back before it evicts"},
	{Name: optHalfLife, Kind: settings.Duration, Default: time.Minute, Least: time.Second, Help: "half-life of popularity"},
	{Name: optOrderLimit, Kind: settings.Duration, Default: time.Minute, Least: time.Millisecond, Help: "longest load or unload"},
	{Name: optStoreRate, Kind: settings.Number, Default: 9.0, Least: 0.01, Help: "loads a second that the store allows to all"},
	{Name: optStoreMost, Kind: settings.Count, Default: 6, Least: 1, Help: "loads that the store serves at full speed at once"},
	{Name: optQueue, Kind: settings.Count, Default: 256, Least: 1, Help: "requests that may wait at one endpoint"},
	{Name: optHomeShare, Kind: settings.Number, Default: 0.5, Least: 0.01, Help: "how full an adapter's own load may make one of its homes"},
	{Name: optWorkers, Kind: settings.Count, Default: 16, Least: 1, Help: "orders carried out at a time"},
	{Name: optKeyMargin, Kind: settings.Duration, Default: 3 * time.Second, Help: "allowance for clocks and views that differ, for keys"},
	{Name: optKeyKeep, Kind: settings.Duration, Default: 10 * time.Minute, Least: time.Second, Help: "how long the outcome of a key is remembered"},
	{Name: optKeys, Kind: settings.Count, Default: 50000, Least: 1, Help: "keys remembered"},
})

// idlePerEndpoint is for looks at the fence and orders, of which few go at once.
const idlePerEndpoint = 4

// Serve runs a scheduler with checked settings until ctx ends.
func Serve(ctx context.Context, v settings.Values) error {
	evict, err := policy.NewEviction(v.Text(optEviction))
	if err != nil {
		return err
	}
	n, err := daemon.New(member.Scheduler, v)
	if err != nil {
		return err
	}
	client := n.EndpointClient(idlePerEndpoint)
	s := &Scheduler{
		Name:     n.Name(),
		Box:      n.Box(),
		Centre:   n.DataCentre(),
		Catalog:  n.Keeper.Catalog,
		Changed:  n.Keeper.Changed,
		Members:  n.Table,
		Listed:   func() []string { return n.BoxList.SchedulerNames(n.DataCentre()) },
		Ready:    n.Ready,
		Dial:     func(address string) engine.Endpoint { return &engine.Client{Address: address, HTTP: client} },
		Eviction: evict,
		Weights:  policy.Weights{Batch: v.Number(optBatch)},
		Spans: Spans{
			SendWindow: v.Duration(optSendWindow),
			Verify:     v.Duration(optVerify),
			Trust:      v.Duration(optTrust),
			Backoff:    v.Duration(optBackoff),
			Patience:   v.Duration(optPatience),
			HalfLife:   v.Duration(optHalfLife),
			OrderLimit: v.Duration(optOrderLimit),
		},
		Store:     Store{Rate: v.Number(optStoreRate), AtOnce: v.Count(optStoreMost)},
		QueueMost: v.Count(optQueue),
		HomeShare: v.Number(optHomeShare),
		Workers:   v.Count(optWorkers),
		Record:    n.Record,
		Keys:      NewKeys(KeySpans{Margin: v.Duration(optKeyMargin), Keep: v.Duration(optKeyKeep)}, v.Count(optKeys), time.Now()),
		Log:       n.Log,
	}
	s.Init()
	s.publish()
	wire.RegisterSchedulerServer(n.Server, s)
	n.Endpoints = s.Status
	n.OnPause = func(time.Duration) { s.Keys.NewTenure(time.Now()) }
	n.Drain = s.Leave
	n.Drained = func() bool { return true } // grants stay good without their scheduler
	n.Add(s.Run)
	return n.Run(ctx)
}

// publish exports the scheduler's figures.
func (s *Scheduler) publish() {
	expvar.Publish("scheduler_load_stall", s.stats.Stall)
	expvar.Publish("scheduler_wait", s.stats.Queue)
	expvar.Publish("scheduler_classes", s.stats.Classes)
	expvar.Publish("scheduler_callers", s.stats.Callers)
	expvar.Publish("scheduler_reasons", s.stats.Reasons)
	expvar.Publish("scheduler_load", s.stats.Load)
	expvar.Publish("scheduler_outstanding", expvar.Func(func() any {
		grants, waiting := s.Outstanding()
		return map[string]int{"grants": grants, "waiting": waiting}
	}))
}
