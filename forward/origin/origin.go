// SPDX-License-Identifier: Apache-2.0

// Package origin tracks which software began each stream. The events of two software versions of a service do not fit
// together, and endpoints do not check who began a stream that they are asked to continue. So a stream may only go on at
// an endpoint that its origin matches, whichever box a caller comes back to.
package origin

import "cairnwick.example/topology"

// Origin is what began a stream.
type Origin struct {
	Service  string
	Software string // version of the endpoint's software; empty: not known
	Endpoint string // ID of the endpoint's instance if its software is not known, otherwise empty
}

// Of returns the origin of streams that begin at an endpoint.
func Of(e *topology.Endpoint) Origin {
	o := Origin{Service: e.Service(), Software: e.Software()}
	if o.Software == "" {
		o.Endpoint = e.ID()
	}
	return o
}

// IsKnown reports whether o names anything that streams can go on at.
func (o Origin) IsKnown() bool { return o.Software != "" || o.Endpoint != "" }

// Matches reports whether a stream of this origin may go on at an endpoint. Versions are equal or not; they have no order.
// An endpoint whose software is not known matches only its own streams.
func (o Origin) Matches(e *topology.Endpoint) bool { return o.IsKnown() && o == Of(e) }

// Filter returns the endpoints of the list at which a stream of this origin may go on.
func (o Origin) Filter(list []*topology.Endpoint) []*topology.Endpoint {
	var matching []*topology.Endpoint
	for _, e := range list {
		if o.Matches(e) {
			matching = append(matching, e)
		}
	}
	return matching
}
