// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"strings"
	"time"

	"cairnwick.example/wire"
)

// leavingPrefix is the key prefix of the facts that an endpoint announced draining in a response; the endpoint's ID
// follows. Such a fact never changes: a restarted endpoint has another ID.
const leavingPrefix = "leaving/"

// leavingVersion is the version of every such fact.
const leavingVersion = 1

// departures handles endpoints that announce draining in their responses. The box that gets the response notifies
// the leaders of all data centres, which assign such an endpoint no more loads and publish it to all boxes. Without
// that each box would send it one more request, and waiting requests would get their adapters there.
type departures struct{ node *Node }

// observe records that a response from the endpoint announced draining.
func (d departures) observe(endpoint string) {
	d.publish(endpoint)
	if !d.node.outbox.add(&message{leaving: endpoint}, time.Now()) {
		d.node.Log.Info("Drain announcement of an endpoint dropped: too many messages pending", "endpoint", endpoint)
	}
}

// receive applies a drain announcement from another box.
func (d departures) receive(m *wire.EndedRequest) {
	for _, e := range m.GetLeaving()[:min(len(m.GetLeaving()), maxPendingMessages)] {
		d.publish(e)
	}
}

// publish publishes the announcement to the boxes that replicate facts from this one.
func (d departures) publish(endpoint string) {
	d.node.items.Merge(&wire.Item{Key: leavingPrefix + endpoint, Version: leavingVersion, DataCentre: d.node.Settings.DataCentre})
}

// forgetGone removes the facts of endpoints that are not in the view. The view itself remembers IDs of ended
// endpoints for longer.
func (d departures) forgetGone() {
	for _, k := range d.node.items.Keys() {
		if e, ok := strings.CutPrefix(k, leavingPrefix); ok && d.node.view.Endpoint(e) == nil {
			d.node.items.Discard(k)
		}
	}
}

// applyLeaving applies a fact that an endpoint announced draining.
func (s *state) applyLeaving(endpoint string) {
	if s.view.MarkDraining(endpoint) {
		s.log.Info("Endpoint announced draining to another box", "endpoint", endpoint)
	}
}
