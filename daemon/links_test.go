// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

func newTestLinks() *links {
	return &links{node: &Node{Log: logr.Discard()}, abandon: make(map[int]func())}
}

// Guards against requests that wait on a link that has failed, and against the end of those that must not run twice.
func TestOnlyRequestsThatMayBeAbandonedEndWhenTheBoxIsCutOff(t *testing.T) {
	c := quicktest.New(t)
	l := newTestLinks()
	repeatable, doneRepeatable := l.track(engine.WithAbandon(context.Background()))
	once, doneOnce := l.track(context.Background())
	ended, doneEnded := l.track(engine.WithAbandon(context.Background()))
	doneEnded()
	l.setCutOff(true)
	c.Check(repeatable.Err(), quicktest.IsNotNil)
	c.Check(once.Err(), quicktest.IsNil)
	c.Check(ended.Err(), quicktest.IsNotNil)
	doneRepeatable()
	doneOnce()
	c.Check(l.abandon, quicktest.HasLen, 0)
	l.setCutOff(true) // again
	c.Check(l.String(), quicktest.Equals, `{"cut_off":true,"cut_off_times":1,"relayed":0,"relay_failed":0}`)
}

// Guards against probes of endpoints that answer other calls, and against a cut-off box that does not look for the end of it.
func TestLinksAreCheckedWhenNothingCameOrTheBoxIsCutOff(t *testing.T) {
	c := quicktest.New(t)
	l := newTestLinks()
	c.Check(l.checkIsDue(clock.Now()), quicktest.IsTrue)
	l.recordAnswer()
	c.Check(l.checkIsDue(clock.Now()), quicktest.IsFalse)
	c.Check(l.checkIsDue(clock.Now().Add(linkIdleTime+time.Millisecond)), quicktest.IsTrue)
	l.setCutOff(true)
	c.Check(l.checkIsDue(clock.Now()), quicktest.IsTrue)
}
