// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"testing"
	"time"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/google/uuid"
)

// newTestLedger returns a ledger whose term began an hour ago.
func newTestLedger(maxEntries int) *KeyLedger {
	return NewKeyLedger(KeyTiming{ClockSkew: time.Second, Retention: time.Minute}, maxEntries, time.Now().Add(-time.Hour))
}

func newKey(c *quicktest.C) string {
	u, err := uuid.NewV7()
	c.Assert(err, quicktest.IsNil)
	return u.String()
}

func beginKey(k *KeyLedger, key, request string) wire.KeyState {
	state, _ := k.Begin(key, request, time.Now())
	return state
}

func TestKeyIsClaimedOnce(t *testing.T) {
	c := quicktest.New(t)
	k, key := newTestLedger(4), newKey(c)
	c.Assert(beginKey(k, key, "one"), quicktest.Equals, wire.KeyState_KEY_STATE_CLAIMED)
	c.Assert(beginKey(k, key, "two"), quicktest.Equals, wire.KeyState_KEY_STATE_IN_PROGRESS)
	k.End(key, "two", wire.KeyState_KEY_STATE_CLAIMED) // not the holder
	c.Assert(beginKey(k, key, "two"), quicktest.Equals, wire.KeyState_KEY_STATE_IN_PROGRESS)
	k.End(key, "one", wire.KeyState_KEY_STATE_RAN)
	c.Assert(beginKey(k, key, "two"), quicktest.Equals, wire.KeyState_KEY_STATE_RAN)
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	c := quicktest.New(t)
	k, key := newTestLedger(4), newKey(c)
	beginKey(k, key, "one")
	k.End(key, "one", wire.KeyState_KEY_STATE_CLAIMED)
	c.Assert(beginKey(k, key, "two"), quicktest.Equals, wire.KeyState_KEY_STATE_CLAIMED)
	k.End(key, "one", wire.KeyState_KEY_STATE_CLAIMED) // late, from the previous attempt
	c.Assert(beginKey(k, key, "three"), quicktest.Equals, wire.KeyState_KEY_STATE_IN_PROGRESS)
}

func TestKeyCreatedBeforeTermIsRefused(t *testing.T) {
	c := quicktest.New(t)
	k, key := newTestLedger(4), newKey(c)
	k.StartTerm(time.Now())
	c.Assert(beginKey(k, key, "one"), quicktest.Equals, wire.KeyState_KEY_STATE_TOO_OLD)
	later, _ := k.Begin(newKey(c), "one", time.Now())
	c.Assert(later, quicktest.Equals, wire.KeyState_KEY_STATE_TOO_OLD) // created within the clock skew after the term began
}

func TestKeyCreatedInFutureIsRefused(t *testing.T) {
	c := quicktest.New(t)
	k := newTestLedger(4)
	state, _ := k.Begin(newKey(c), "one", time.Now().Add(-time.Minute))
	c.Assert(state, quicktest.Equals, wire.KeyState_KEY_STATE_TOO_OLD)
}

func TestEvictedKeyIsRefused(t *testing.T) {
	c := quicktest.New(t)
	k, first := newTestLedger(2), newKey(c)
	beginKey(k, first, "one")
	k.End(first, "one", wire.KeyState_KEY_STATE_RAN)
	for range 4 {
		time.Sleep(2 * time.Millisecond) // creation times in keys have a resolution of one millisecond
		beginKey(k, newKey(c), "more")
	}
	c.Assert(k.Len() <= 2, quicktest.IsTrue)
	c.Assert(beginKey(k, first, "two"), quicktest.Equals, wire.KeyState_KEY_STATE_TOO_OLD)
}

func TestKeyWithoutOutcomeBecomesUnknown(t *testing.T) {
	c := quicktest.New(t)
	k, key := newTestLedger(4), newKey(c)
	beginKey(k, key, "one")
	state, _ := k.Begin(key, "two", time.Now().Add(40*time.Second))
	c.Assert(state, quicktest.Equals, wire.KeyState_KEY_STATE_UNKNOWN)
}

func TestOnlyOneSideOfPartitionHasMajority(t *testing.T) {
	c := quicktest.New(t)
	listed := []string{"a", "b", "c", "d"}
	c.Assert(hasMajority([]string{"a", "b", "c"}, listed), quicktest.IsTrue)
	c.Assert(hasMajority([]string{"d"}, listed), quicktest.IsFalse)
	c.Assert(hasMajority([]string{"a", "d"}, listed), quicktest.IsTrue)
	c.Assert(hasMajority([]string{"b", "c"}, listed), quicktest.IsFalse)
	c.Assert(hasMajority([]string{"a", "b", "x", "y", "z"}, listed), quicktest.IsTrue)
	c.Assert(hasMajority([]string{"a"}, nil), quicktest.IsFalse)
}

func TestSchedulerWithoutMajorityIsNoKeyHome(t *testing.T) {
	f := newFixture(t)
	key := newKey(f.C)
	f.Assert(f.scheduler.isKeyHome(key), quicktest.IsTrue)
	f.scheduler.ListedSchedulers = func() []string { return []string{"a/scheduler", "b/scheduler", "box/scheduler"} }
	f.Assert(f.scheduler.isKeyHome(key), quicktest.IsFalse)
}

// Guards against a key that is free again after an attempt that may have run.
func TestKeyThatMayHaveRunIsNotClaimedAgain(t *testing.T) {
	c := quicktest.New(t)
	for _, state := range []wire.KeyState{wire.KeyState_KEY_STATE_RAN, wire.KeyState_KEY_STATE_UNKNOWN, wire.KeyState_KEY_STATE_UNSPECIFIED} {
		k, key := newTestLedger(4), newKey(c)
		beginKey(k, key, "one")
		k.End(key, "one", state)
		c.Check(beginKey(k, key, "two"), quicktest.Equals, state)
		c.Check(beginKey(k, key, "one"), quicktest.Equals, state)
	}
}

// Guards against a key whose outcome changes to "not run" afterwards.
func TestOutcomeOfAKeyIsFinal(t *testing.T) {
	c := quicktest.New(t)
	k, key := newTestLedger(4), newKey(c)
	beginKey(k, key, "one")
	k.End(key, "one", wire.KeyState_KEY_STATE_RAN)
	k.End(key, "one", wire.KeyState_KEY_STATE_CLAIMED)
	c.Check(beginKey(k, key, "two"), quicktest.Equals, wire.KeyState_KEY_STATE_RAN)
}

// Guards against two executions of a request whose claim was sent twice, since the reply to the first was lost.
func TestRepeatedClaimOfAKeyIsNotGranted(t *testing.T) {
	c := quicktest.New(t)
	k, key := newTestLedger(4), newKey(c)
	c.Check(beginKey(k, key, "one"), quicktest.Equals, wire.KeyState_KEY_STATE_CLAIMED)
	c.Check(beginKey(k, key, "one"), quicktest.Equals, wire.KeyState_KEY_STATE_IN_PROGRESS)
}
