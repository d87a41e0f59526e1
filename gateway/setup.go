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

// The options of a gateway.
const (
	optListen    = "callers_listen"
	optPlacement = "placement"
	optScope     = "placement_scope"
	optFailover  = "failover"
	optKeyWait   = "key_wait"
	optRetry     = "retry_after"
	optResume    = "resume_wait"
	optIdle      = "stream_idle"
	optMaxBody   = "max_body"
	optInFlight  = "max_in_flight"
	optPrefixes  = "warm_prefixes"
	optShare     = "retry_share"
	optBurst     = "retry_burst"
)

// Options is the table of a gateway's settings.
var Options = daemon.Options(settings.Table{
	{Name: optListen, Kind: settings.Address, Required: true, Help: "address for callers"},
	{Name: optPlacement, Kind: settings.Text, Default: policy.PlaceHomes, Help: "homes, hash, least_loaded or random"},
	{Name: optScope, Kind: settings.Text, Default: ScopeRegion, Help: "how far an adapter's homes spread: data_centre or region"},
	{Name: optFailover, Kind: settings.Duration, Default: 4 * time.Second, Help: "how long a request looks for a scheduler that answers"},
	{Name: optKeyWait, Kind: settings.Duration, Default: time.Second, Help: "longest wait for the home of a key"},
	{Name: optRetry, Kind: settings.Duration, Default: time.Second, Least: time.Millisecond, Help: "when refused callers should come back, where nothing better is known"},
	{Name: optResume, Kind: settings.Duration, Default: time.Second, Help: "longest wait before a cut stream goes on"},
	{Name: optIdle, Kind: settings.Duration, Default: 30 * time.Second, Least: 10 * time.Millisecond, Help: "a stream that is silent so long is taken for cut"},
	{Name: optMaxBody, Kind: settings.Count, Default: 1 << 20, Least: 1, Help: "largest body of a caller, in bytes"},
	{Name: optInFlight, Kind: settings.Count, Default: 4096, Least: 1, Help: "requests held at a time"},
	{Name: optPrefixes, Kind: settings.Count, Default: 8192, Help: "prompts' beginnings whose endpoint is remembered, since its cache may be warm; 0: none"},
	{Name: optShare, Kind: settings.Number, Default: 0.1, Help: "retries allowed for each success"},
	{Name: optBurst, Kind: settings.Number, Default: 10.0, Help: "retries allowed at once"},
})

// idlePerEndpoint spares so many requests that come at once the opening of a connection.
const idlePerEndpoint = 64

// Serve runs a gateway with checked settings until ctx ends.
func Serve(ctx context.Context, v settings.Values) error {
	place, err := policy.NewPlacement(v.Text(optPlacement))
	if err != nil {
		return err
	}
	if scope := v.Text(optScope); scope != ScopeCentre && scope != ScopeRegion {
		return errors.Errorf("gateway: %s %q: use %s or %s", optScope, scope, ScopeCentre, ScopeRegion)
	}
	n, err := daemon.New(member.Gateway, v)
	if err != nil {
		return err
	}
	g := &Gateway{
		Name:       n.Name(),
		Centre:     n.DataCentre(),
		Catalog:    n.Keeper.Catalog,
		Members:    n.Table,
		Probe:      n.Probe,
		Schedulers: n.Dialer,
		Peers:      n.Dialer,
		Remote:     n.BoxList,
		Engines:    n.EndpointClient(idlePerEndpoint),
		Dial:       n.EndpointDial(),
		Placement:  place,
		Scope:      v.Text(optScope),
		Retries:    policy.NewRetryBudget(v.Number(optShare), v.Number(optBurst)),
		Spans: Spans{
			Failover: v.Duration(optFailover),
			Key:      v.Duration(optKeyWait),
			Retry:    v.Duration(optRetry),
			Resume:   v.Duration(optResume),
			Idle:     v.Duration(optIdle),
		},
		MaxBody:     int64(v.Count(optMaxBody)),
		MaxInFlight: v.Count(optInFlight),
		MaxPrefixes: v.Count(optPrefixes),
		Record:      n.Record,
		Log:         n.Log,
	}
	g.Init()
	g.publish()
	l, err := net.Listen("tcp", v.Text(optListen))
	if err != nil {
		return errors.Wrap(err, "gateway: callers' port")
	}
	n.Drain = g.Leave
	n.OnEndpointsEnded = g.Ended
	n.Drained = func() bool { return g.InFlight() == 0 }
	n.Add(g.Run)
	n.Add(func(ctx context.Context) error { return daemon.ServeHTTP(ctx, l, g.Handler()) })
	return n.Run(ctx)
}

// publish exports the gateway's figures.
func (g *Gateway) publish() {
	expvar.Publish("gateway_total", g.stats.Total)
	expvar.Publish("gateway_callers", g.stats.Callers)
	expvar.Publish("gateway_first_token", g.stats.FirstToken)
	expvar.Publish("gateway_load_stall", g.stats.Stall)
	expvar.Publish("gateway_codes", g.stats.Codes)
	expvar.Publish("gateway_endpoint_ends", expvar.Func(func() any { return g.watch.Counts() }))
	expvar.Publish("gateway_quarantined", expvar.Func(func() any { return g.tracker.Kept().Len() }))
	expvar.Publish("gateway_in_flight", expvar.Func(func() any { return g.InFlight() }))
}
