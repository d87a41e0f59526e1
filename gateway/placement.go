// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/clock"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
)

// rankEndpoints sorts the endpoints by the placement policy, best first, and records the decision.
func (g *Gateway) rankEndpoints(q *request, names []string) []string {
	now := clock.Now()
	facts, width := g.states.get(q.model.String(), names, now)
	q.width = width
	warm := g.prefixes.lastEndpoint(q.prefix, now)
	for i, n := range names {
		facts[i].Warm = n == warm
	}
	place := policy.PlacementRequest{
		Key:       q.model.String(),
		Names:     names,
		States:    facts,
		HomeCount: width,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	order, scores := g.Placement.Order(place)
	order = policy.PreferSoonest(order, g.Placement.Alternatives(place, order), facts)
	d := g.newDecision(q, "place", time.Now())
	ranked := make([]string, len(order))
	for rank, i := range order {
		ranked[rank] = names[i]
		if rank < stageCandidates {
			d.Candidates = append(d.Candidates, newCandidate(names[i], scores[i], facts[i]))
		}
	}
	d.Endpoint = ranked[0]
	g.Decisions.Add(d)
	return ranked
}

func newCandidate(name string, score float64, f policy.EndpointState) *wire.Candidate {
	var notes []string
	switch {
	case f.Warm:
		notes = append(notes, "prefix probably cached")
	case f.Loaded:
		notes = append(notes, "adapter probably loaded")
	case !f.Known:
		notes = append(notes, "no recent state")
	}
	if f.FirstToken > 0 {
		notes = append(notes, fmt.Sprintf("first token expected after %v as of %v ago", f.FirstToken.Round(time.Millisecond), f.Age.Round(time.Millisecond)))
	}
	return &wire.Candidate{Endpoint: name, Score: score, AgeMicros: f.Age.Microseconds(), Note: strings.Join(notes, ", ")}
}

// stages returns groups of endpoints in the order to try them, without those in a back-off: with
// ScopeRegion, those of all reachable data centres of the region; then those of this gateway's data
// centre; then those of each other reachable data centre. The order of the latter depends on the
// adapter, so that the overflow of many adapters spreads over all of them.
func (g *Gateway) stages(q *request) [][]string {
	base := q.model.Adapter().Base()
	now := clock.Now()
	var stages [][]string
	add := func(names []string) {
		names = slices.DeleteFunc(names, func(n string) bool { return g.backoffs.Remaining(n, now) > 0 })
		if len(names) > 0 {
			stages = append(stages, names)
		}
	}
	if g.Scope == ScopeRegion {
		add(servingEndpoints(q.catalog, base, g.reachableInRegion(q.catalog)))
	}
	add(servingEndpoints(q.catalog, base, map[string]bool{g.DataCentre: true}))
	for _, c := range policy.Rank(q.model.String(), q.catalog.DataCentres()) {
		if c != g.DataCentre && g.reachability.isReachable(c, now) {
			add(servingEndpoints(q.catalog, base, map[string]bool{c: true}))
		}
	}
	return stages
}

// reachableInRegion returns the reachable data centres of this gateway's region, its own included.
func (g *Gateway) reachableInRegion(c *catalog.Catalog) map[string]bool {
	reachable := map[string]bool{g.DataCentre: true}
	for _, n := range c.DataCentres() {
		if c.Region(n) == c.Region(g.DataCentre) && g.reachability.isReachable(n, clock.Now()) {
			reachable[n] = true
		}
	}
	return reachable
}

// servingEndpoints returns the serving endpoints of a base model in the given data centres.
func servingEndpoints(c *catalog.Catalog, base string, dataCentres map[string]bool) []string {
	var names []string
	for _, n := range c.EndpointsOf(base) {
		e, _ := c.Endpoint(n)
		if dataCentres[e.DataCentre()] && e.State() == catalog.Serving {
			names = append(names, n)
		}
	}
	return names
}
