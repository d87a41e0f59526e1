// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// mutableSource publishes one endpoint until it leaves, with revision 9. Where it is silent it
// answers no watch.
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

// eventually waits until ok holds, for much longer than it may take.
func eventually(c *quicktest.C, what string, ok func() bool) {
	for range 800 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("not within eight seconds: %s", what)
}

// Callers were sent to an endpoint more than two seconds after it had withdrawn from the
// source, by a box that reached the source all the time.
//
// The order of events: the source stops answering the leader of a data centre, without a
// word. An endpoint withdraws. The leader's watch waits for its answer for 2.7 s, and so
// long the leader goes on telling its followers that it hears the source, since its last
// call that ended went well. They wait for news from it and do not read by themselves.
//
// The evidence: the calls of that leader got no answer from one moment on; its follower knew
// of two endpoints that had gone 1.4 and 2.3 s before at one moment, by its own first call.
func TestAFollowerHearsWhatItsLeaderIsNotTold(t *testing.T) {
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
