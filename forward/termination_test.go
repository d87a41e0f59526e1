// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cairnwick.example/quarantine"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// addCrashing adds an endpoint that ends when it gets a request whose body contains text.
func (s *testSite) addCrashing(t *testing.T, id, text string) {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), text) {
			_ = server.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
	}))
	t.Cleanup(server.Close)
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
		ID: id, Service: "app", Address: server.Listener.Addr().String(), DataCentre: "dc", Software: "v1", Slots: 4,
	}))
}

// runGateway runs the site's gateway until the test ends.
func (s *testSite) runGateway(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.gateway.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		s.c.Check(<-done, quicktest.IsNil)
	})
}

// awaitEnds waits until the gateway's counts are as wanted.
func (s *testSite) awaitEnds(want quarantine.TerminationCounts) {
	for range 500 {
		if s.gateway.Ends() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.c.Fatalf("got %+v, want %+v", s.gateway.Ends(), want)
}

func TestEndedEndpointIsDetected(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	s.runGateway(t)
	s.endpoint(t, dropConnection)
	_, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.awaitEnds(quarantine.TerminationCounts{Alive: 1})
	s.gateway.View.RemoveEndpoint("e1")
	s.addCrashing(t, "e2", "the body")
	_, _, err = s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.awaitEnds(quarantine.TerminationCounts{Alive: 1, Endpoints: 1, Requests: 1})
}
