// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestBoxIsCutOffWhenSeveralEndpointsAcceptNoConnection(t *testing.T) {
	c := quicktest.New(t)
	var l links
	now := time.Now()
	c.Check(l.recordConnect("s", "e1", 12, false, now), quicktest.Equals, linkUnchanged)
	c.Check(l.recordConnect("s", "e1", 12, false, now), quicktest.Equals, linkUnchanged) // the same endpoint again
	c.Check(l.recordConnect("s", "e2", 12, false, now), quicktest.Equals, linkUnchanged)
	c.Check(l.recordConnect("s", "e3", 12, true, now), quicktest.Equals, linkUnchanged) // only two have failed
	c.Check(l.recordConnect("s", "e4", 12, false, now), quicktest.Equals, linkUnchanged)
	c.Check(l.recordConnect("s", "e5", 12, false, now), quicktest.Equals, linkUnchanged)
	c.Check(l.recordConnect("s", "e6", 12, false, now), quicktest.Equals, linkLost)
	c.Check(l.recordConnect("other", "o1", 1, false, now), quicktest.Equals, linkLost)
	c.Check(l.recordConnect("s", "e1", 12, true, now), quicktest.Equals, linkRestored)
	c.Check(l.counts()["other"], quicktest.Equals, LinkCounts{CutOff: true, Failed: 1, Unreachable: 1, CutOffTimes: 1})
	c.Check(l.counts()["s"], quicktest.Equals, LinkCounts{Connected: 2, Failed: 6, CutOffTimes: 1})
}

// What a request went through while this box was cut off says nothing of the endpoint, also after the links are back.
func TestTimeOfTheLastCutOffIsRemembered(t *testing.T) {
	c := quicktest.New(t)
	var l links
	now := time.Now()
	c.Check(l.wasCutOffSince("s", now), quicktest.IsFalse)
	l.recordConnect("s", "e1", 1, false, now)
	c.Check(l.wasCutOffSince("s", now.Add(time.Hour)), quicktest.IsTrue)
	l.recordConnect("s", "e1", 1, true, now.Add(time.Second))
	c.Check(l.wasCutOffSince("s", now.Add(500*time.Millisecond)), quicktest.IsTrue)
	c.Check(l.wasCutOffSince("s", now.Add(2*time.Second)), quicktest.IsFalse)
}

// All boxes are cut off where a service's endpoints have all ended: 380 boxes would open 1,520 connections a second to each of
// three endpoints that start again.
func TestProbesOfAllBoxesTogetherAreBounded(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	for range 3 {
		s.endpoint(t, answerOK)
	}
	for _, boxes := range []int{1, 7, 380} {
		s.gateway.Boxes = func() int { return boxes }
		interval := s.gateway.probeInterval("app")
		s.c.Check(interval >= linkProbeInterval, quicktest.IsTrue)
		perEndpoint := float64(boxes*linkProbes) / 3 / interval.Seconds()
		s.c.Check(perEndpoint <= 1.001*maxProbeRate, quicktest.IsTrue, quicktest.Commentf("%d boxes: %.0f a second", boxes, perEndpoint))
	}
}
