// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// linkedSite is a site with endpoints of which some accept no connection.
func linkedSite(t *testing.T, centres map[string]int, accepts func(id string) bool) *testSite {
	s := newSite(t, onceRoute(time.Second))
	addresses := make(map[string]string) // to IDs
	for centre, count := range centres {
		for i := range count {
			id := fmt.Sprintf("%s-%d", centre, i)
			addresses[id+":1"] = id
			s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "app", Address: id + ":1", DataCentre: centre, Software: "v1", Slots: 4}))
		}
	}
	s.gateway.Dial = func(_ context.Context, _, address string) (net.Conn, error) {
		if accepts(addresses[address]) {
			c, _ := net.Pipe()
			return c, nil
		}
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	return s
}

// probe carries out the probes that are due after connections to all endpoints that accept none have failed.
func (s *testSite) probe() {
	ctx := context.Background()
	for _, e := range s.gateway.View.Endpoints("app") {
		if c, err := s.gateway.DialEndpoint(ctx, e); err == nil {
			s.c.Assert(c.Close(), quicktest.IsNil)
		}
	}
	s.gateway.SuspectLinks(s.gateway.View.Endpoints("app")[0])
	due, _ := s.gateway.links.dueProbes(s.gateway.probeInterval, clock.Now())
	s.c.Assert(due, quicktest.HasLen, 1)
	s.gateway.probeAll(ctx, due)
}

// Endpoints that end together, or whose data centres are cut off, refuse connections one after the other while the rest serves.
func TestBoxIsCutOffOnlyIfNoEndpointAcceptsConnections(t *testing.T) {
	for _, x := range []struct {
		name    string
		centres map[string]int
		accepts func(id string) bool
		cutOff  bool
	}{
		{name: "none accepts", centres: map[string]int{"dc": 4, "far": 4}, accepts: func(string) bool { return false }, cutOff: true},
		{name: "the only one refuses", centres: map[string]int{"dc": 1}, accepts: func(string) bool { return false }, cutOff: true},
		{name: "three of eight ended", centres: map[string]int{"dc": 4, "far": 4}, accepts: func(id string) bool { return id > "dc-2" }},
		{name: "the others are far away", centres: map[string]int{"dc": 1, "far": 9, "farther": 9}, accepts: func(id string) bool { return id == "dc-0" }},
		{name: "the own ones ended", centres: map[string]int{"dc": 9, "far": 1}, accepts: func(id string) bool { return id == "far-0" }},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := linkedSite(t, x.centres, x.accepts)
			s.probe()
			s.c.Check(s.gateway.Links()["app"].CutOff, quicktest.Equals, x.cutOff)
		})
	}
}

func TestBoxIsNoLongerCutOffOnceAnEndpointAcceptsAConnection(t *testing.T) {
	accepts := false
	s := linkedSite(t, map[string]int{"dc": 4}, func(string) bool { return accepts })
	s.probe()
	s.c.Check(s.gateway.Links()["app"].CutOff, quicktest.IsTrue)
	s.c.Check(s.gateway.linkRetryAfter("app", 0) > 0, quicktest.IsTrue)
	accepts = true
	_, err := s.gateway.DialEndpoint(context.Background(), s.gateway.View.Endpoint("dc-0"))
	s.c.Assert(err, quicktest.IsNil)
	got := s.gateway.Links()["app"]
	s.c.Check(got.CutOff, quicktest.IsFalse)
	s.c.Check(got.CutOffTimes, quicktest.Equals, int64(1))
	s.c.Check(got.Unreachable, quicktest.Equals, 0)
	s.c.Check(s.gateway.linkRetryAfter("app", time.Second), quicktest.Equals, time.Second)
}

// What a request went through while this box was cut off says nothing of the endpoint, also after the links are back.
func TestTimeOfTheLastCutOffIsRemembered(t *testing.T) {
	c := quicktest.New(t)
	var l links
	now := time.Now()
	c.Check(l.wasCutOffSince("s", now), quicktest.IsFalse)
	l.recordConnect("s", "e1", false, now)
	c.Check(l.recordProbesFailed("s", 1, now), quicktest.Equals, linkLost)
	c.Check(l.wasCutOffSince("s", now.Add(time.Hour)), quicktest.IsTrue)
	c.Check(l.recordConnect("s", "e1", true, now.Add(time.Second)), quicktest.Equals, linkRestored)
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

// A box that keeps failing to connect to an endpoint that has ended would probe the others four times a second.
func TestRepeatedSuspicionsAreBoundedToo(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	s.endpoint(t, answerOK)
	e := s.gateway.View.Endpoints("app")[0]
	s.gateway.Boxes = func() int { return 380 }
	now := clock.Now()
	rounds := func(at time.Time) int {
		s.gateway.links.recordConnect("app", e.ID(), false, at)
		due, next := s.gateway.links.dueProbes(s.gateway.probeInterval, at)
		s.c.Check(len(due) == 1 || next.After(at), quicktest.IsTrue)
		return len(due)
	}
	s.c.Check(rounds(now), quicktest.Equals, 1)
	s.c.Check(rounds(now.Add(linkProbeInterval)), quicktest.Equals, 0)
	s.c.Check(rounds(now.Add(s.gateway.probeInterval("app"))), quicktest.Equals, 1)
}
