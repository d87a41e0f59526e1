// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/standin"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// Guards against a late copy of another request's rejection that is taken for this one's: the request runs, and again elsewhere.
func TestRejectionOfAnotherRequestIsNoResponse(t *testing.T) {
	for name, want := range map[string]int{"close": http.StatusBadGateway, "keep-alive": http.StatusGatewayTimeout} {
		for _, header := range []string{"Test-Not-Run", "Test-Adapter-Not-Loaded", "Test-Wrong-Endpoint", "Test-Draining", "Test-Backoff"} {
			t.Run(header+" "+name, func(t *testing.T) {
				s := newSite(t, onceRoute(time.Second))
				copied := func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Connection", name)
					w.Header().Set("Id", "call-0")
					w.Header().Set("Test-Not-Run", "1")
					w.Header().Set(header, "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				first, second := s.endpoint(t, copied), s.endpoint(t, copied)
				resp, _, err := s.ask("/")
				s.c.Assert(err, quicktest.IsNil)
				s.c.Check(resp.StatusCode, quicktest.Equals, want) // it may have run
				s.c.Check(first.Load()+second.Load(), quicktest.Equals, int64(1))
				for _, e := range s.gateway.View.Endpoints("app") {
					s.c.Check(s.gateway.accepts(e.ID(), time.Now()), quicktest.IsTrue)
					s.c.Check(s.gateway.upstream(e).health(time.Now()).down, quicktest.IsFalse)
				}
			})
		}
	}
}

// Guards against a late copy of a request's first response that is taken for its second one, which has the same ID.
func TestSecondAttemptAtAnEndpointUsesAnotherConnection(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app", Engine: &topology.EngineSpec{AdapterSlots: 2}})}
	r := onceRoute(2 * time.Second)
	r.Host, r.Services = "site.example", []topology.WeightedService{{Name: "app", Weight: 1}}
	s.gateway.View.SetConfig(topology.NewConfig(2, []*topology.Route{topology.NewRoute(r)}, services, topology.RequestLimits{MaxBodyBytes: 1 << 10}))
	var mu sync.Mutex
	var callers []string
	s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		callers = append(callers, r.RemoteAddr)
		n := len(callers)
		mu.Unlock()
		if n == 1 {
			w.Header().Set("Test-Adapter-Not-Loaded", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		answerOK(w, r)
	})
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
		ID: "e1", Service: "app", Address: s.gateway.View.Endpoint("e1").Address(), DataCentre: "dc", Software: "v1", Slots: 4, Models: []string{"m"},
	}))
	s.gateway.Placer = readyPlacer{}
	dialled := 0
	s.gateway.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialled++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	s.c.Check(s.askAdapter(), quicktest.Equals, http.StatusOK)
	s.c.Check(s.askAdapter(), quicktest.Equals, http.StatusOK)
	s.c.Assert(callers, quicktest.HasLen, 3)
	s.c.Check(callers[0] == callers[1], quicktest.IsFalse)
	s.c.Check(dialled, quicktest.Equals, 2)
}

// readyPlacer has every adapter at the endpoint that is proposed.
type readyPlacer struct{}

// Place implements Placer.
func (readyPlacer) Place(_ context.Context, w AdapterRequest) (PlacementResult, error) {
	return PlacementResult{Ready: true, Endpoint: w.Endpoint.ID()}, nil
}

// repeatingEndpoint adds an endpoint that sends each response of a connection once more, in the place of the next one.
func (s *testSite) repeatingEndpoint(t *testing.T, h http.HandlerFunc) (calls *atomic.Int64, repeats *standin.Repeater) {
	calls, repeats = new(atomic.Int64), new(standin.Repeater)
	repeats.SetShare(1)
	e := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		h(w, r)
	}))
	e.Listener = repeats.Wrap(e.Listener)
	e.Start()
	t.Cleanup(e.Close)
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
		ID: "repeating", Service: "app", Address: e.Listener.Addr().String(), DataCentre: "dc", Software: "v1", Slots: 4,
	}))
	return calls, repeats
}

// askAs sends one request under an ID and returns the response's status and body.
func (s *testSite) askAs(id string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/", strings.NewReader(id))
	s.c.Assert(err, quicktest.IsNil)
	r.Host = "site.example"
	r.Header.Set("Id", id)
	resp, err := http.DefaultClient.Do(r)
	s.c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.c.Assert(err, quicktest.IsNil)
	return resp.StatusCode, string(body)
}

// Guards against a request that fails because a late copy of another response came before its own.
func TestRequestGetsItsResponseBehindALateCopy(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	stream := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", streamType)
		body, _ := io.ReadAll(r.Body)
		for n := range 3 {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, body)
			_ = http.NewResponseController(w).Flush()
		}
	}
	for name, h := range map[string]http.HandlerFunc{"body": echo, "stream": stream} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, onceRoute(2*time.Second))
			calls, repeats := s.repeatingEndpoint(t, h)
			for n := range 10 {
				id := fmt.Sprintf("call-%d", n)
				status, body := s.askAs(id)
				s.c.Check(status, quicktest.Equals, http.StatusOK)
				s.c.Check(strings.ReplaceAll(body, id, ""), quicktest.Not(quicktest.Contains), "call-")
				s.c.Check(body, quicktest.Contains, id)
			}
			s.c.Check(calls.Load(), quicktest.Equals, int64(10))
			s.c.Check(repeats.Count() > 0, quicktest.IsTrue)
		})
	}
}

// Guards against a request that counts as perhaps executed because the copy of a rejection came before its own rejection.
func TestRejectionBehindALateCopyIsARejection(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	calls, repeats := s.repeatingEndpoint(t, refuseNotExecuted)
	for n := range 5 {
		status, _ := s.askAs(fmt.Sprintf("call-%d", n))
		s.c.Check(status, quicktest.Equals, http.StatusServiceUnavailable)
	}
	s.c.Check(calls.Load(), quicktest.Equals, int64(5))
	s.c.Check(s.gateway.Notices()["repeating"].Surplus, quicktest.Equals, int64(repeats.Count()))
	s.c.Check(repeats.Count(), quicktest.Equals, 4)
}

// Guards against a late copy of the response to an attempt through another box that is taken for that to the next attempt.
func TestSecondAttemptThroughAnotherBoxUsesAnotherConnection(t *testing.T) {
	relay := &testRelay{}
	s, _ := cutOffSite(t, relay)
	s.probe()
	relay.dials.Store(0)
	var mu sync.Mutex
	var callers []string
	for _, e := range s.gateway.View.Endpoints("app") {
		s.gateway.View.RemoveEndpoint(e.ID())
	}
	calls, repeats := s.repeatingEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		callers = append(callers, r.RemoteAddr)
		if len(callers)%2 == 1 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		answerOK(w, r)
	})
	e := s.gateway.View.Endpoint("repeating")
	u, q := s.gateway.upstream(e), &request{inbound: httptest.NewRequest(http.MethodPost, "/", nil), call: Call{ID: "call-1"}}
	q.inbound.Header.Set("Id", "call-1")
	q.config = s.gateway.View.Config()
	q.deadline, q.route, q.service = clock.Now().Add(5*time.Second), topology.NewRoute(onceRoute(5*time.Second)), topology.NewService(topology.ServiceSpec{Name: "app"})
	for n := range 6 {
		resp, relayed, err := s.gateway.exchange(t.Context(), q, u, target{endpoint: e}, "")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Check(relayed, quicktest.IsTrue)
		s.c.Check(resp.StatusCode == http.StatusOK, quicktest.Equals, n%2 == 1)
		s.c.Check(resp.Body.Close(), quicktest.IsNil)
	}
	s.c.Check(calls.Load(), quicktest.Equals, int64(6))
	s.c.Check(relay.dials.Load(), quicktest.Equals, int64(6))
	s.c.Check(repeats.Count(), quicktest.Equals, 0) // each connection ended after its response
	slices.Sort(callers)
	s.c.Check(slices.Compact(callers), quicktest.HasLen, 6)
}

// Guards against a response that is lost because another connection to the endpoint brought one that is for no request.
func TestRequestsInFlightOutliveAConnectionThatIsReset(t *testing.T) {
	s := newSite(t, onceRoute(5*time.Second))
	release, arrived := make(chan struct{}), make(chan struct{}, 8)
	s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("Id")[:4] {
		case "slow":
			arrived <- struct{}{}
			<-release
			answerOK(w, r)
		case "none":
			w.Header().Del("Id")
			answerOK(w, r)
		default:
			answerOK(w, r)
		}
	})
	statuses := make(chan int, 8)
	for n := range 4 {
		go func() {
			status, _ := s.askAs(fmt.Sprintf("slow-%d", n))
			statuses <- status
		}()
	}
	for range 4 {
		<-arrived
	}
	for n := range 3 {
		status, _ := s.askAs(fmt.Sprintf("none-%d", n))
		s.c.Check(status, quicktest.Equals, http.StatusBadGateway)
		status, _ = s.askAs(fmt.Sprintf("next-%d", n))
		s.c.Check(status, quicktest.Equals, http.StatusOK)
	}
	close(release)
	for range 4 {
		s.c.Check(<-statuses, quicktest.Equals, http.StatusOK)
	}
}
