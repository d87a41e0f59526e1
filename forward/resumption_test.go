// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/forward/origin"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

func resumableRoute(timeout time.Duration) topology.RouteSpec {
	return topology.RouteSpec{Name: "res", Prefix: "/", Kind: topology.Streaming, Timeout: timeout, LatencyTarget: timeout, MaxAttempts: 2, Resumable: true}
}

// siteOrigins are the origins of the streams of one box.
type siteOrigins struct {
	table origin.Table
	asked []OriginQuery
}

// StreamBegan implements Origins.
func (o *siteOrigins) StreamBegan(k origin.Key, began origin.Origin, keep time.Duration) {
	o.table.Add(origin.Record{Key: k, Origin: began, Expires: time.Now().Add(keep)}, true)
}

// FindOrigin implements Origins.
func (o *siteOrigins) FindOrigin(_ context.Context, q OriginQuery) (origin.Origin, bool) {
	o.asked = append(o.asked, q)
	r, known := o.table.Find(q.Key, time.Now())
	return r.Origin, known
}

func newSiteOrigins() *siteOrigins { return &siteOrigins{table: origin.Table{MaxRecords: 1000}} }

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

// streamAttempt sends an attempt of a stream; resumes is the attempt that began it, empty for the first one.
func (s *testSite) streamAttempt(id, resumes, lastEvent string) (status int, retryAfter, text string) {
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/", strings.NewReader("the body"))
	s.c.Assert(err, quicktest.IsNil)
	r.Host = "site.example"
	r.Header.Set("Id", id)
	if resumes != "" {
		r.Header.Set("Test-Resumes", resumes)
	}
	if lastEvent != "" {
		r.Header.Set("Test-Last-Event-Id", lastEvent)
	}
	resp, err := http.DefaultClient.Do(r)
	s.c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body) // the test endpoints may break it off
	return resp.StatusCode, resp.Header.Get("Test-Retry-After"), string(body)
}

// setServices replaces the configuration by one with a route to services with the given weights.
func (s *testSite) setServices(version uint64, weights ...topology.WeightedService) {
	r := resumableRoute(2 * time.Second)
	r.Host, r.Services, r.MaxAttempts = "site.example", weights, 1
	services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app"}), topology.NewService(topology.ServiceSpec{Name: "other"})}
	s.gateway.View.SetConfig(topology.NewConfig(version, []*topology.Route{topology.NewRoute(r)}, services, topology.RequestLimits{MaxBodyBytes: 1 << 10}))
}

// moveEndpoint replaces the last endpoint by one of another service.
func (s *testSite) moveEndpoint(service string) {
	e := s.gateway.View.Endpoint(fmt.Sprintf("e%d", s.count))
	s.gateway.View.RemoveEndpoint(e.ID())
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
		ID: e.ID(), Service: service, Address: e.Address(), DataCentre: "dc", Slots: 4, Software: e.Software(),
	}))
}

// Guards against a route that is split between services and sends a caller's second attempt to another one.
func TestTakeUpGoesToTheServiceThatBeganTheStream(t *testing.T) {
	s := newSite(t)
	s.setServices(1, topology.WeightedService{Name: "app", Weight: 1}, topology.WeightedService{Name: "other", Weight: 1})
	for _, service := range []string{"app", "other"} {
		s.softwareEndpoint(t, "v1")
		s.moveEndpoint(service)
	}
	app, other := s.calls["e1"], s.calls["e2"]
	for i := range 20 {
		began := fmt.Sprintf("first-%d", i)
		before := app.Load()
		_, _, text := s.streamAttempt(began, "", "")
		s.c.Assert(strings.Count(text, "data: v1\n"), quicktest.Equals, 2)
		atApp := app.Load() > before
		before, beforeOther := app.Load(), other.Load()
		status, _, text := s.streamAttempt(fmt.Sprintf("second-%d", i), began, "2")
		s.c.Check(status, quicktest.Equals, http.StatusOK)
		s.c.Check(strings.Count(text, "data: v1\n"), quicktest.Equals, 2)
		s.c.Check(app.Load()-before == 1, quicktest.Equals, atApp)
		s.c.Check(other.Load()-beforeOther == 1, quicktest.Equals, !atApp)
	}
	began := make(map[bool]string) // by whether the service is app: an attempt that it began
	for i := range 20 {
		id, before := fmt.Sprintf("moved-%d", i), app.Load()
		s.streamAttempt(id, "", "")
		began[app.Load() > before] = id
	}
	s.setServices(2, topology.WeightedService{Name: "other", Weight: 1})
	s.c.Check(s.refusal("next", began[true]), quicktest.Equals, string(CodeStreamLost))
	s.c.Check(s.refusal("next", began[false]), quicktest.Equals, "")
}

// refusal returns the code with which a take-up is refused without a time to come back; empty if it is served.
func (s *testSite) refusal(id, resumes string) string {
	status, retryAfter, text := s.streamAttempt(id, resumes, "2")
	if status == http.StatusOK {
		return ""
	}
	s.c.Check(status, quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Check(retryAfter, quicktest.Equals, "")
	return strings.TrimSpace(text)
}

// Guards against a refusal that names a time at which the stream could not go on either.
func TestTakeUpThatCanNotGoOnIsRefusedWithoutATime(t *testing.T) {
	s := newSite(t)
	s.setServices(1, topology.WeightedService{Name: "app", Weight: 1})
	s.softwareEndpoint(t, "v1")
	s.softwareEndpoint(t, "v1")
	s.streamAttempt("first", "", "")
	s.c.Check(s.refusal("second", "never seen"), quicktest.Equals, string(CodeStreamUnknown))
	s.c.Check(s.refusal("first", "second"), quicktest.Equals, string(CodeStreamUnknown))
	s.c.Check(s.refusal("second", "first"), quicktest.Equals, "")
	s.c.Check(s.refusal("third", "first"), quicktest.Equals, "") // a take-up of a take-up names the first attempt
	for _, id := range []string{"e1", "e2"} {
		s.gateway.View.RemoveEndpoint(id)
	}
	s.softwareEndpoint(t, "v2")
	calls := s.calls["e3"]
	s.c.Check(s.refusal("fourth", "first"), quicktest.Equals, string(CodeStreamLost))
	s.c.Check(calls.Load(), quicktest.Equals, int64(0))
}

// Guards against a proof of what began a stream that does not reach back to its beginning: the caller comes back late, or the stream has
// been taken up and has broken off several times.
func TestOriginIsSoughtAsFarBackAsAStreamMayHaveBegun(t *testing.T) {
	for timeout, age := range map[time.Duration]time.Duration{2 * time.Second: 30 * time.Second, 12 * time.Second: 48 * time.Second, time.Minute: 4 * time.Minute} {
		r := resumableRoute(timeout)
		r.Services = []topology.WeightedService{{Name: "app", Weight: 1}}
		s := newSite(t, r)
		s.softwareEndpoint(t, "v1")
		origins := newSiteOrigins()
		s.gateway.Origins = origins
		_, _, _ = s.streamAttempt("second", "first", "2")
		s.c.Assert(origins.asked, quicktest.HasLen, 1)
		s.c.Check(origins.asked[0].Age >= age, quicktest.IsTrue, quicktest.Commentf("%v: %v", timeout, origins.asked[0].Age))
	}
}

// Guards against records that no caller can ask for, which other boxes would store, too.
func TestTakeUpThatNamesNoAttemptIsNotRecorded(t *testing.T) {
	s := newSite(t)
	s.setServices(1, topology.WeightedService{Name: "app", Weight: 1})
	s.softwareEndpoint(t, "v1")
	origins := newSiteOrigins()
	s.gateway.Origins = origins
	origins.StreamBegan(origin.Key{}, origin.Origin{Service: "app", Software: "v1"}, time.Minute) // known without a key
	status, _, text := s.streamAttempt("second", "", "2")
	s.c.Check(status, quicktest.Equals, http.StatusOK)
	s.c.Check(strings.Contains(text, "id: 4"), quicktest.IsTrue, quicktest.Commentf("%s", text))
	s.c.Check(origins.table.Len(), quicktest.Equals, 1)
}

// Guards against streams that begin at a version of which other boxes have not learned yet.
func TestNewSoftwareBeginsNoResumableStreamAtFirst(t *testing.T) {
	s := newSite(t, resumableRoute(2*time.Second))
	delay := time.Minute
	s.gateway.ViewDelay = func() time.Duration { return delay }
	s.softwareEndpoint(t, "v1")
	s.softwareEndpoint(t, "v1")
	clock.SimulateSuspend(time.Hour)
	defer clock.SimulateSuspend(-time.Hour)
	s.softwareEndpoint(t, "v2")
	old, fresh := s.calls["e1"], s.calls["e3"]
	for range 20 {
		_, _, _ = s.ask("/")
	}
	s.c.Check(fresh.Load(), quicktest.Equals, int64(0))
	s.c.Check(old.Load() > 0, quicktest.IsTrue)
	delay = 0
	for range 20 {
		_, _, _ = s.ask("/")
	}
	s.c.Check(fresh.Load() > 0, quicktest.IsTrue)
	delay = time.Minute
	s.gateway.View.RemoveEndpoint("e1")
	s.gateway.View.RemoveEndpoint("e2")
	before := fresh.Load()
	resp, _, err := s.ask("/") // the others are gone
	s.c.Assert(err, quicktest.IsNil)
	s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	after, err := time.ParseDuration(resp.Header.Get("Test-Retry-After"))
	s.c.Assert(err, quicktest.IsNil)
	s.c.Check(after > delay-5*time.Second && after <= delay, quicktest.IsTrue, quicktest.Commentf("%v", after))
	s.c.Check(fresh.Load(), quicktest.Equals, before)
}

// Guards against streams that begin at new software since the owner has their adapters loaded there.
func TestOwnersChoiceOfNewSoftwareBeginsNoResumableStream(t *testing.T) {
	s := newSite(t)
	r := resumableRoute(2 * time.Second)
	r.Host, r.Services = "site.example", []topology.WeightedService{{Name: "app", Weight: 1}}
	services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app", Engine: &topology.EngineSpec{AdapterSlots: 2}})}
	s.gateway.View.SetConfig(topology.NewConfig(2, []*topology.Route{topology.NewRoute(r)}, services, topology.RequestLimits{MaxBodyBytes: 1 << 10}))
	for _, software := range []string{"v1", "v2"} {
		s.softwareEndpoint(t, software)
		id := fmt.Sprintf("e%d", s.count)
		e := s.gateway.View.Endpoint(id)
		s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
			ID: id, Service: "app", Address: e.Address(), DataCentre: "dc", Slots: 4, Software: software, Models: []string{"m"},
		}))
		if software == "v1" {
			clock.SimulateSuspend(time.Hour)
			defer clock.SimulateSuspend(-time.Hour)
		}
	}
	s.gateway.ViewDelay = func() time.Duration { return time.Minute }
	placer := &choosingPlacer{endpoint: "e2"}
	s.gateway.Placer = placer
	status, _ := s.askForAdapter("call-1")
	s.c.Check(status, quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Check(s.calls["e2"].Load(), quicktest.Equals, int64(0))
	s.c.Check(placer.avoided, quicktest.DeepEquals, []string{"e2"})
}

// choosingPlacer chooses one endpoint, whatever the request avoids.
type choosingPlacer struct {
	endpoint string
	avoided  []string // by the latest request
}

// Place implements Placer.
func (p *choosingPlacer) Place(_ context.Context, w AdapterRequest) (PlacementResult, error) {
	p.avoided = w.Avoid
	return PlacementResult{Ready: true, Endpoint: p.endpoint}, nil
}

// askForAdapter sends a request for an adapter, and returns the status and the body of the response.
func (s *testSite) askForAdapter(id string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/", strings.NewReader("the body"))
	s.c.Assert(err, quicktest.IsNil)
	r.Host = "site.example"
	r.Header.Set("Id", id)
	r.Header.Set("Adapter", "m/a")
	resp, err := http.DefaultClient.Do(r)
	s.c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	s.c.Assert(err, quicktest.IsNil)
	return resp.StatusCode, string(text)
}

// loadingPlacer answers that an adapter is loaded at the preferred endpoint, and keeps the requests.
type loadingPlacer struct {
	mu       sync.Mutex
	requests []AdapterRequest
}

// Place implements Placer.
func (p *loadingPlacer) Place(_ context.Context, w AdapterRequest) (PlacementResult, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, w)
	return PlacementResult{Ready: true, Endpoint: w.Endpoint.ID()}, nil
}

// Guards against a stream that can't go on since no other endpoint of its software holds the adapter, or whose load waits for
// those of less urgent requests.
func TestAdapterOfResumedStreamIsLoadedFirstAtItsSoftware(t *testing.T) {
	s := newSite(t)
	r := resumableRoute(2 * time.Second)
	r.Host, r.Services, r.Priority = "site.example", []topology.WeightedService{{Name: "app", Weight: 1}}, 3
	services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app", Engine: &topology.EngineSpec{AdapterSlots: 2}})}
	s.gateway.View.SetConfig(topology.NewConfig(2, []*topology.Route{topology.NewRoute(r)}, services, topology.RequestLimits{MaxBodyBytes: 1 << 10}))
	placer := &loadingPlacer{}
	s.gateway.Placer = placer
	adapter := topology.Adapter{Model: "m", Name: "a"}
	for i, software := range []string{"v1", "v1", "v2"} {
		s.softwareEndpoint(t, software)
		id := fmt.Sprintf("e%d", s.count)
		e := s.gateway.View.Endpoint(id)
		s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
			ID: id, Service: "app", Address: e.Address(), DataCentre: "dc", Slots: 4, Software: software, Models: []string{"m"},
		}))
		if i != 1 {
			s.gateway.View.SetAdapterStates(id, map[topology.Adapter]topology.AdapterState{adapter: {Ready: true}})
		}
	}
	s.gateway.upstream(s.gateway.View.Endpoint("e3")).startRequest(0) // e1 is the least loaded holder
	_, text := s.askForAdapter("call-1")
	s.c.Check(strings.Count(text, "data: v1\n"), quicktest.Equals, 4)
	s.c.Assert(placer.requests, quicktest.HasLen, 1)
	s.c.Check(placer.requests[0].Endpoint.ID(), quicktest.Equals, "e2")
	s.c.Check(placer.requests[0].Priority, quicktest.Equals, 0)
	s.c.Check(placer.requests[0].Avoid, quicktest.DeepEquals, []string{"e3"})
}
