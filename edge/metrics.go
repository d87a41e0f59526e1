// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"expvar"
	"net/http"
	"net/http/pprof"

	"cairnwick.example/member"
)

// variables returns the metrics of the box. docs/OPERATIONS.md describes each of them.
func (n *Node) variables() *expvar.Map {
	stats := n.gateway.Stats
	m := new(expvar.Map).Init()
	m.Set("edge_served", stats.Routes)
	m.Set("edge_first_byte", stats.FirstByte)
	m.Set("edge_refusals", stats.Refusals)
	m.Set("edge_failed_attempts", stats.FailedAttempts)
	m.Set("edge_proofs", expvar.Func(func() any { return n.gateway.Proofs() }))
	m.Set("edge_prediction_error", stats.PredictionError)
	m.Set("edge_organisations", stats.Organisations)
	m.Set("edge_organisation_refusals", stats.OrganisationRefusals)
	m.Set("edge_quotas", expvar.Func(func() any { return n.spending.report() }))
	m.Set("edge_keys", expvar.Func(func() any { return n.keysReport() }))
	m.Set("edge_endpoint_ends", expvar.Func(func() any { return n.gateway.Ends() }))
	m.Set("edge_quarantined", expvar.Func(func() any { return n.state.tracker.List().Len() }))
	m.Set("edge_connections_closed", expvar.Func(func() any { return n.gate.Closed() }))
	m.Set("edge_timer_delay_ms", expvar.Func(func() any { return n.gate.MeanDelay().Milliseconds() }))
	m.Set("edge_limits", expvar.Func(func() any { return n.limits.report() }))
	m.Set("edge_links", expvar.Func(func() any { return n.gateway.Links() }))
	m.Set("edge_streams", expvar.Func(func() any { return n.gateway.Streams() }))
	m.Set("edge_origins", expvar.Func(func() any { return n.origins.report() }))
	m.Set("edge_notices", expvar.Func(func() any { return n.gateway.Notices() }))
	m.Set("edge_retries", expvar.Func(func() any { return n.gateway.RetryCounts() }))
	m.Set("edge_source_restores", expvar.Func(func() any { return n.ignored.restores.Load() }))
	m.Set("edge_facts_ignored", expvar.Func(func() any { return n.ignored.report() }))
	m.Set("edge_source_age", expvar.Func(func() any { return n.sourceAges() }))
	m.Set("edge_held", expvar.Func(func() any { return n.gateway.InFlight() }))
	m.Set("edge_held_bytes", expvar.Func(func() any { return n.gateway.HeldBytes() }))
	m.Set("edge_config", expvar.Func(func() any { return n.configVersion() }))
	m.Set("edge_endpoints", expvar.Func(func() any { return len(n.view.All()) }))
	m.Set("edge_members", expvar.Func(func() any { return n.membersByState() }))
	m.Set("edge_leads", expvar.Func(func() any { return n.leads() }))
	m.Set("edge_loader", expvar.Func(func() any { return n.loader.Counts() }))
	m.Set("edge_balance", expvar.Func(func() any { return n.loader.BalanceCounts() }))
	m.Set("edge_messages", n.messages)
	m.Set("edge_source_calls", expvar.Func(func() any { return n.sourceCalls.counts() }))
	m.Set("edge_log_lines_left_out", expvar.Func(func() any { return n.Lines.Dropped() }))
	return m
}

func (n *Node) configVersion() uint64 {
	if c := n.view.Config(); c != nil {
		return c.Version()
	}
	return 0
}

func (n *Node) membersByState() map[string]int {
	counts := make(map[string]int)
	for _, m := range n.peers.table.Members() {
		counts[m.State().String()]++
	}
	return counts
}

// leads reports whether this box leads its own data centre.
func (n *Node) leads() bool {
	var m member.Member
	m, ok := n.peers.clusterView().leader(n.peers.centre)
	return ok && m.Name() == n.peers.box
}

// metrics serves the metrics as one JSON object, and pprof profiles if enabled.
func (n *Node) metrics() http.Handler {
	vars := n.variables()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(vars.String())) // fails only if the client has disconnected
	})
	if n.Profile {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	return mux
}
