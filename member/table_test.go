// SPDX-License-Identifier: Apache-2.0

package member

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

var (
	testOptions = TableOptions{SuspectTimeout: 2 * time.Second, DeadRetention: time.Minute, FreshFor: 3 * time.Second}
	start       = time.Unix(1000, 0)
)

func box(name string, incarnation uint64) Member {
	return New(name, name+":1", Scheduler, "d1", incarnation)
}

func tableOf(self string, others ...string) *Table {
	t := NewTable(box(self, 1), testOptions)
	for _, n := range others {
		t.Merge([]Member{box(n, 1)}, start)
	}
	return t
}

func stateOf(t *Table, name string) State {
	m, _ := t.Find(name)
	return m.State()
}

func TestUnresponsiveMemberBecomesSuspectThenDead(t *testing.T) {
	c := quicktest.New(t)
	v := tableOf("a", "b")
	v.RecordTimeout("b", start)
	c.Assert(stateOf(v, "b"), quicktest.Equals, Suspect)
	c.Assert(v.Serving(Scheduler), quicktest.HasLen, 2)
	v.Tick(start.Add(3 * time.Second))
	c.Assert(stateOf(v, "b"), quicktest.Equals, Dead)
	c.Assert(v.Serving(Scheduler), quicktest.HasLen, 1)
}

func TestOutdatedUpdateAboutRestartedBoxIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	v := tableOf("a", "b")
	v.Merge([]Member{box("b", 5)}, start)
	dead := box("b", 1)
	dead.state = Dead
	v.Merge([]Member{dead}, start)
	c.Assert(stateOf(v, "b"), quicktest.Equals, Alive)
}

func TestWronglySuspectedMemberRefutes(t *testing.T) {
	c := quicktest.New(t)
	v := tableOf("a", "b")
	claim := box("a", 1)
	claim.state = Suspect
	v.Merge([]Member{claim}, start)
	c.Assert(v.Self().Incarnation(), quicktest.Equals, uint64(2))
	c.Assert(v.Self().State(), quicktest.Equals, Alive)
}

func TestMemberOfAnotherDataCentreIsIgnored(t *testing.T) {
	v := tableOf("a")
	v.Merge([]Member{New("z", "z:1", Scheduler, "d2", 1)}, start)
	quicktest.Assert(t, v.Members(), quicktest.HasLen, 1)
}

func TestPauseMakesViewStaleUntilNextExchange(t *testing.T) {
	c := quicktest.New(t)
	v := tableOf("a", "b")
	v.RecordExchange("b", start)
	c.Assert(v.Fresh(start.Add(time.Second)), quicktest.IsTrue)
	v.RecordPause(start.Add(time.Second))
	c.Assert(v.Fresh(start.Add(time.Second)), quicktest.IsFalse)
	v.RecordExchange("b", start.Add(2*time.Second))
	c.Assert(v.Fresh(start.Add(2*time.Second)), quicktest.IsTrue)
}

func TestNeighboursFollowSelfOnTheRing(t *testing.T) {
	c := quicktest.New(t)
	v := tableOf("b", "a", "c", "d")
	v.RecordRefusal("c", start)
	var names []string
	for _, m := range v.Neighbours(2) {
		names = append(names, m.Name())
	}
	c.Assert(names, quicktest.DeepEquals, []string{"d", "a"})
}

func TestUpdatesAreSentABoundedNumberOfTimes(t *testing.T) {
	c := quicktest.New(t)
	v := tableOf("a", "b", "c")
	sent := 0
	for range 100 {
		sent += len(v.NextUpdates(maxUpdates))
	}
	c.Assert(sent > 0 && sent < 40, quicktest.IsTrue, quicktest.Commentf("%d", sent))
	c.Assert(v.NextUpdates(maxUpdates), quicktest.HasLen, 0)
}

func TestEqualViewsHaveEqualDigests(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(tableOf("a", "b", "c").viewSummary().digest, quicktest.Equals, tableOf("c", "b", "a").viewSummary().digest)
	c.Assert(tableOf("a", "b").viewSummary().digest == tableOf("a", "c").viewSummary().digest, quicktest.IsFalse)
}

// A box that returned from a pause ranked as the oldest again, so that the leader of its data centre
// changed twice for one pause.
func TestMemberDeclaredDeadReturnsAsYoungest(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	young := uint64(now.Add(-time.Minute).UnixMicro())
	old := NewTable(box("a", young-1), testOptions)
	claim := box("a", young-1)
	claim.state = Dead
	old.Merge([]Member{claim}, now)
	c.Assert(old.Self().Incarnation() > young, quicktest.IsTrue)
}

// After a partition between data centres, every box had been declared dead elsewhere and took a new incarnation, so
// that the leader of a data centre changed although none of its boxes had failed.
func TestMemberConnectedToItsDataCentreKeepsSeniority(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	old := uint64(now.Add(-time.Minute).UnixMicro())
	v := NewTable(box("a", old), testOptions)
	v.Merge([]Member{box("b", old+1)}, now)
	claim := box("a", old)
	claim.state = Dead
	v.Tick(now)
	v.RecordExchange("b", now)
	v.Merge([]Member{claim}, now)
	c.Assert(v.Self().Incarnation(), quicktest.Equals, old+1)

	v.RecordPause(now) // earlier contacts are no evidence after a pause
	claim.incarnation = old + 1
	v.RecordExchange("b", now)
	v.Merge([]Member{claim}, now)
	c.Assert(v.Self().Incarnation() > old+2, quicktest.IsTrue)
}

func TestDirectContactOverridesGossipOfDeath(t *testing.T) {
	c := quicktest.New(t)
	v := tableOf("a", "b", "c")
	v.RecordExchange("b", start)
	v.RecordContact("c", start.Add(-2*testOptions.SuspectTimeout))
	for _, n := range []string{"b", "c"} {
		claim := box(n, 1)
		claim.state = Dead
		v.Merge([]Member{claim}, start)
	}
	c.Assert(stateOf(v, "b"), quicktest.Equals, Alive)
	c.Assert(stateOf(v, "c"), quicktest.Equals, Dead)
}

// A restarted box was declared dead because a connection still reported a refusal from before
// the restart.
func TestCachedRefusalDoesNotKillRestartedMember(t *testing.T) {
	c := quicktest.New(t)
	v := tableOf("a", "b")
	v.Merge([]Member{box("b", 2)}, start)
	v.RecordRefusal("b", start.Add(refusalCacheTime/2))
	c.Assert(stateOf(v, "b"), quicktest.Equals, Suspect)
	v.RecordRefusal("b", start.Add(refusalCacheTime*2))
	c.Assert(stateOf(v, "b"), quicktest.Equals, Dead)
}

// Guards against a change that waits behind the updates of a simultaneous start: after the few transmissions that it had
// more than the others, it was one of 195 for eight per heartbeat.
func TestLatestChangeIsSentAlthoughManyUpdatesArePending(t *testing.T) {
	c := quicktest.New(t)
	tab := NewTable(box("a", 1), testOptions)
	now := time.Now()
	for i := range 195 {
		tab.Merge([]Member{box(clusterMemberName(i), 1)}, now)
	}
	for range 100 { // messages
		tab.NextUpdates(maxUpdates)
	}
	tab.Merge([]Member{box(clusterMemberName(7), 2)}, now)
	for range 12 {
		names := ""
		for _, m := range tab.NextUpdates(maxUpdates) {
			names += m.Name() + " "
		}
		c.Check(names, quicktest.Contains, clusterMemberName(7))
	}
}
