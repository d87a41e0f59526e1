// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"time"

	"cairnwick.example/share"
	"cairnwick.example/wire"
)

// This file decides what boxes keep when the source comes back from an older copy. Its revisions are ordered by the
// epoch, so whatever is published again wins over what was known before. Until then the copy takes back what it never
// may: a configuration, a version of an adapter, that an endpoint drains, that one is gone.

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
		stands = n.isLaterOfEndpoint(older, newer, read)
	}
	return uint64(b.Kept()), stands
}

// isHigher reports whether a names a higher version than b. What can't be read names none.
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

// adapterVersionOf returns the version that a fact names of an adapter; the decoder takes none below zero.
func (n *Node) adapterVersionOf(i *wire.Item) (uint64, error) {
	value, err := share.Value(i)
	if err != nil {
		return 0, err
	}
	_, v, err := n.Decoder.Version(value)
	return uint64(v), err
}

// isLaterOfEndpoint reports whether a says something of an endpoint that b, an entry of a higher revision, can't take
// back: that the same life drains, that a later life has begun, or that the endpoint is gone. The last holds against
// the copy alone, which other boxes judge by what they know themselves: read says that b was read from the source.
func (n *Node) isLaterOfEndpoint(a, b *wire.Item, read bool) bool {
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

// isBackInCopy reports whether a fact that was just read is of an endpoint that this box knew to be gone before the
// source was restored.
func (r *reader) isBackInCopy(f Fact) bool {
	old := r.table.Get(f.Key)
	if old == nil || !old.GetRemoved() || f.Removed || r.decoder.Kind(f.Key) != KindEndpoint {
		return false
	}
	return revisionOf(old).Epoch() < f.Revision.Epoch() || revisionOf(old) == f.Revision.Kept()
}

// confirm marks the entries of a list that are true though this box knew the endpoint to be gone: they have outlived
// a lease since the source was restored. Others get the time for that.
func (r *reader) confirm(b Batch, now time.Time) {
	for i, f := range b.Facts {
		if !r.isBackInCopy(f) {
			continue
		}
		if r.doubtedIn == b.Revision.Epoch() && r.begun.After(r.doubted) {
			b.Facts[i].Revision = f.Revision.Confirmed()
			r.log.Info("Endpoint that was gone is back", "key", f.Key, "revision", f.Revision.String())
			continue
		}
		r.doubt(b.Revision.Epoch(), now)
		r.log.Info("Endpoint that was gone is in the restored copy and is not used", "key", f.Key, "revision", f.Revision.String())
	}
}

// doubt lists the source again once the entries of endpoints that are gone have lapsed there.
func (r *reader) doubt(epoch uint64, now time.Time) {
	if r.doubtedIn != epoch {
		r.doubtedIn, r.doubted = epoch, now.Add(copyLapses*r.lapse())
	}
	r.uncertain = true
	r.trusted = later(r.trusted, r.doubted)
}

// hasDoubted reports whether this box keeps an endpoint as gone that may be in a restored copy.
func (r *reader) hasDoubted() bool {
	if r.collection != Endpoints {
		return false
	}
	return r.table.Contains(func(i *wire.Item) bool {
		return i.GetRemoved() && revisionOf(i).IsKept() && r.decoder.Kind(i.GetKey()) == KindEndpoint
	})
}
