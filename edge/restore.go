// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"time"

	"cairnwick.example/share"
	"cairnwick.example/wire"
)

// Handling of a source that was restored from an older copy. Revisions are ordered by the epoch of the
// source, so anything published after a restore replaces what was known before. Until then the copy
// must not revert some facts: a newer configuration, a newer adapter version, that an endpoint is
// draining, or that it is gone.

// revisionOf returns the revision of a fact of the source.
func revisionOf(i *wire.Item) Revision { return Revision(i.GetVersion()) }

// outlives implements share.Table.ResolveRollback.
func (n *Node) outlives(older, newer *wire.Item, read bool) (uint64, bool) {
	a, b := revisionOf(older), revisionOf(newer)
	kind := n.Decoder.Kind(older.GetKey())
	if kind == KindOther || a.Epoch() == b.Epoch() && !a.IsKept() && !b.IsKept() {
		return 0, false
	}
	stands := false
	switch kind {
	case KindConfig:
		stands = isHigher(n.configVersionOf, older, newer)
	case KindVersion:
		stands = isHigher(n.adapterVersionOf, older, newer)
	case KindEndpoint:
		stands = n.endpointOutlives(older, newer, read)
	}
	return uint64(b.Kept()), stands
}

// isHigher reports whether a has a higher version than b; false if either cannot be decoded.
func isHigher(versionOf func(i *wire.Item) (uint64, error), a, b *wire.Item) bool {
	va, errA := versionOf(a)
	vb, errB := versionOf(b)
	return errA == nil && errB == nil && va > vb
}

// configVersionOf returns the version of a configuration.
func (n *Node) configVersionOf(i *wire.Item) (uint64, error) {
	value, err := share.Value(i)
	if err != nil {
		return 0, err
	}
	c, err := n.Decoder.Config(value)
	if err != nil {
		return 0, err
	}
	return c.Version(), nil
}

// adapterVersionOf returns the adapter version in a fact; the decoder rejects negative ones.
func (n *Node) adapterVersionOf(i *wire.Item) (uint64, error) {
	value, err := share.Value(i)
	if err != nil {
		return 0, err
	}
	_, v, err := n.Decoder.Version(value)
	return uint64(v), err
}

// endpointOutlives reports whether a holds something about an endpoint that b, an entry with a higher
// revision, must not revert: that the same incarnation is draining, that a later incarnation has
// started, or that the endpoint is gone. The last applies only if this box read b from the source
// itself (read), since other boxes check a restored copy against their own knowledge.
func (n *Node) endpointOutlives(a, b *wire.Item, read bool) bool {
	if b.GetRemoved() {
		return false
	}
	if a.GetRemoved() {
		return read && revisionOf(a).Epoch() != revisionOf(b).Epoch() && !revisionOf(b).IsConfirmed()
	}
	x, errA := n.endpointOf(a)
	y, errB := n.endpointOf(b)
	if errA != nil || errB != nil {
		return false
	}
	if x.ID() != y.ID() {
		return x.Started().After(y.Started())
	}
	return x.Draining() && !y.Draining()
}

// isResurrected reports whether a fact just read is for an endpoint that this box knew to be gone
// before the source was restored.
func (r *reader) isResurrected(f Fact) bool {
	old := r.table.Get(f.Key)
	if old == nil || !old.GetRemoved() || f.Removed || r.decoder.Kind(f.Key) != KindEndpoint {
		return false
	}
	return revisionOf(old).Epoch() < f.Revision.Epoch() || revisionOf(old) == f.Revision.Kept()
}

// confirmResurrected marks the entries of a list for endpoints that this box knew to be gone but that
// have outlived a lease since the restore, so they are live. The others get the time for that.
func (r *reader) confirmResurrected(b Batch, now time.Time) {
	for i, f := range b.Facts {
		if !r.isResurrected(f) {
			continue
		}
		if r.confirmEpoch == b.Revision.Epoch() && r.callStarted.After(r.confirmAfter) {
			b.Facts[i].Revision = f.Revision.Confirmed()
			r.log.Info("Endpoint that was gone is live according to the restored source", "key", f.Key, "revision", f.Revision.String())
			continue
		}
		r.scheduleConfirm(b.Revision.Epoch(), now)
		r.log.Info("Endpoint that was gone is in the restored copy and is not used", "key", f.Key, "revision", f.Revision.String())
	}
}

// scheduleConfirm has the source listed again once the entries of endpoints that are gone have expired
// there.
func (r *reader) scheduleConfirm(epoch uint64, now time.Time) {
	if r.confirmEpoch != epoch {
		r.confirmEpoch, r.confirmAfter = epoch, now.Add(confirmLapses*r.entryLapse())
	}
	r.relistPending = true
	r.graceUntil = later(r.graceUntil, r.confirmAfter)
}

// hasUnconfirmed reports whether this box keeps an endpoint as gone that may be in a restored copy.
func (r *reader) hasUnconfirmed() bool {
	if r.collection != Endpoints {
		return false
	}
	return r.table.Contains(func(i *wire.Item) bool {
		return i.GetRemoved() && revisionOf(i).IsKept() && r.decoder.Kind(i.GetKey()) == KindEndpoint
	})
}
