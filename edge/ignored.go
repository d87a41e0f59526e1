// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync/atomic"

	"cairnwick.example/wire"
)

// ignored counts facts that were not taken because this box knew newer ones.
type ignored struct {
	restores atomic.Int64 // how often the source was restored from an older copy, by both readers
	read     atomic.Int64 // from the source itself
	received atomic.Int64 // from other boxes
}

// ignoredReport is what the metrics show of ignored facts.
type ignoredReport struct {
	Read     int64 `json:"read"`     // from the source
	Received int64 `json:"received"` // from other boxes
}

func (i *ignored) report() ignoredReport {
	return ignoredReport{Read: i.read.Load(), Received: i.received.Load()}
}

// countIgnored counts facts that the table did not take. Those of other boxes arrive late on any day; one that the
// source itself gives is logged.
func (n *Node) countIgnored(items []*wire.Item, received bool) {
	if received {
		n.ignored.received.Add(int64(len(items)))
		return
	}
	for _, i := range items {
		if n.Decoder.Kind(i.GetKey()) == KindOther {
			continue // of this box itself
		}
		n.ignored.read.Add(1)
		n.Log.Info("Fact from the source is older than the one known and is ignored", "key", i.GetKey(),
			"revision", revisionOf(i).String(), "known_revision", revisionOf(n.items.Get(i.GetKey())).String())
	}
}
