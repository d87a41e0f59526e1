// SPDX-License-Identifier: Apache-2.0

package keeper

import (
	"context"
	"time"

	"cairnwick.example/catalog"
	"github.com/pkg/errors"
)

// Source gives documents: the platform or a peer.
type Source interface {
	// Head returns a head document, and whether it is in force at the source.
	// An empty prefix asks for the newest, another for the head whose digest
	// begins with it.
	Head(ctx context.Context, prefix []byte) (raw []byte, inForce bool, err error)
	// Shard returns the shard of a digest.
	Shard(ctx context.Context, digest string) ([]byte, error)
}

// document is a head with all its shards, checked.
type document struct {
	head      catalog.Head
	shards    map[string][]byte // by name
	catalog   *catalog.Catalog
	settlesAt time.Time // of a candidate: when it may come into force
}

// fetchShards gathers the shards that a head names.
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
			return nil, errors.Wrapf(err, "keeper: shard %s of revision %d", n, h.Revision())
		}
		shards[n] = raw
	}
	return shards, nil
}

// Shard returns a shard's text by digest, when it is held.
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

// shard returns the text of a digest; d may be nil.
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

// checkVersions refuses a catalog that changes what a published version is.
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
		return &catalog.CheckError{Revision: next.Revision(), Problems: found}
	}
	return nil
}

// changedVersions finds the versions of an adapter whose path or base is another now.
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
				Mend:     "a published version never changes; publish a new version",
			})
		}
	}
	return found
}
