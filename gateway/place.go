// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/clock"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
)

// place orders the endpoints and records why.
func (g *Gateway) place(q *request, names []string) []string {
	now := clock.Now()
	facts, width := g.beliefs.of(q.model.String(), names, now)
	q.width = width
	warm := g.prefixes.warm(q.prefix, now)
	for i, n := range names {
		facts[i].Warm = n == warm
	}
	order, scores := g.Placement.Order(policy.PlacementRequest{
		Key:       q.model.String(),
		Names:     names,
		States:    facts,
		HomeCount: width,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	d := g.decision(q, "place", time.Now())
	ranked := make([]string, len(order))
	for place, i := range order {
		ranked[place] = names[i]
		if place < stageCandidates {
			d.Candidates = append(d.Candidates, candidate(names[i], scores[i], facts[i]))
		}
	}
	d.Endpoint = ranked[0]
	g.Record.Add(d)
	return ranked
}

func candidate(name string, score float64, f policy.EndpointState) *wire.Candidate {
	c := &wire.Candidate{Endpoint: name, Score: score, AgeMicros: f.Age.Microseconds()}
	switch {
	case f.Warm:
		c.Note = "prefix believed warm"
	case f.Loaded:
		c.Note = "believed loaded"
	case !f.Known:
		c.Note = "nothing heard lately"
	}
	return c
}

// stages returns the endpoints to try but for those that asked for a back-off, a group after another: where the scope is
// the region, those of all its data centres that can be reached; then those of
// the own data centre; then those of the others, in an order that spreads the
// overflow of many keys.
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
		add(servingIn(q.catalog, base, g.near(q.catalog)))
	}
	add(servingIn(q.catalog, base, map[string]bool{g.Centre: true}))
	for _, c := range policy.Rank(q.model.String(), q.catalog.DataCentres()) {
		if c != g.Centre && g.reach.reached(c, now) {
			add(servingIn(q.catalog, base, map[string]bool{c: true}))
		}
	}
	return stages
}

// near returns the data centres of the own region that can be reached.
func (g *Gateway) near(c *catalog.Catalog) map[string]bool {
	near := map[string]bool{g.Centre: true}
	for _, n := range c.DataCentres() {
		if c.Region(n) == c.Region(g.Centre) && g.reach.reached(n, clock.Now()) {
			near[n] = true
		}
	}
	return near
}

// servingIn returns the endpoints of a base that serve in the data centres.
func servingIn(c *catalog.Catalog, base string, centres map[string]bool) []string {
	var names []string
	for _, n := range c.EndpointsOf(base) {
		e, _ := c.Endpoint(n)
		if centres[e.DataCentre()] && e.State() == catalog.Serving {
			names = append(names, n)
		}
	}
	return names
}
