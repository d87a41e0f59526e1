// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/share"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

func TestWhatIsReadAfterAPauseMayHaveBeenSentBeforeIt(t *testing.T) {
	c := quicktest.New(t)
	var p pauses
	now := time.Now()
	c.Check(p.sentBy(now), quicktest.Equals, now)
	p.check(now)
	running := now.Add(minPause - time.Millisecond)
	c.Check(p.sentBy(running), quicktest.Equals, running)
	p.check(running)
	thawed := running.Add(3 * time.Second)
	c.Check(p.sentBy(thawed), quicktest.Equals, running) // before the next check
	p.check(thawed)
	soon := thawed.Add(pauseSettleTime - time.Millisecond)
	for t := thawed; t.Before(soon); t = t.Add(pauseCheckInterval) {
		p.check(t)
	}
	c.Check(p.sentBy(soon), quicktest.Equals, running)
	later := thawed.Add(pauseSettleTime)
	p.check(later)
	c.Check(p.sentBy(later), quicktest.Equals, later)
}

// pausedSource is a source whose response to a watch is read after a pause of the process.
type pausedSource struct {
	emptySource

	c *quicktest.C
}

// Watch implements Source.
func (s pausedSource) Watch(context.Context, Collection, Revision, time.Duration) (Batch, error) {
	suspend(s.c, 3*time.Second)
	return Batch{Revision: rev(9), Facts: []Fact{{Key: "e/9", Revision: rev(9)}}, BeganAt: clock.Now()}, nil
}

// Guards against a box that was stopped and takes the response that arrived meanwhile for a recent one.
func TestResponseOfTheSourceThatWaitedInAPauseIsOld(t *testing.T) {
	c := quicktest.New(t)
	n := &Node{Log: logr.Discard(), Decoder: plainDecoder{}, Protocol: noProtocol{}, Control: noControl{}, Source: pausedSource{c: c}}
	n.build()
	n.pauses.check(clock.Now())
	r := n.reader(Endpoints)
	r.after = rev(1)
	r.asOf = clock.Now()
	hasFacts, err := r.step(c.Context())
	c.Assert(err, quicktest.IsNil)
	c.Assert(hasFacts, quicktest.IsTrue)
	c.Check(clock.Since(r.asOf) >= 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", clock.Since(r.asOf)))
}

// Guards against a box that was stopped and takes the status that another box sent before for a recent one.
func TestStatusThatWaitedInAPauseIsOld(t *testing.T) {
	c := quicktest.New(t)
	n := &Node{Log: logr.Discard(), Decoder: plainDecoder{}, Protocol: noProtocol{}, Control: noControl{}, Source: emptySource{}}
	n.build()
	n.pauses.check(clock.Now())
	suspend(c, 3*time.Second)
	n.peers.receiveStatus("box-2", share.ReadStatus{Age: 100 * time.Millisecond, SettledRevision: uint64(rev(5))}, clock.Now())
	read := n.peers.statuses["box-2"].readAt
	c.Check(clock.Since(read) >= 3*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", clock.Since(read)))
}
