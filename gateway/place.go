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

// place sorts the endpoints by the placement policy, best first, and records the decision.
func (g *Gateway) place(q *request, names []string) []string {
	now := clock.Now()
	facts, width := g.beliefs.of(q.model.String(), names, now)
	q.width = width
	warm := g.prefixes.warm(q.prefix, now)
	for i, n := range names {
		facts[i].Warm = n == warm
	}
	order, scores := g.Placement.Order(policy.PlaceRequest{
		Key:   q.model.String(),
		Names: names,
		Facts: facts,
		Width: width,
		Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
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

func candidate(name string, score float64, f policy.Facts) *wire.Candidate {
	c := &wire.Candidate{Endpoint: name, Score: score, AgeMicros: f.Age.Microseconds()}
	switch {
	case f.Warm:
		c.Note = "prefix probably cached"
	case f.Loaded:
		c.Note = "adapter probably loaded"
	case !f.Known:
		c.Note = "no recent state"
	}
	return c
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
		names = slices.DeleteFunc(names, func(n string) bool { return g.backoffs.Left(n, now) > 0 })
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

// near returns the reachable data centres of this gateway's region, its own included.
func (g *Gateway) near(c *catalog.Catalog) map[string]bool {
	near := map[string]bool{g.Centre: true}
	for _, n := range c.DataCentres() {
		if c.Region(n) == c.Region(g.Centre) && g.reach.reached(n, clock.Now()) {
			near[n] = true
		}
	}
	return near
}

// servingIn returns the serving endpoints of a base model in the given data centres.
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
