// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math/rand/v2"
	"time"

	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

const (
	remotePenalty     = 0.5                    // how much fuller an endpoint of the own data centre may be than one elsewhere
	failurePenalty    = 2.0                    // how much fuller an endpoint that always fails would have to be
	failureRateMargin = 0.25                   // an endpoint that fails so much more often than the others is avoided
	silentThreshold   = 2                      // requests without any answer for long that make an endpoint suspect
	silentAfter       = 700 * time.Millisecond // after which a request without any answer counts as one of them: a first event takes some 50 ms
)

// usable returns those of the list that are worth a try: open, not tried, and not
// avoided. Those that refused a connection lately are left out as long as there are others;
// where most would be left out for how they answer, it does not believe that.
func (g *Gateway) usable(list []*topology.Endpoint, tried map[string]bool, now time.Time) []*topology.Endpoint {
	serving := g.candidates(list, tried, now)
	var up, good []*topology.Endpoint
	least := 1.0
	for _, e := range serving {
		least = min(least, g.upstreams.get(e).health(now).failureRate)
	}
	for _, e := range serving {
		h := g.upstreams.get(e).health(now)
		if h.down {
			continue
		}
		up = append(up, e)
		if h.silentRequests < silentThreshold && !h.shedding && h.failureRate < least+failureRateMargin {
			good = append(good, e)
		}
	}
	switch {
	case len(up) == 0:
		return serving
	case 2*len(good) <= len(up):
		return up
	}
	return good
}

// untried returns those that take new requests and that a request has not tried.
func (g *Gateway) untried(list []*topology.Endpoint, tried map[string]bool, now time.Time) []*topology.Endpoint {
	var some []*topology.Endpoint
	for _, e := range list {
		if g.isAvailable(e, now) && !tried[e.ID()] {
			some = append(some, e)
		}
	}
	return some
}

// leastLoaded returns the endpoint that is emptiest, with those of the own data centre
// before others; nil for none.
func (g *Gateway) leastLoaded(list []*topology.Endpoint, now time.Time) *topology.Endpoint {
	var best *topology.Endpoint
	most := 0.0
	for _, e := range list {
		h := g.upstreams.get(e).health(now)
		score := float64(h.inFlight)/float64(e.Slots()) + failurePenalty*h.failureRate + rand.Float64()*0.01
		if e.DataCentre() != g.DataCentre {
			score += remotePenalty
		}
		if h.down || h.silentRequests >= silentThreshold {
			score += failurePenalty
		}
		if best == nil || score < most {
			best, most = e, score
		}
	}
	return best
}

// rendezvousEndpoint returns where an adapter that nobody holds should be loaded: every box
// that sees the same endpoints names the same one.
func rendezvousEndpoint(a topology.Adapter, list []*topology.Endpoint) *topology.Endpoint {
	names := make([]string, len(list))
	byName := make(map[string]*topology.Endpoint, len(list))
	for i, e := range list {
		names[i] = e.ID()
		byName[e.ID()] = e
	}
	return byName[policy.First(a.String(), names)]
}

// withModel returns those that hold the base model.
func withModel(list []*topology.Endpoint, model string) []*topology.Endpoint {
	var some []*topology.Endpoint
	for _, e := range list {
		if e.HasModel(model) {
			some = append(some, e)
		}
	}
	return some
}

// candidates returns those that take new requests and that a request has not tried, in data centres
// that this box can reach: it may be cut off from the others while they serve. One that is
// out of touch is asked only where no other has endpoints at all; one that did not answer
// lately, also where those elsewhere have been tried.
func (g *Gateway) candidates(list []*topology.Endpoint, tried map[string]bool, now time.Time) []*topology.Endpoint {
	list = g.withoutAvoided(list, g.Unreachable)
	return g.withoutAvoided(g.untried(list, tried, now), func(centre string) bool { return g.dataCentres.isAvoided(centre, now) })
}

// withoutAvoided returns those of the own data centre and of others that are not avoided; where
// that leaves none it returns all.
func (g *Gateway) withoutAvoided(list []*topology.Endpoint, avoided func(centre string) bool) []*topology.Endpoint {
	avoid := make(map[string]bool)
	var some []*topology.Endpoint
	for _, e := range list {
		c := e.DataCentre()
		if _, known := avoid[c]; !known {
			avoid[c] = c != g.DataCentre && avoided(c)
		}
		if !avoid[c] {
			some = append(some, e)
		}
	}
	if len(some) == 0 {
		return list
	}
	return some
}
