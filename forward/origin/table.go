// SPDX-License-Identifier: Apache-2.0

package origin

import (
	"container/list"
	"crypto/sha256"
	"sync"
	"time"

	"cairnwick.example/quarantine"
)

// Key identifies a stream: the request, and the caller's attempt that brought the first event. Callers that send other
// requests, or other organisations, have other keys, whatever attempt they name.
type Key [keySize]byte

const keySize = 16

// NewKey returns the key of a stream. The attempt's ID is the caller's.
func NewKey(request quarantine.Fingerprint, attempt string) Key {
	h := sha256.New()
	h.Write(request[:])
	h.Write([]byte(attempt))
	return Key(h.Sum(nil)[:keySize])
}

// ParseKey returns the key with the given bytes; false if there are too few or too many.
func ParseKey(b []byte) (k Key, ok bool) {
	if len(b) != keySize {
		return Key{}, false
	}
	return Key(b), true
}

// Record is the origin of one stream.
type Record struct {
	Key     Key
	Origin  Origin
	Expires time.Time // of package clock
}

// Table holds the origins of streams, up to a maximum; the oldest make room for new ones. It is safe for concurrent use.
type Table struct {
	// MaxRecords is the largest number of records. It must be set before use.
	MaxRecords int

	mu      sync.Mutex
	entries map[Key]*list.Element
	order   *list.List // of *entry, the oldest first
}

type entry struct {
	Record

	own       bool // the stream began at this box
	ambiguous bool // streams with different origins have this key
}

// Add records the origin of a stream. own says that it began at this box. An origin never changes: if another one was
// recorded for the key, a caller has used one ID for two attempts, and neither is returned any more. Add reports whether
// the record is new, or expires later than before.
func (t *Table) Add(r Record, own bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries, t.order = make(map[Key]*list.Element), list.New()
	}
	if known := t.entries[r.Key]; known != nil {
		return known.Value.(*entry).update(r, own)
	}
	for len(t.entries) >= t.MaxRecords && t.order.Len() > 0 {
		t.removeLocked(t.order.Front())
	}
	t.entries[r.Key] = t.order.PushBack(&entry{Record: r, own: own})
	return true
}

// update merges another record of the same key.
func (e *entry) update(r Record, own bool) bool {
	e.own = e.own || own
	e.ambiguous = e.ambiguous || e.Origin != r.Origin
	if !r.Expires.After(e.Expires) {
		return false
	}
	e.Expires = r.Expires
	return true
}

func (t *Table) removeLocked(element *list.Element) {
	delete(t.entries, element.Value.(*entry).Key)
	t.order.Remove(element)
}

// Find returns the record of a stream; false if there is none that can be relied on.
func (t *Table) Find(k Key, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	element := t.entries[k]
	if element == nil {
		return Record{}, false
	}
	e := element.Value.(*entry)
	return e.Record, !e.ambiguous && now.Before(e.Expires)
}

// Own returns the records of streams that began at this box.
func (t *Table) Own(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own []Record
	for _, element := range t.entries {
		if e := element.Value.(*entry); e.own && now.Before(e.Expires) {
			own = append(own, e.Record)
		}
	}
	return own
}

// Expire removes expired records.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, element := range t.entries {
		if !now.Before(element.Value.(*entry).Expires) {
			t.removeLocked(element)
		}
	}
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
