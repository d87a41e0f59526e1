// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// softwareEndpoint adds an endpoint whose events name its software. It breaks off each stream that it begins.
func (s *testSite) softwareEndpoint(t *testing.T, software string) {
	s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		first, last := 1, 2
		if r.Header.Get("Test-Last-Event-Id") != "" {
			first, last = 3, 4
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := first; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, software)
			_ = http.NewResponseController(w).Flush()
		}
		if first == 1 {
			panic(http.ErrAbortHandler)
		}
	})
	e := s.gateway.View.Endpoint(fmt.Sprintf("e%d", s.count))
	s.gateway.View.RemoveEndpoint(e.ID()) // another instance
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
		ID: e.ID(), Service: "app", Address: e.Address(), DataCentre: "dc", Slots: 4, Software: software,
	}))
}

// Guards against responses whose events come from two software versions.
func TestBrokenStreamIsResumedAtTheSoftwareThatBeganIt(t *testing.T) {
	s := newSite(t, resumableRoute(2*time.Second))
	for _, software := range []string{"v1", "v1.1", "v1", "v1.1"} {
		s.softwareEndpoint(t, software)
	}
	for range 30 {
		_, text, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Check(strings.Count(text, "data: v1\n") == 4 || strings.Count(text, "data: v1.1\n") == 4, quicktest.IsTrue, quicktest.Commentf("%s", text))
	}
}

// Guards against a stream of an endpoint without a known version that goes on at another endpoint of which none is known either.
func TestStreamOfUnknownSoftwareGoesOnNowhereElse(t *testing.T) {
	s := newSite(t, resumableRoute(2*time.Second))
	for range 3 {
		s.softwareEndpoint(t, "")
	}
	_, text, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNotNil)
	s.c.Assert(strings.Count(text, "data: \n"), quicktest.Equals, 2)
}

// Guards against an attempt that is bound to a software version although its caller has got no event.
func TestAttemptWithoutEventsIsRetriedAtAnySoftware(t *testing.T) {
	s := newSite(t, resumableRoute(2*time.Second))
	s.endpoint(t, dropConnection)
	s.softwareEndpoint(t, "v2")
	s.softwareEndpoint(t, "v2")
	for range 10 {
		_, text, err := s.ask("/")
		s.c.Assert(err == nil || strings.Contains(text, "v2"), quicktest.IsTrue, quicktest.Commentf("%v", err))
	}
}
