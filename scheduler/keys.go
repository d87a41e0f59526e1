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

// KeySpans are the time spans of a key ledger.
type KeyTiming struct {
	ClockSkew time.Duration // for clocks that differ and views that lag
	Retention time.Duration // how long outcomes are remembered
}

// Keys is the ledger of keys of requests that are not repeatable, at their
// home. It is held in memory alone: after a restart or a change of the home,
// keys that were created before this tenure began are refused, because an
// earlier home may have let them run.
type KeyLedger struct {
	timing     KeyTiming
	maxEntries int // entries kept

	mu             sync.Mutex
	minCreated     time.Time // keys created before it are refused
	entries        map[string]*keyEntry
	insertionOrder []string // keys by arrival, for forgetting
}

type keyEntry struct {
	holder    string // the attempt that holds it
	state     wire.KeyState
	created   time.Time // from the key
	startedAt time.Time
}

// NewKeys returns an empty ledger whose tenure begins at now.
func NewKeyLedger(timing KeyTiming, maxEntries int, now time.Time) *KeyLedger {
	return &KeyLedger{timing: timing, maxEntries: maxEntries, minCreated: now.Add(timing.ClockSkew), entries: make(map[string]*keyEntry)}
}

// NewTenure begins a new tenure at now: this home may have got keys that
// another one held.
func (k *KeyLedger) StartTerm(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if minCreated := now.Add(k.timing.ClockSkew); minCreated.After(k.minCreated) {
		k.minCreated = minCreated
	}
}

// Created returns the creation time that a key carries. The key must be a
// UUID of version 7.
func KeyCreationTime(key string) (time.Time, error) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, errors.Errorf("scheduler: key %q: write a UUID of version 7", key)
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}

// Begin claims a key for an attempt, or tells what became of it. A key seen
// before is answered from the ledger also when it is older than the floor.
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

// seen answers a second sight of a key. An attempt that never said how it
// ended may have run.
func (e *keyEntry) claimAgain(request string, now time.Time, retention time.Duration) wire.KeyState {
	if e.state == wire.KeyState_KEY_STATE_CLAIMED { // given back as not run
		e.holder, e.state, e.startedAt = request, wire.KeyState_KEY_STATE_IN_PROGRESS, now
		return wire.KeyState_KEY_STATE_CLAIMED
	}
	if e.state == wire.KeyState_KEY_STATE_IN_PROGRESS && now.Sub(e.startedAt) > retention/2 {
		return wire.KeyState_KEY_STATE_UNKNOWN
	}
	return e.state
}

// End records the outcome of an attempt that holds the key.
func (k *KeyLedger) End(key, request string, state wire.KeyState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entries[key]
	if e == nil || e.holder != request || e.state != wire.KeyState_KEY_STATE_IN_PROGRESS {
		return
	}
	e.state = state
}

// forgetLocked drops the oldest entries; the floor rises above what they
// carried, so a forgotten key is refused and never runs again.
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

// Len returns how many keys are held.
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
	state, holder := s.Keys.Begin(req.GetKey(), req.GetRequest(), time.Now()) // keys carry the time of day
	return &wire.BeginKeyReply{State: state, Request: holder}, nil
}

// EndKey implements the Scheduler service.
func (s *Scheduler) EndKey(_ context.Context, req *wire.EndKeyRequest) (*wire.EndKeyReply, error) {
	s.Keys.End(req.GetKey(), req.GetRequest(), req.GetState())
	return &wire.EndKeyReply{}, nil
}

// isKeyHome tells whether this scheduler is the home of a key now: first among
// the serving schedulers, in a view that is fresh and has most of those that the
// platform lists, so that the two sides of a cut do not both have a home.
func (s *Scheduler) isKeyHome(key string) bool {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	serving := s.servingSchedulers()
	return !leaving && s.Members.Fresh(clock.Now()) && PreferredOwner(key, serving) == s.Name && hasMajority(serving, s.ListedSchedulers())
}

// majority tells whether the serving are more than half of the listed; of two halves
// the one with the first name counts as more.
func hasMajority(serving, listed []string) bool {
	if len(listed) == 0 {
		return false // nothing is known of how many there are
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
