// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math/rand/v2"
	"time"

	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

const (
	remotePenalty     = 0.5                    // how much more load an endpoint of the own data centre may have than a remote one
	failurePenalty    = 2.0                    // additional load that an endpoint that always fails counts for
	failureRateMargin = 0.25                   // an endpoint whose failure rate exceeds the lowest by this much is avoided
	silentThreshold   = 2                      // silent requests from which on an endpoint is avoided
	silentAfter       = 700 * time.Millisecond // a request without a response for this time is silent: a first event takes some 50 ms
)

// usable returns the endpoints of the list that are candidates for the next attempt. Those that refused
// a connection recently are left out if there are others. Those that perform badly are left out too, but
// only if they are fewer than half: otherwise the cause is likely not the endpoints.
func (g *Gateway) usable(list []*topology.Endpoint, tried map[string]bool, now time.Time) []*topology.Endpoint {
	untried := g.candidates(list, tried, now)
	var reachable, healthy []*topology.Endpoint
	lowest := 1.0
	for _, e := range untried {
		lowest = min(lowest, g.upstream(e).health(now).failureRate)
	}
	for _, e := range untried {
		h := g.upstream(e).health(now)
		if h.down {
			continue
		}
		reachable = append(reachable, e)
		if h.silentRequests < silentThreshold && !h.shedding && h.failureRate < lowest+failureRateMargin {
			healthy = append(healthy, e)
		}
	}
	switch {
	case len(reachable) == 0:
		return untried
	case 2*len(healthy) <= len(reachable):
		return reachable
	}
	return healthy
}

// untried returns the endpoints that accept new requests and that the request has not tried.
func (g *Gateway) untried(list []*topology.Endpoint, tried map[string]bool, now time.Time) []*topology.Endpoint {
	var filtered []*topology.Endpoint
	for _, e := range list {
		if g.isAvailable(e, now) && !tried[e.ID()] {
			filtered = append(filtered, e)
		}
	}
	return filtered
}

// leastLoaded returns the endpoint with the least load, preferring the own data
// centre; nil for an empty list.
func (g *Gateway) leastLoaded(list []*topology.Endpoint, now time.Time) *topology.Endpoint {
	var best *topology.Endpoint
	lowest := 0.0
	for _, e := range list {
		h := g.upstream(e).health(now)
		score := float64(h.inFlight)/float64(e.Slots()) + failurePenalty*h.failureRate + rand.Float64()*0.01
		if e.DataCentre() != g.DataCentre {
			score += remotePenalty
		}
		if h.down || h.silentRequests >= silentThreshold {
			score += failurePenalty
		}
		if best == nil || score < lowest {
			best, lowest = e, score
		}
	}
	return best
}

// rendezvousEndpoint returns where an adapter that no endpoint holds should be loaded: all boxes
// that see the same endpoints choose the same one.
func rendezvousEndpoint(adapter topology.Adapter, list []*topology.Endpoint) *topology.Endpoint {
	names := make([]string, len(list))
	byName := make(map[string]*topology.Endpoint, len(list))
	for i, e := range list {
		names[i] = e.ID()
		byName[e.ID()] = e
	}
	return byName[policy.First(adapter.String(), names)]
}

// withModel returns the endpoints that have the base model.
func withModel(list []*topology.Endpoint, model string) []*topology.Endpoint {
	var filtered []*topology.Endpoint
	for _, e := range list {
		if e.HasModel(model) {
			filtered = append(filtered, e)
		}
	}
	return filtered
}

// candidates returns the untried endpoints in data centres that this box can reach: the network to
// others may be cut while they serve. Endpoints of an unreachable data centre are used only if no other
// data centre has any; those of an avoided one also if all others have been tried.
func (g *Gateway) candidates(list []*topology.Endpoint, tried map[string]bool, now time.Time) []*topology.Endpoint {
	list = g.withoutAvoided(list, g.Unreachable)
	return g.withoutAvoided(g.untried(list, tried, now), func(centre string) bool { return g.dataCentres.isAvoided(centre, now) })
}

// withoutAvoided returns the endpoints of the own data centre and of those not avoided; if there
// are none it returns the whole list.
func (g *Gateway) withoutAvoided(list []*topology.Endpoint, avoided func(centre string) bool) []*topology.Endpoint {
	isAvoided := make(map[string]bool)
	var filtered []*topology.Endpoint
	for _, e := range list {
		c := e.DataCentre()
		if _, known := isAvoided[c]; !known {
			isAvoided[c] = c != g.DataCentre && avoided(c)
		}
		if !isAvoided[c] {
			filtered = append(filtered, e)
		}
	}
	if len(filtered) == 0 {
		return list
	}
	return filtered
}
