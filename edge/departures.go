// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"strings"
	"time"

	"cairnwick.example/wire"
)

// leavingPrefix begins the keys of the facts that endpoints leave, by their own word; the ID of the life
// follows. Such a fact never changes: a life that leaves does not come back.
const leavingPrefix = "leaving/"

// leavingVersion is the version of every such fact.
const leavingVersion = 1

// departures is the endpoints that say in their answers that they leave. The box that gets the answer tells
// the leaders of all data centres, which give such an endpoint no more loads and tell all boxes: without
// that each box would send it one more request, and waiting requests would get their adapters there.
type departures struct{ node *Node }

// heard hears that an endpoint said it to this box.
func (d departures) heard(endpoint string) {
	d.publish(endpoint)
	if !d.node.outbox.add(&message{leaving: endpoint}, time.Now()) {
		d.node.Log.Info("Endpoint that leaves is not told to others: too many wait", "endpoint", endpoint)
	}
}

// hear takes in what another box was told.
func (d departures) hear(m *wire.EndedRequest) {
	for _, e := range m.GetLeaving()[:min(len(m.GetLeaving()), mostMessages)] {
		d.publish(e)
	}
}

// publish tells the boxes that follow this one.
func (d departures) publish(endpoint string) {
	d.node.items.Merge(&wire.Item{Key: leavingPrefix + endpoint, Version: leavingVersion, DataCentre: d.node.Settings.DataCentre})
}

// forgetGone forgets the facts of endpoints that this box does not know; the view remembers the lives
// themselves for longer.
func (d departures) forgetGone() {
	for _, k := range d.node.items.Keys() {
		if e, ok := strings.CutPrefix(k, leavingPrefix); ok && d.node.view.Endpoint(e) == nil {
			d.node.items.Forget(k)
		}
	}
}

// applyLeaving takes in a fact that an endpoint leaves.
func (s *state) applyLeaving(endpoint string) {
	if s.view.Leave(endpoint) {
		s.log.Info("Endpoint leaves, by what it told a box", "endpoint", endpoint)
	}
}
