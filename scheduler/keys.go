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
type KeySpans struct {
	Margin time.Duration // for clocks that differ and views that lag
	Keep   time.Duration // how long outcomes are remembered
}

// Keys is the ledger of keys of requests that are not repeatable, at their
// home. It is held in memory alone: after a restart or a change of the home,
// keys that were created before this tenure began are refused, because an
// earlier home may have let them run.
type Keys struct {
	spans KeySpans
	most  int // entries kept

	mu      sync.Mutex
	floor   time.Time // keys created before it are refused
	entries map[string]*keyEntry
	order   []string // keys by arrival, for forgetting
}

type keyEntry struct {
	request string // the attempt that holds it
	state   wire.KeyState
	created time.Time // from the key
	begun   time.Time
}

// NewKeys returns an empty ledger whose tenure begins at now.
func NewKeys(spans KeySpans, most int, now time.Time) *Keys {
	return &Keys{spans: spans, most: most, floor: now.Add(spans.Margin), entries: make(map[string]*keyEntry)}
}

// NewTenure begins a new tenure at now: this home may have got keys that
// another one held.
func (k *Keys) NewTenure(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f := now.Add(k.spans.Margin); f.After(k.floor) {
		k.floor = f
	}
}

// Created returns the creation time that a key carries. The key must be a
// UUID of version 7.
func Created(key string) (time.Time, error) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, errors.Errorf("scheduler: key %q: write a UUID of version 7", key)
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}

// Begin claims a key for an attempt, or tells what became of it. A key seen
// before is answered from the ledger also when it is older than the floor.
func (k *Keys) Begin(key, request string, now time.Time) (wire.KeyState, string) {
	created, err := Created(key)
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := k.entries[key]; e != nil {
		return e.seen(request, now, k.spans.Keep), e.request
	}
	tooNew := created.After(now.Add(k.spans.Margin))
	if err != nil || created.Before(k.floor) || tooNew {
		return wire.KeyState_KEY_STATE_TOO_OLD, ""
	}
	k.forgetLocked(now)
	k.entries[key] = &keyEntry{request: request, state: wire.KeyState_KEY_STATE_IN_PROGRESS, created: created, begun: now}
	k.order = append(k.order, key)
	return wire.KeyState_KEY_STATE_CLAIMED, request
}

// seen answers a second sight of a key. An attempt that never said how it
// ended may have run.
func (e *keyEntry) seen(request string, now time.Time, keep time.Duration) wire.KeyState {
	if e.state == wire.KeyState_KEY_STATE_CLAIMED { // given back as not run
		e.request, e.state, e.begun = request, wire.KeyState_KEY_STATE_IN_PROGRESS, now
		return wire.KeyState_KEY_STATE_CLAIMED
	}
	if e.state == wire.KeyState_KEY_STATE_IN_PROGRESS && now.Sub(e.begun) > keep/2 {
		return wire.KeyState_KEY_STATE_UNKNOWN
	}
	return e.state
}

// End records the outcome of an attempt that holds the key.
func (k *Keys) End(key, request string, state wire.KeyState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.entries[key]
	if e == nil || e.request != request || e.state != wire.KeyState_KEY_STATE_IN_PROGRESS {
		return
	}
	e.state = state
}

// forgetLocked drops the oldest entries; the floor rises above what they
// carried, so a forgotten key is refused and never runs again.
func (k *Keys) forgetLocked(now time.Time) {
	for len(k.order) > 0 {
		key := k.order[0]
		e := k.entries[key]
		if len(k.order) < k.most && now.Sub(e.begun) < k.spans.Keep {
			return
		}
		if e.created.After(k.floor) || e.created.Equal(k.floor) {
			k.floor = e.created.Add(time.Millisecond)
		}
		delete(k.entries, key)
		k.order = k.order[1:]
	}
}

// Len returns how many keys are held.
func (k *Keys) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.entries)
}

// BeginKey implements the Scheduler service.
func (s *Scheduler) BeginKey(_ context.Context, q *wire.BeginKeyRequest) (*wire.BeginKeyReply, error) {
	if !s.isKeyHome(q.GetKey()) {
		return &wire.BeginKeyReply{State: wire.KeyState_KEY_STATE_NOT_HOME}, nil
	}
	state, holder := s.Keys.Begin(q.GetKey(), q.GetRequest(), time.Now()) // keys carry the time of day
	return &wire.BeginKeyReply{State: state, Request: holder}, nil
}

// EndKey implements the Scheduler service.
func (s *Scheduler) EndKey(_ context.Context, q *wire.EndKeyRequest) (*wire.EndKeyReply, error) {
	s.Keys.End(q.GetKey(), q.GetRequest(), q.GetState())
	return &wire.EndKeyReply{}, nil
}

// isKeyHome tells whether this scheduler is the home of a key now: first among
// the serving schedulers, in a view that is fresh and has most of those that the
// platform lists, so that the two sides of a cut do not both have a home.
func (s *Scheduler) isKeyHome(key string) bool {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	serving := s.schedulers()
	return !leaving && s.Members.Fresh(clock.Now()) && Owner(key, serving) == s.Name && majority(serving, s.Listed())
}

// majority tells whether the serving are more than half of the listed; of two halves
// the one with the first name counts as more.
func majority(serving, listed []string) bool {
	if len(listed) == 0 {
		return false // nothing is known of how many there are
	}
	seen := 0
	for _, n := range listed {
		if slices.Contains(serving, n) {
			seen++
		}
	}
	if 2*seen == len(listed) {
		return slices.Contains(serving, slices.Min(listed))
	}
	return 2*seen > len(listed)
}
