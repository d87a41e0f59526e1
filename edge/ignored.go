// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync/atomic"

	"cairnwick.example/wire"
)

// ignored counts facts that were rejected because this box had newer ones.
type ignored struct {
	restores atomic.Int64 // how often the source was restored from an older copy, as seen by both readers
	read     atomic.Int64 // from the source itself
	received atomic.Int64 // from other boxes
}

// ignoredReport is the metrics' view of the counters.
type ignoredReport struct {
	Read     int64 `json:"read"`     // from the source
	Received int64 `json:"received"` // from other boxes
}

func (i *ignored) report() ignoredReport {
	return ignoredReport{Read: i.read.Load(), Received: i.received.Load()}
}

// countIgnored counts facts that the table rejected. Late facts from other boxes are normal; an older fact from the
// source itself is logged.
func (n *Node) countIgnored(items []*wire.Item, received bool) {
	if received {
		n.ignored.received.Add(int64(len(items)))
		return
	}
	for _, i := range items {
		if n.Decoder.Kind(i.GetKey()) == KindOther {
			continue // published by this box, not by the source
		}
		n.ignored.read.Add(1)
		n.Log.Info("Ignoring a fact from the source that is older than the known one", "key", i.GetKey(),
			"revision", revisionOf(i).String(), "known_revision", revisionOf(n.items.Get(i.GetKey())).String())
	}
}
