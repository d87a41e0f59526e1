// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// sendEvents writes events with the IDs from first to last, and then breaks off or ends.
func sendEvents(w http.ResponseWriter, first, last int, breaks bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
	if breaks {
		_, _ = io.WriteString(w, "id: 99\ndata: ha") // an incomplete event
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func TestBrokenStreamIsNotCompleted(t *testing.T) {
	r := resumableRoute(2 * time.Second)
	r.Resumable = false
	s := newSite(t, r)
	s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, 1, 2, true) })
	_, text, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNotNil)
	s.c.Assert(text, quicktest.Contains, "piece 2")
	s.c.Assert(text, quicktest.Not(quicktest.Contains), "99")
}

func TestResumedStreamHasNoGapOrRepeat(t *testing.T) {
	s := newSite(t, resumableRoute(2*time.Second))
	serve := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Test-Last-Event-Id") == "" {
			sendEvents(w, 1, 2, true)
		}
		s.c.Check(r.Header.Get("Test-Last-Event-Id"), quicktest.Equals, "2")
		sendEvents(w, 2, 4, false) // the first one is a repeat
	}
	s.endpoint(t, serve)
	s.endpoint(t, serve)
	_, text, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(text, quicktest.Equals, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n")
}

func TestEventsAreRelayedImmediately(t *testing.T) {
	s := newSite(t, resumableRoute(5*time.Second))
	gate := make(chan struct{})
	s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		sendEvents(w, 1, 1, false)
		<-gate
		sendEvents(w, 2, 2, false)
	})
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/", nil)
	s.c.Assert(err, quicktest.IsNil)
	r.Host = "site.example"
	resp, err := http.DefaultClient.Do(r)
	s.c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	first := make([]byte, len("id: 1\ndata: piece 1\n\n"))
	_, err = io.ReadFull(resp.Body, first) // would block if events were buffered
	s.c.Assert(err, quicktest.IsNil)
	close(gate)
	rest, err := io.ReadAll(resp.Body)
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(string(rest), quicktest.Contains, "piece 2")
}

// A stream was cut when its endpoint ended. The endpoints tried next had ended too and refused connections, so
// each attempt to resume failed at once: ten attempts within 20 ms, each of which took a retry from the
// budget, though nothing was sent. It showed as log lines of attempts 2 to 10 with "not reached: connection
// refused".
func TestUnreachableResumeUsesOneRetry(t *testing.T) {
	s := newSite(t, resumableRoute(2*time.Second))
	s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range 2 * maxAttempts {
			s.addUnreachable(fmt.Sprintf("gone-%d", i))
		}
		sendEvents(w, 1, 2, true)
	})
	_, text, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNotNil)
	s.c.Assert(text, quicktest.Contains, "piece 2")
	counts := s.gateway.RetryCounts()["app"]
	s.c.Assert(counts.Made, quicktest.Equals, int64(1))
	s.c.Assert(counts.Unsent <= maxAttempts, quicktest.IsTrue, quicktest.Commentf("%d attempts of which nothing was sent", counts.Unsent))
}

// addUnreachable adds an endpoint at an address without a listener.
func (s *testSite) addUnreachable(id string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Check(err, quicktest.IsNil)
	s.c.Check(l.Close(), quicktest.IsNil)
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
		ID: id, Service: "app", Address: l.Addr().String(), DataCentre: "dc", Software: "v1", Slots: 4,
	}))
}
