// SPDX-License-Identifier: Apache-2.0

// Package share replicates versioned facts between boxes: each box keeps all of
// them in memory, streams them to those that follow it, and merges what it
// receives. Of two facts with the same key the higher version wins, so the order
// and the path of messages do not matter.
//
// Lock order: Table.mu is taken alone; OnChange is called without it.
package share

import (
	"container/list"
	"sync"

	"cairnwick.example/wire"
)

// Table is one box's copy of the facts. It is safe for concurrent use.
type Table struct {
	// OnChange is called with every accepted item, in the order of acceptance. Set it
	// before use.
	OnChange func(items []*wire.Item)
	// HasEnded reports whether a fact that is not in the table had ended before this box began to
	// know of it: a box that has not learned of the end may still send it, and Receive ignores
	// it. Set it before use; nil: none has.
	HasEnded func(i *wire.Item) bool
	// IsSuperseded reports whether a fact that was received is older than this box's knowledge though its
	// version is above the table's: an even newer one said the same as the table does. Receive ignores
	// it. Set it before use; nil: none is.
	IsSuperseded func(i *wire.Item) bool
	// Same reports whether a newer version of a fact says nothing that others need. It is kept, for
	// those that begin to follow, and neither sent nor given to OnChange. Set it before use; nil: every
	// version is sent.
	IsEquivalent func(old, now *wire.Item) bool

	// Outlives reports whether what older says stands though newer has a higher version, or the same: the
	// source of the facts was restored from a copy that is older than older. The fact is then kept under the
	// returned version. read says that this box knew older and has read newer from the source itself. Set it
	// before use; nil: the higher version always wins.
	ResolveRollback func(older, newer *wire.Item, read bool) (version uint64, outlives bool)
	// OnIgnored is called with the items that were not taken because this box knows something newer;
	// received says that another box sent them. Set it before use; nil: nobody asks.
	OnIgnored func(items []*wire.Item, received bool)

	mu        sync.Mutex
	entries   map[string]*list.Element // by key
	log       *list.List               // of *entry, by rising seq
	seq       uint64                   // of the last accepted item
	notify    chan struct{}            // closed at the next acceptance
	callbacks sync.Mutex               // keeps OnChange in order
}

type entry struct {
	item *wire.Item
	seq  uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[string]*list.Element), log: list.New(), notify: make(chan struct{})}
}

// Merge applies items; those that are not newer than what is known change
// nothing.
func (t *Table) Merge(items ...*wire.Item) { t.merge(items, false) }

// Receive merges what another box sent, without new facts that have ended.
func (t *Table) Receive(items ...*wire.Item) { t.merge(items, true) }

func (t *Table) merge(items []*wire.Item, received bool) {
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

// accept applies items. It returns those that are news, and those that are older than what is known;
// received says that another box sent them.
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
			merged := t.resolve(known.item, i, received)
			if merged == nil {
				if known.item.GetVersion() != i.GetVersion() {
					ignored = append(ignored, i)
				}
				continue
			}
			i = merged
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

// merged returns the item to know in place of the known one after another of its key came, nil where it stays;
// received says that another box sent it.
func (t *Table) resolve(known, came *wire.Item, received bool) *wire.Item {
	if known.GetVersion() >= came.GetVersion() {
		if v, ok := t.resolveRollback(came, known, false); ok {
			return withVersion(came, v)
		}
		return nil
	}
	if received && t.IsSuperseded != nil && t.IsSuperseded(came) {
		return nil
	}
	if v, ok := t.resolveRollback(known, came, !received); ok {
		return withVersion(known, v)
	}
	return came
}

func (t *Table) resolveRollback(older, newer *wire.Item, read bool) (uint64, bool) {
	if t.ResolveRollback == nil {
		return 0, false
	}
	return t.ResolveRollback(older, newer, read)
}

// withVersion returns an item that is the same but for its version.
func withVersion(i *wire.Item, version uint64) *wire.Item {
	w := withoutValue(i)
	w.Version, w.Value, w.Packed = version, i.GetValue(), i.GetPacked()
	return w
}

// Since returns the items accepted after seq, oldest first, the new seq, and a
// channel that closes at the next acceptance.
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

// Version returns the version known of a key; zero when it is not known.
func (t *Table) Version(key string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		return e.Value.(*entry).item.GetVersion()
	}
	return 0
}

// known returns the versions of all items.
func (t *Table) knownVersions() []*wire.Known {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*wire.Known, 0, len(t.entries))
	for k, e := range t.entries {
		list = append(list, &wire.Known{Key: k, Version: e.Value.(*entry).item.GetVersion()})
	}
	return list
}

// Get returns the item of a key; nil when it is not known. Do not change it.
func (t *Table) Get(key string) *wire.Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		return e.Value.(*entry).item
	}
	return nil
}

// Any reports whether ok holds for one of the items.
func (t *Table) Contains(ok func(i *wire.Item) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if ok(e.Value.(*entry).item) {
			return true
		}
	}
	return false
}

// Forget drops an item that nobody needs any more, without telling others.
func (t *Table) Discard(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		t.log.Remove(e)
		delete(t.entries, key)
	}
}

// Keys returns the keys of the items that were not removed.
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
