// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/wire"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// KeyTiming holds the durations of a key ledger.
type KeyTiming struct {
	ClockSkew time.Duration // tolerance for clocks that differ and membership views that lag
	Retention time.Duration // how long outcomes are remembered
}

// KeyLedger records the idempotency keys of non-repeatable requests. Each key has a home, the one
// scheduler that records it. The ledger is held in memory only. After a
// restart or a change of home, keys created before the current term are refused, because an
// earlier home may have let their requests run.
type KeyLedger struct {
	timing     KeyTiming
	maxEntries int

	mu             sync.Mutex
	minCreated     time.Time // keys created before it are refused
	entries        map[string]*keyEntry
	insertionOrder []string // keys in order of arrival, for eviction
}

type keyEntry struct {
	holder    string // request id of the attempt that holds the key
	state     wire.KeyState
	created   time.Time // creation time in the key
	startedAt time.Time
}

// NewKeyLedger returns an empty ledger whose term begins at now.
func NewKeyLedger(timing KeyTiming, maxEntries int, now time.Time) *KeyLedger {
	return &KeyLedger{timing: timing, maxEntries: maxEntries, minCreated: now.Add(timing.ClockSkew), entries: make(map[string]*keyEntry)}
}

// StartTerm begins a new term at now, because this scheduler may have become the home of keys that
// another one held.
func (k *KeyLedger) StartTerm(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if minCreated := now.Add(k.timing.ClockSkew); minCreated.After(k.minCreated) {
		k.minCreated = minCreated
	}
}

// KeyCreationTime returns the creation time encoded in a key, which must be a UUID of version 7.
func KeyCreationTime(key string) (time.Time, error) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, errors.Errorf("scheduler: key %q is not a UUID of version 7", key)
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}

// Begin claims a key for an attempt, or returns the state of the earlier attempt. A key already in
// the ledger is answered from it even if it was created before minCreated.
func (k *KeyLedger) Begin(key, request string, now time.Time) (wire.KeyState, string) {
	created, err := KeyCreationTime(key)
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := k.entries[key]; e != nil {
		return e.claimAgain(request, now, k.timing.Retention), e.holder
	}
	tooNew := created.After(now.Add(k.timing.ClockSkew))
	if err != nil || created.Before(k.minCreated) || tooNew {
		return wire.KeyState_KEY_STATE_TOO_OLD, ""
	}
	k.evictLocked(now)
	k.entries[key] = &keyEntry{holder: request, state: wire.KeyState_KEY_STATE_IN_PROGRESS, created: created, startedAt: now}
	k.insertionOrder = append(k.insertionOrder, key)
	return wire.KeyState_KEY_STATE_CLAIMED, request
}

// claimAgain returns the state for an attempt with a key that is already in the ledger. An earlier
// attempt whose outcome was never recorded may have run.
func (e *keyEntry) claimAgain(request string, now time.Time, retention time.Duration) wire.KeyState {
	if e.state == wire.KeyState_KEY_STATE_CLAIMED { // released without having run
		e.holder, e.state, e.startedAt = request, wire.KeyState_KEY_STATE_IN_PROGRESS, now
		return wire.KeyState_KEY_STATE_CLAIMED
	}
	if e.state == wire.KeyState_KEY_STATE_IN_PROGRESS && now.Sub(e.startedAt) > retention/2 {
		return wire.KeyState_KEY_STATE_UNKNOWN
	}
	return e.state
}

// End records the outcome of the attempt that holds the key.
func (k *KeyLedger) End(key, request string, state wire.KeyState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entries[key]
	if e == nil || e.holder != request || e.state != wire.KeyState_KEY_STATE_IN_PROGRESS {
		return
	}
	e.state = state
}

// evictLocked removes the oldest entries and raises minCreated above their creation times, so that
// an evicted key is refused and its request never runs again.
func (k *KeyLedger) evictLocked(now time.Time) {
	for len(k.insertionOrder) > 0 {
		key := k.insertionOrder[0]
		e := k.entries[key]
		if len(k.insertionOrder) < k.maxEntries && now.Sub(e.startedAt) < k.timing.Retention {
			return
		}
		if e.created.After(k.minCreated) || e.created.Equal(k.minCreated) {
			k.minCreated = e.created.Add(time.Millisecond)
		}
		delete(k.entries, key)
		k.insertionOrder = k.insertionOrder[1:]
	}
}

// Len returns the number of keys in the ledger.
func (k *KeyLedger) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.entries)
}

// BeginKey implements the Scheduler service.
func (s *Scheduler) BeginKey(_ context.Context, req *wire.BeginKeyRequest) (*wire.BeginKeyReply, error) {
	if !s.isKeyHome(req.GetKey()) {
		return &wire.BeginKeyReply{State: wire.KeyState_KEY_STATE_NOT_HOME}, nil
	}
	state, holder := s.Keys.Begin(req.GetKey(), req.GetRequest(), time.Now()) // keys contain wall-clock time
	return &wire.BeginKeyReply{State: state, Request: holder}, nil
}

// EndKey implements the Scheduler service.
func (s *Scheduler) EndKey(_ context.Context, req *wire.EndKeyRequest) (*wire.EndKeyReply, error) {
	s.Keys.End(req.GetKey(), req.GetRequest(), req.GetState())
	return &wire.EndKeyReply{}, nil
}

// isKeyHome reports whether this scheduler is now the home of a key: first in rendezvous order of
// the serving schedulers, in a fresh view that has the majority of the schedulers that the platform
// lists. The majority keeps the two sides of a network partition from both having a home.
func (s *Scheduler) isKeyHome(key string) bool {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	serving := s.servingSchedulers()
	return !leaving && s.Members.Fresh(clock.Now()) && PreferredOwner(key, serving) == s.Name && hasMajority(serving, s.ListedSchedulers())
}

// hasMajority reports whether serving has more than half of listed. With exactly half, the side that
// has the first name in sort order is the majority.
func hasMajority(serving, listed []string) bool {
	if len(listed) == 0 {
		return false // the number of schedulers is unknown
	}
	reachable := 0
	for _, n := range listed {
		if slices.Contains(serving, n) {
			reachable++
		}
	}
	if 2*reachable == len(listed) {
		return slices.Contains(serving, slices.Min(listed))
	}
	return 2*reachable > len(listed)
}
