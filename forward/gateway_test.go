// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/backoff"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

// plainProtocol is a protocol with its own header names, so that tests notice uses of fixed ones.
type plainProtocol struct{}

// ParseCall implements Protocol.
func (plainProtocol) ParseCall(h http.Header) (Call, error) {
	c := Call{ID: h.Get("Id"), Adapter: topology.ParseAdapter(h.Get("Adapter")), LastEventID: h.Get("Test-Last-Event-Id"), Resumes: h.Get("Test-Resumes")}
	c.Credential = access.NewCredential(h.Values("Key"))
	if d, err := time.ParseDuration(h.Get("Test-Deadline")); err == nil {
		c.Deadline = d
	}
	return c, nil
}

// SetDirectives implements Protocol.
func (plainProtocol) SetDirectives(h http.Header, i Directives) {
	h.Del("Order-Endpoint")
	h.Set("Test-Endpoint", i.Endpoint)
	h.Set("Test-Organisation", i.Organisation)
	if i.LastEventID != "" {
		h.Set("Test-Last-Event-Id", i.LastEventID)
	}
}

// IDHeader implements Protocol.
func (plainProtocol) IDHeader() string { return "Id" }

// IsCallHeader implements Protocol.
func (plainProtocol) IsCallHeader(name string) bool { return name == "Id" || name == "Adapter" }

// ParseResponse implements Protocol.
func (plainProtocol) ParseResponse(resp *http.Response, c Call, _ string) Response {
	head := Response{
		MatchesCall:      resp.Header.Get("Id") == c.ID,
		Signed:           resp.Header.Get("Signed") != "",
		NotExecuted:      resp.Header.Get("Test-Not-Run") != "",
		IsContradictory:  resp.Header.Get("Test-Contradictory") != "",
		AdapterNotLoaded: resp.Header.Get("Test-Adapter-Not-Loaded") != "",
		WrongEndpoint:    resp.Header.Get("Test-Wrong-Endpoint") != "",
	}
	head.Draining = resp.Header.Get("Test-Draining") != ""
	head.Backoff, head.BackoffErr = backoff.Parse(resp.Header.Values("Test-Backoff"))
	return head
}

// SetRetryAfter implements Protocol.
func (plainProtocol) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Test-Retry-After", after.String())
}

type noPlacer struct{}

// Place implements Placer.
func (noPlacer) Place(context.Context, AdapterRequest) (PlacementResult, error) {
	return PlacementResult{RetryAfter: time.Second, Reason: "no placer"}, nil
}

// noLimits has no endpoints with rate limits.
type noLimits struct{}

// HasLimit implements Limits.
func (noLimits) HasLimit(string) bool { return false }

// Acquire implements Limits.
func (noLimits) Acquire(context.Context, *topology.Endpoint, ratelimit.Request) AcquireResult {
	return AcquireResult{OK: true}
}

// Release implements Limits.
func (noLimits) Release(string) {}

// RequestSent implements Limits.
func (noLimits) RequestSent(string) {}

// RequestEnded implements Limits.
func (noLimits) RequestEnded(string) {}

// RequestRejected implements Limits.
func (noLimits) RequestRejected(string) {}

// ObserveLimit implements Limits.
func (noLimits) ObserveLimit(string, ratelimit.Limit, time.Time) {}

// InvalidLimit implements Limits.
func (noLimits) InvalidLimit(string, error) {}

type noObserver struct{}

// RequestStarted implements Observer.
func (noObserver) RequestStarted(*topology.Endpoint, Call) Run { return noRun{} }

type noRun struct{}

// PromptRead implements Run.
func (noRun) PromptRead(int, time.Duration) {}

// Failed implements Run.
func (noRun) Failed() {}

// Finished implements Run.
func (noRun) Finished(time.Duration) {}

// siteBound is the MaxHeldBytes of new sites. Only tests that don't run in parallel change it.
var siteBound int64

// testSite is a gateway with endpoints behind it.
type testSite struct {
	c       *quicktest.C
	gateway *Gateway
	server  *httptest.Server
	count   int
	calls   map[string]*atomic.Int64 // by endpoint
}

func newSite(t *testing.T, routes ...topology.RouteSpec) *testSite {
	v := topology.NewView()
	if len(routes) > 0 {
		var list []*topology.Route
		for _, r := range routes {
			r.Host, r.Services = "site.example", []topology.WeightedService{{Name: "app", Weight: 1}}
			list = append(list, topology.NewRoute(r))
		}
		services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app"})}
		v.SetConfig(topology.NewConfig(1, list, services, topology.RequestLimits{MaxBodyBytes: 1 << 10}))
	}
	g := &Gateway{
		DataCentre:    "dc",
		View:          v,
		Protocol:      plainProtocol{},
		Placer:        noPlacer{},
		Observer:      noObserver{},
		Quarantine:    noQuarantine{},
		Limits:        noLimits{},
		Origins:       newSiteOrigins(),
		Boxes:         func() int { return 1 },
		LoadCost:      func(string) (time.Duration, bool) { return 0, false },
		Unreachable:   func(string) bool { return false },
		ViewDelay:     func() time.Duration { return 0 },
		RetryLimits:   func() RetryLimits { return RetryLimits{Ratio: 0.2, Extra: 1e6, Window: 10 * time.Second} },
		MaxInFlight:   100,
		MaxHeldBytes:  siteBound,
		Log:           logr.Discard(),
		LogBacklogged: func() bool { return false },
		Stats:         NewStats(),
	}
	front := httptest.NewServer(g)
	t.Cleanup(front.Close)
	return &testSite{c: quicktest.New(t), gateway: g, server: front, calls: make(map[string]*atomic.Int64)}
}

// endpoint adds an endpoint with handler h, and returns its count of requests.
func (s *testSite) endpoint(t *testing.T, h http.HandlerFunc) *atomic.Int64 {
	var calls atomic.Int64
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		h(w, r)
	}))
	t.Cleanup(e.Close)
	s.count++
	s.calls[fmt.Sprintf("e%d", s.count)] = &calls
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
		ID:         fmt.Sprintf("e%d", s.count),
		Service:    "app",
		Address:    e.Listener.Addr().String(),
		DataCentre: "dc",
		Software:   "v1",
		Slots:      4,
	}))
	return &calls
}

// ask sends one request and returns the response and its whole body.
func (s *testSite) ask(path string) (*http.Response, string, error) {
	r, err := http.NewRequest(http.MethodPost, s.server.URL+path, strings.NewReader("the body"))
	s.c.Assert(err, quicktest.IsNil)
	r.Host = "site.example"
	r.Header.Set("Id", "call-1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// askAdapter sends one request for the adapter a of the base model m, and returns the response's status.
func (s *testSite) askAdapter() int {
	q, err := http.NewRequest(http.MethodPost, s.server.URL+"/", nil)
	s.c.Assert(err, quicktest.IsNil)
	q.Host = "site.example"
	q.Header.Set("Id", "call-1")
	q.Header.Set("Adapter", "m/a")
	resp, err := http.DefaultClient.Do(q)
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.Body.Close(), quicktest.IsNil)
	return resp.StatusCode
}

func onceRoute(timeout time.Duration) topology.RouteSpec {
	return topology.RouteSpec{Name: "once", Prefix: "/", Kind: topology.NonIdempotent, Timeout: timeout, LatencyTarget: timeout, MaxAttempts: 1}
}

func repeatableRoute(timeout time.Duration) topology.RouteSpec {
	return topology.RouteSpec{Name: "rep", Prefix: "/", Kind: topology.Idempotent, Timeout: timeout, LatencyTarget: timeout, MaxAttempts: 2}
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") }

func refuseNotExecuted(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Test-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// dropConnection closes the connection without a response.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestNoConfiguration(t *testing.T) {
	s := newSite(t)
	resp, _, err := s.ask("/x/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Assert(resp.Header.Get("Test-Retry-After"), quicktest.Equals, "1s")
}

func TestUnknownRoute(t *testing.T) {
	r := onceRoute(time.Second)
	r.Prefix = "/known/"
	s := newSite(t, r)
	resp, _, err := s.ask("/unknown/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusNotFound)
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	var got *http.Request
	var body string
	s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Clone(context.Background())
		raw, _ := io.ReadAll(r.Body)
		body = string(raw)
		answerOK(w, r)
	})
	resp, text, err := s.ask("/a//b/%2f/?q=1&&p=%20")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	s.c.Assert(text, quicktest.Equals, "fine")
	s.c.Assert(got.RequestURI, quicktest.Equals, "/a//b/%2f/?q=1&&p=%20")
	s.c.Assert(got.Host, quicktest.Equals, "site.example")
	s.c.Assert(got.Method, quicktest.Equals, http.MethodPost)
	s.c.Assert(got.Header.Get("Test-Endpoint"), quicktest.Equals, "e1")
	s.c.Assert(body, quicktest.Equals, "the body")
}

func TestBodyLimit(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	calls := s.endpoint(t, answerOK)
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/", strings.NewReader(strings.Repeat("x", 2<<10)))
	s.c.Assert(err, quicktest.IsNil)
	r.Host = "site.example"
	resp, err := http.DefaultClient.Do(r)
	s.c.Assert(err, quicktest.IsNil)
	resp.Body.Close()
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusRequestEntityTooLarge)
	s.c.Assert(calls.Load(), quicktest.Equals, int64(0))
}

func TestRejectedRequestIsRetried(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	refused := s.endpoint(t, refuseNotExecuted)
	ran := s.endpoint(t, answerOK)
	for range 10 {
		resp, _, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	}
	s.c.Assert(ran.Load(), quicktest.Equals, int64(10))
	s.c.Assert(refused.Load() > 0, quicktest.IsTrue)
}

func TestOnceRequestIsNotRetried(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	first := s.endpoint(t, dropConnection)
	second := s.endpoint(t, dropConnection)
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusBadGateway) // not 503: it may have been executed
	s.c.Assert(first.Load()+second.Load(), quicktest.Equals, int64(1))
}

func TestRepeatableRequestIsRetried(t *testing.T) {
	s := newSite(t, repeatableRoute(2*time.Second))
	s.endpoint(t, dropConnection)
	s.endpoint(t, answerOK)
	for range 4 {
		resp, _, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	}
}

// An endpoint failed a repeatable request, the retry budget denied a second attempt, and the caller got a
// response of the box's own instead of the endpoint's.
func TestFailureIsRelayedIfRetryIsDenied(t *testing.T) {
	s := newSite(t, repeatableRoute(2*time.Second))
	s.gateway.RetryLimits = func() RetryLimits { return RetryLimits{Window: time.Second} }
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	first := s.endpoint(t, fail)
	second := s.endpoint(t, fail)
	for calls := range int64(2) {
		resp, _, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusInternalServerError)
		s.c.Assert(resp.Header.Get("Signed"), quicktest.Equals, "yes")
		s.c.Assert(first.Load()+second.Load(), quicktest.Equals, calls+1)
	}
}

func TestResponseToAnotherRequestIsDropped(t *testing.T) {
	for connection, want := range map[string]int{"close": http.StatusBadGateway, "keep-alive": http.StatusGatewayTimeout} {
		s := newSite(t, onceRoute(2*time.Second))
		s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", connection)
			w.Header().Set("Id", "another")
			answerOK(w, r)
		})
		resp, text, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Assert(resp.StatusCode, quicktest.Equals, want)
		s.c.Assert(text, quicktest.Not(quicktest.Contains), "fine")
	}
}

func TestTruncatedResponseIsDropped(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	resp, text, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusBadGateway)
	s.c.Assert(text, quicktest.Not(quicktest.Contains), "half")
}

func TestEndpointErrorIsRelayedUnchanged(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "endpoint error")
	})
	resp, text, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusInternalServerError)
	s.c.Assert(resp.Header.Get("Signed"), quicktest.Equals, "yes")
	s.c.Assert(text, quicktest.Equals, "endpoint error")
}

func TestRouteTimeout(t *testing.T) {
	s := newSite(t, onceRoute(200*time.Millisecond))
	s.endpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body
		<-r.Context().Done()
	})
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusGatewayTimeout)
}
