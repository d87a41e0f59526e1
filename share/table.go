// SPDX-License-Identifier: Apache-2.0

// Package share replicates versioned facts between boxes. Each box keeps all facts
// in memory, streams them to its followers, and merges what it
// receives. Of two facts with the same key the higher version wins, so the order
// and the path of messages do not matter.
//
// Lock order: Table.mu is taken alone. Prepare, OnChange and OnIgnored are called without it.
package share

import (
	"container/list"
	"sync"

	"cairnwick.example/wire"
)

// Table is one box's copy of the facts. It is safe for concurrent use.
type Table struct {
	// The callbacks are optional and must be set before use.

	// Prepare is called with items that are about to be merged, at the same time for several merges: what takes long and
	// changes nothing is done here.
	Prepare func(items []*wire.Item)
	// OnChange is called with every accepted item, in the order of acceptance.
	OnChange func(items []*wire.Item)
	// HasEnded reports whether a fact that is not in the table had ended before this box learned of it.
	// A box that is unaware of the end may still send the fact; Receive ignores it. If nil, no
	// fact counts as ended.
	HasEnded func(i *wire.Item) bool
	// IsSuperseded reports whether a received fact is outdated although its version is above the table's:
	// a later version that is equivalent to the table's was not sent to this box. Receive
	// ignores the fact. If nil, no fact counts as superseded.
	IsSuperseded func(i *wire.Item) bool
	// IsEquivalent reports whether a newer version of a fact has no content that other boxes need. The
	// version is kept for new followers, but neither sent to current ones nor passed to OnChange. If nil,
	// every version is sent.
	IsEquivalent func(old, now *wire.Item) bool

	// ResolveRollback reports whether the content of older prevails although newer has the same or a higher
	// version, because the source was restored from a backup that predates older. The fact is then kept
	// under the returned version. read says that this box had older and read newer directly from the
	// source. If nil, the higher version always wins.
	ResolveRollback func(older, newer *wire.Item, read bool) (version uint64, prevails bool)
	// OnIgnored is called with the items that were rejected because the table has a newer version.
	// received says that they came from another box.
	OnIgnored func(items []*wire.Item, received bool)

	mu        sync.Mutex
	entries   map[string]*list.Element // by key
	log       *list.List               // of *entry, by increasing seq
	seq       uint64                   // of the last accepted item
	notify    chan struct{}            // closed when the next item is accepted
	callbacks sync.Mutex               // serialises merges with their callbacks, to keep OnChange in order
}

type entry struct {
	item *wire.Item
	seq  uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[string]*list.Element), log: list.New(), notify: make(chan struct{})}
}

// Merge applies items that this box published or read from the source. Items that are not newer than the table's are
// ignored.
func (t *Table) Merge(items ...*wire.Item) { t.merge(items, false) }

// Receive applies items from another box. It also ignores facts that have ended or are superseded.
func (t *Table) Receive(items ...*wire.Item) { t.merge(items, true) }

func (t *Table) merge(items []*wire.Item, received bool) {
	if t.Prepare != nil {
		t.Prepare(items)
	}
	t.callbacks.Lock()
	defer t.callbacks.Unlock()
	accepted, ignored := t.accept(items, received)
	if len(accepted) > 0 && t.OnChange != nil {
		t.OnChange(accepted)
	}
	if len(ignored) > 0 && t.OnIgnored != nil {
		t.OnIgnored(ignored, received)
	}
}

// accept applies items and returns those that changed the table, and those that are older than the
// table's. received says that they came from another box.
func (t *Table) accept(items []*wire.Item, received bool) (accepted, ignored []*wire.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range items {
		old := t.entries[i.GetKey()]
		if old == nil {
			if received && t.HasEnded != nil && t.HasEnded(i) {
				continue
			}
		} else {
			known := old.Value.(*entry)
			resolved := t.resolve(known.item, i, received)
			if resolved == nil {
				if known.item.GetVersion() != i.GetVersion() {
					ignored = append(ignored, i)
				}
				continue
			}
			i = resolved
			if t.IsEquivalent != nil && t.IsEquivalent(known.item, i) {
				known.item = i
				continue
			}
			t.log.Remove(old)
		}
		t.seq++
		t.entries[i.GetKey()] = t.log.PushBack(&entry{item: i, seq: t.seq})
		accepted = append(accepted, i)
	}
	if len(accepted) > 0 {
		close(t.notify)
		t.notify = make(chan struct{})
	}
	return accepted, ignored
}

// resolve returns the item that replaces the known one when another with its key arrives, or nil if the known one
// stays. received says that the other came from another box.
func (t *Table) resolve(known, incoming *wire.Item, received bool) *wire.Item {
	if known.GetVersion() >= incoming.GetVersion() {
		if v, ok := t.resolveRollback(incoming, known, false); ok {
			return withVersion(incoming, v)
		}
		return nil
	}
	if received && t.IsSuperseded != nil && t.IsSuperseded(incoming) {
		return nil
	}
	if v, ok := t.resolveRollback(known, incoming, !received); ok {
		return withVersion(known, v)
	}
	return incoming
}

func (t *Table) resolveRollback(older, newer *wire.Item, read bool) (uint64, bool) {
	if t.ResolveRollback == nil {
		return 0, false
	}
	return t.ResolveRollback(older, newer, read)
}

// withVersion returns a copy of the item with another version.
func withVersion(i *wire.Item, version uint64) *wire.Item {
	w := withoutValue(i)
	w.Version, w.Value, w.Packed = version, i.GetValue(), i.GetPacked()
	return w
}

// ItemsSince returns the items accepted after seq, oldest first, the current seq, and a
// channel that is closed when the next item is accepted.
func (t *Table) ItemsSince(seq uint64) ([]*wire.Item, uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var items []*wire.Item
	e := t.log.Back()
	for e != nil && e.Value.(*entry).seq > seq {
		e = e.Prev()
	}
	if e == nil {
		e = t.log.Front()
	} else {
		e = e.Next()
	}
	for ; e != nil; e = e.Next() {
		items = append(items, e.Value.(*entry).item)
	}
	return items, t.seq, t.notify
}

// Version returns the version of a key's item, zero if there is none.
func (t *Table) Version(key string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		return e.Value.(*entry).item.GetVersion()
	}
	return 0
}

// knownVersions returns the versions of all items.
func (t *Table) knownVersions() []*wire.Known {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*wire.Known, 0, len(t.entries))
	for k, e := range t.entries {
		list = append(list, &wire.Known{Key: k, Version: e.Value.(*entry).item.GetVersion()})
	}
	return list
}

// Get returns the item of a key, or nil. The item must not be modified.
func (t *Table) Get(key string) *wire.Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		return e.Value.(*entry).item
	}
	return nil
}

// Contains reports whether any item satisfies match.
func (t *Table) Contains(match func(i *wire.Item) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if match(e.Value.(*entry).item) {
			return true
		}
	}
	return false
}

// Discard deletes an item from this table only. Followers are not notified.
func (t *Table) Discard(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		t.log.Remove(e)
		delete(t.entries, key)
	}
}

// Keys returns the keys of the items that are not marked as removed.
func (t *Table) Keys() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []string
	for k, e := range t.entries {
		if !e.Value.(*entry).item.GetRemoved() {
			keys = append(keys, k)
		}
	}
	return keys
}
