// SPDX-License-Identifier: Apache-2.0

package keeper

import (
	"context"
	"time"

	"cairnwick.example/catalog"
	"github.com/pkg/errors"
)

// Source is the platform or a peer, from which documents are read.
type Source interface {
	// Head returns a head document, and whether it is in force at the source: the
	// head whose digest begins with prefix, or the newest one if prefix is empty.
	Head(ctx context.Context, prefix []byte) (raw []byte, inForce bool, err error)
	// Shard returns the shard with the given digest.
	Shard(ctx context.Context, digest string) ([]byte, error)
}

// document is a validated head with all its shards.
type document struct {
	head      catalog.Head
	shards    map[string][]byte // by name
	catalog   *catalog.Catalog
	settlesAt time.Time // of a candidate: the end of its settling time
}

// fetchShards returns the shards that a head names, by name. It reads those that are
// not held yet from the source.
func (k *Keeper) fetchShards(ctx context.Context, h catalog.Head, from Source) (map[string][]byte, error) {
	shards := make(map[string][]byte)
	for _, n := range h.Shards() {
		digest := h.ShardDigest(n)
		if raw, ok := k.Shard(digest); ok {
			shards[n] = raw
			continue
		}
		raw, err := from.Shard(ctx, digest)
		if err != nil {
			return nil, errors.Wrapf(err, "keeper: fetch shard %s of revision %d", n, h.Revision())
		}
		shards[n] = raw
	}
	return shards, nil
}

// Shard returns the shard with the given digest, if it is held.
func (k *Keeper) Shard(digest string) ([]byte, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if raw, ok := k.inForce.shard(digest); ok {
		return raw, true
	}
	for _, d := range k.candidates {
		if raw, ok := d.shard(digest); ok {
			return raw, true
		}
	}
	return nil, false
}

// shard returns the shard with the given digest; d may be nil.
func (d *document) shard(digest string) ([]byte, bool) {
	if d == nil {
		return nil, false
	}
	for _, n := range d.head.Shards() {
		if d.head.ShardDigest(n) == digest {
			return d.shards[n], true
		}
	}
	return nil, false
}

// checkVersions returns an error for a catalog that changes a published version.
func (k *Keeper) checkVersions(next *catalog.Catalog) error {
	old := k.Catalog()
	if old == nil {
		return nil
	}
	var found []catalog.Problem
	for _, n := range next.Adapters() {
		newAdapter, _ := next.Adapter(n)
		oldAdapter, known := old.Adapter(n)
		if !known {
			continue
		}
		found = append(found, changedVersions(oldAdapter, newAdapter)...)
	}
	if len(found) > 0 {
		return &catalog.ValidationError{Revision: next.Revision(), Problems: found}
	}
	return nil
}

// changedVersions returns a problem for each version of an adapter whose path or base changed.
func changedVersions(before, now catalog.Adapter) []catalog.Problem {
	var found []catalog.Problem
	for _, v := range now.Versions() {
		path, _ := now.Path(v)
		old, had := before.Path(v)
		if had && (old != path || before.Base() != now.Base()) {
			found = append(found, catalog.Problem{
				Document: "all shards",
				Field:    "adapters[" + now.Name() + "].versions[" + v + "]",
				Value:    path,
				Fix:      "a published version never changes; publish a new version",
			})
		}
	}
	return found
}
