// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/member"
	"cairnwick.example/share"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// mutableSource publishes one endpoint until it leaves, at revision 9. If silent it answers no watch.
type mutableSource struct {
	silent bool
	left   atomic.Bool
}

// List implements Source.
func (s *mutableSource) List(_ context.Context, c Collection) (Batch, error) {
	if c != Endpoints || s.left.Load() {
		return Batch{Revision: rev(9)}, nil
	}
	return Batch{Facts: published("e/1"), Revision: rev(5)}, nil
}

// Watch implements Source.
func (s *mutableSource) Watch(ctx context.Context, c Collection, after Revision, wait time.Duration) (Batch, error) {
	if s.silent {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	sleep(ctx, wait)
	if c == Endpoints && s.left.Load() && after < rev(9) {
		return Batch{Facts: []Fact{{Key: "e/1", Revision: rev(9), Removed: true}}, Revision: rev(9)}, nil
	}
	return Batch{Revision: after}, nil
}

// eventually waits until ok returns true, for at most eight seconds.
func eventually(c *quicktest.C, what string, ok func() bool) {
	for range 800 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("not within eight seconds: %s", what)
}

// A follower that could reach the source sent requests to an endpoint more than two seconds after the
// endpoint had withdrawn its entry. The source had stopped responding to the leader of the data centre
// without an error. The leader's watch waited 2.7 s for a response, and meanwhile the leader kept
// reporting itself as current, since its last completed call had succeeded. So its followers did not
// read the source themselves. In the recorded case the follower learned of two removals at once, 1.4
// and 2.3 s late, from its own first call.
func TestFollowerReadsSourceThatStopsAnsweringItsLeader(t *testing.T) {
	c := quicktest.New(t)
	leader := newNode(c, "box-1")
	leader.Source = &mutableSource{silent: true}
	source := &mutableSource{}
	follower := newNode(c, "box-2", leader.Settings.Peers)
	follower.Source = source
	for _, n := range []*Node{leader, follower} {
		stop := start(n)
		defer func() { c.Check(stop(), quicktest.IsNil) }()
		variablesOf(c, n)
	}
	eventually(c, "the follower relies on the leader", func() bool { return !follower.mustRead(Endpoints) })
	eventually(c, "the follower knows the endpoint", func() bool { return follower.view.Endpoint("e/1") != nil })
	source.left.Store(true)
	eventually(c, "the follower knows that the endpoint left", func() bool { return follower.view.Endpoint("e/1") == nil })
}

// Guards against a box that counts as ready before its first contact: it has no box to follow yet, and doesn't know that
// others have facts.
func TestBoxWithSeedsIsNotReadyBeforeContact(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, "box-2", "127.0.0.1:1")
	n.build()
	started := n.peers.started
	c.Check(n.peers.hasFacts(started), quicktest.IsFalse)
	c.Check(n.peers.hasFacts(started.Add(initialFactsTimeout)), quicktest.IsTrue)
	alone := newNode(c, "box-1")
	alone.build()
	c.Check(alone.peers.hasFacts(alone.peers.started), quicktest.IsTrue)
	n.peers.table.Merge([]member.Member{member.New("box-3", "", roleBox, "dc", 1<<60)}, started)
	c.Check(n.peers.hasFacts(started), quicktest.IsTrue) // it leads, and no other box has facts
}

// Guards against a box that counts as ready while most of a long list is still to come: with thousands of endpoints, the
// latest facts, such as quarantined requests, are in the last message.
func TestBoxIsReadyAfterTheWholeFirstList(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, "box-2")
	n.build()
	n.peers.table.Merge([]member.Member{member.New("box-1", "", roleBox, "dc", 1)}, time.Now())
	from := followTarget{name: "box-1", everything: true}
	c.Check(n.peers.hasFacts(n.peers.started), quicktest.IsFalse)
	n.peers.apply(from, &wire.Update{Items: make([]*wire.Item, share.MaxBatchItems)}, time.Now())
	c.Check(n.peers.hasFacts(n.peers.started), quicktest.IsFalse)
	n.peers.apply(from, &wire.Update{Items: make([]*wire.Item, 3)}, time.Now())
	c.Check(n.peers.hasFacts(n.peers.started), quicktest.IsTrue)
}

// leavingBox returns a box that is leaving.
func leavingBox(name string, started uint64) member.Member {
	t := member.NewTable(box(name, "dc", started, 400), member.TableOptions{})
	t.Leave()
	return t.Self()
}

// Guards against a leader that follows boxes that stopped long ago, and not those that are leaving now: a box whose machine
// is gone refuses no connection, and stays listed as leaving for ten minutes.
func TestLeaderDoesNotFollowBoxesThatLeftLongAgo(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	p := peersOf(box("a", "dc", 9, 400))
	p.table.Merge([]member.Member{leavingBox("b", 1), leavingBox("c", 2)}, now.Add(-maxDepartingTime))
	c.Check(p.followTargets(), quicktest.HasLen, 0)
	p.table.Merge([]member.Member{leavingBox("d", 3), leavingBox("e", 4), leavingBox("f", 5)}, now)
	c.Check(p.followTargets(), quicktest.DeepEquals, map[followTarget]bool{
		{name: "d", address: "d:1"}: true,
		{name: "e", address: "e:1"}: true,
	})
}
