// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"expvar"
	"net"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/member"
	"cairnwick.example/policy"
	"cairnwick.example/settings"
	"github.com/pkg/errors"
)

// The names of a gateway's settings.
const (
	optListen         = "callers_listen"
	optPlacement      = "placement"
	optPlacementScope = "placement_scope"
	optFailover       = "failover"
	optKeyWait        = "key_wait"
	optRetryAfter     = "retry_after"
	optResumeWait     = "resume_wait"
	optStreamIdle     = "stream_idle"
	optMaxBody        = "max_body"
	optMaxInFlight    = "max_in_flight"
	optMaxResponses   = "max_responses"
	optWarmPrefixes   = "warm_prefixes"
	optRetryShare     = "retry_share"
	optRetryBurst     = "retry_burst"
)

// Options describes the settings of a gateway.
var Options = daemon.Options(settings.Table{
	{Name: optListen, Kind: settings.Address, Required: true, Help: "address for callers"},
	{Name: optPlacement, Kind: settings.Text, Default: policy.PlacementHomes, Help: "placement policy: homes, hash, least_loaded or random"},
	{Name: optPlacementScope, Kind: settings.Text, Default: ScopeRegion, Help: "where endpoints are tried first: data_centre or region"},
	{Name: optFailover, Kind: settings.Duration, Default: 4 * time.Second, Help: "timeout for finding a scheduler that responds"},
	{Name: optKeyWait, Kind: settings.Duration, Default: time.Second, Help: "timeout for claiming an idempotency key at the scheduler that stores its state"},
	{Name: optRetryAfter, Kind: settings.Duration, Default: time.Second, Min: time.Millisecond, Help: "default Retry-After for refused requests"},
	{Name: optResumeWait, Kind: settings.Duration, Default: time.Second, Help: "timeout for resuming a stream that broke off"},
	{Name: optStreamIdle, Kind: settings.Duration, Default: 30 * time.Second, Min: 10 * time.Millisecond, Help: "idle timeout of a stream"},
	{Name: optMaxBody, Kind: settings.Count, Default: 1 << 20, Min: 1, Help: "largest request body, in bytes"},
	{Name: optMaxResponses, Kind: settings.Count, Default: 256 << 20, Min: 1 << 20, Help: "bytes of all responses that are not streams, as they are read and written; if more are needed the largest are given up"},
	{Name: optMaxInFlight, Kind: settings.Count, Default: 4096, Min: 1, Help: "requests in flight; more are refused"},
	{Name: optWarmPrefixes, Kind: settings.Count, Default: 8192, Help: "prompt prefixes whose last endpoint is remembered, since its cache may still hold them; 0: none"},
	{Name: optRetryShare, Kind: settings.Number, Default: 0.1, Help: "retries allowed per successful request"},
	{Name: optRetryBurst, Kind: settings.Number, Default: 10.0, Help: "retries allowed at once"},
})

// maxIdlePerEndpoint is the number of idle connections kept per endpoint, so that bursts up to that size need
// no new connections.
const maxIdlePerEndpoint = 64

// Serve runs a gateway until ctx ends. The settings have been validated against Options.
func Serve(ctx context.Context, v settings.Values) error {
	placement, err := policy.NewPlacement(v.Text(optPlacement))
	if err != nil {
		return err
	}
	if scope := v.Text(optPlacementScope); scope != ScopeDataCentre && scope != ScopeRegion {
		return errors.Errorf("gateway: %s %q: use %s or %s", optPlacementScope, scope, ScopeDataCentre, ScopeRegion)
	}
	n, err := daemon.New(member.Gateway, v)
	if err != nil {
		return err
	}
	g := &Gateway{
		Name:         n.Name(),
		DataCentre:   n.DataCentre(),
		Catalog:      n.Keeper.Catalog,
		Members:      n.Table,
		Probe:        n.Probe,
		Schedulers:   n.Dialer,
		Peers:        n.Dialer,
		Directory:    n.BoxList,
		EngineClient: n.EndpointClient(maxIdlePerEndpoint),
		DialEngine:   n.EndpointDial(),
		Placement:    placement,
		Scope:        v.Text(optPlacementScope),
		RetryBudget:  policy.NewRetryBudget(v.Number(optRetryShare), v.Number(optRetryBurst)),
		Timeouts: Timeouts{
			Failover: v.Duration(optFailover),
			KeyClaim: v.Duration(optKeyWait),
			Resume:   v.Duration(optResumeWait),
			Idle:     v.Duration(optStreamIdle),
		},
		RetryAfter:  v.Duration(optRetryAfter),
		MaxBody:     int64(v.Count(optMaxBody)),
		MaxInFlight: v.Count(optMaxInFlight),

		MaxResponses: int64(v.Count(optMaxResponses)),
		MaxPrefixes:  v.Count(optWarmPrefixes),
		Decisions:    n.Record,
		Log:          n.Log,
	}
	g.Init()
	g.publishMetrics()
	l, err := net.Listen("tcp", v.Text(optListen))
	if err != nil {
		return errors.Wrap(err, "gateway: callers' port")
	}
	n.Drain = g.Drain
	n.OnEndpointsEnded = g.ReceiveEnded
	n.Drained = func() bool { return g.InFlight() == 0 }
	gate := &daemon.AcceptGate{Full: g.IsFull, Alone: func() bool { return len(n.Table.Serving(n.Role)) <= 1 }, Log: n.Log}
	expvar.Publish("gateway_connections_closed", expvar.Func(func() any { return gate.Closed() }))
	n.Add(g.Run)
	n.Add(gate.Run)
	n.Add(func(ctx context.Context) error {
		return daemon.ServeHTTP(ctx, gate.Listen(l), gate.Handler(g.Handler()))
	})
	return n.Run(ctx)
}

// publishMetrics exports the gateway's metrics.
func (g *Gateway) publishMetrics() {
	expvar.Publish("gateway_total", g.stats.Duration)
	expvar.Publish("gateway_callers", g.stats.CallerDuration)
	expvar.Publish("gateway_first_token", g.stats.FirstByte)
	expvar.Publish("gateway_load_stall", g.stats.LoadStall)
	expvar.Publish("gateway_codes", g.stats.CodeDuration)
	expvar.Publish("gateway_endpoint_ends", expvar.Func(func() any { return g.watcher.Counts() }))
	expvar.Publish("gateway_quarantined", expvar.Func(func() any { return g.tracker.List().Len() }))
	expvar.Publish("gateway_in_flight", expvar.Func(func() any { return g.InFlight() }))
}
