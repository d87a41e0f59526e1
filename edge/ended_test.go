// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/backoff"
	"cairnwick.example/forward"
	"cairnwick.example/quarantine"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// plainProtocol reads a call's ID from a header and accepts every response as an endpoint's own.
type plainProtocol struct{ forward.Protocol }

// ParseCall implements forward.Protocol.
func (plainProtocol) ParseCall(h http.Header) (forward.Call, error) {
	return forward.Call{ID: h.Get("Id")}, nil
}

// SetDirectives implements forward.Protocol.
func (plainProtocol) SetDirectives(http.Header, forward.Directives) {}

// IsCallHeader implements forward.Protocol.
func (plainProtocol) IsCallHeader(string) bool { return false }

// IDHeader implements forward.Protocol.
func (plainProtocol) IDHeader() string { return "" }

// ParseResponse implements forward.Protocol.
func (plainProtocol) ParseResponse(a *http.Response, _ forward.Call, _ string) forward.Response {
	h := a.Header
	v := forward.Response{MatchesCall: true, Signed: true, NotExecuted: h.Get("Not-Run") != ""}
	v.Limit, v.LimitErr = ratelimit.Parse(h.Values("Limit"))
	v.Draining = h.Get("Leaving") != ""
	v.Backoff, v.BackoffErr = backoff.Parse(h.Values("Back-Off"))
	return v
}

// SetRetryAfter implements forward.Protocol.
func (plainProtocol) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

// serviceDecoder returns a configuration with one route to one service. The value of an endpoint's fact is its address.
type serviceDecoder struct{ plainDecoder }

// Kind implements Decoder.
func (d serviceDecoder) Kind(key string) Kind {
	if key == "config" {
		return KindConfig
	}
	return d.plainDecoder.Kind(key)
}

// Config implements Decoder.
func (serviceDecoder) Config([]byte) (*topology.Config, error) {
	r := topology.NewRoute(topology.RouteSpec{
		Name: "r", Host: "h", Prefix: "/", Kind: topology.NonIdempotent, Timeout: 5 * time.Second, LatencyTarget: time.Second,
		Services: []topology.WeightedService{{Name: "s", Weight: 1}}, MaxAttempts: 1,
	})
	s := topology.NewService(topology.ServiceSpec{Name: "s"})
	return topology.NewConfig(1, []*topology.Route{r}, []*topology.Service{s}, topology.RequestLimits{MaxBodyBytes: 1 << 10}), nil
}

// Endpoint implements Decoder.
func (serviceDecoder) Endpoint(key string, value []byte) (*topology.Endpoint, error) {
	return topology.NewEndpoint(topology.EndpointSpec{ID: key, Service: "s", Address: string(value), DataCentre: "dc", Slots: 8}), nil
}

// crashingService is a service whose endpoints crash when they receive a fatal request, and the Source that publishes
// them.
type crashingService struct {
	addresses []string
	crashes   atomic.Int64

	mu       sync.Mutex
	arrivals map[string]int // by body
}

// newCrashingService starts count endpoints, which crash on the body fatal.
func newCrashingService(c *quicktest.C, count int, fatal string) *crashingService {
	f := &crashingService{arrivals: make(map[string]int)}
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, quicktest.IsNil)
		server := &http.Server{}
		server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			f.mu.Lock()
			f.arrivals[string(body)]++
			f.mu.Unlock()
			if string(body) == fatal {
				_ = server.Close() // closes its connections and the listener
				f.crashes.Add(1)
			}
		})
		done := make(chan error, 1)
		go func() { done <- server.Serve(l) }()
		c.Cleanup(func() {
			_ = server.Close()
			<-done
		})
		f.addresses = append(f.addresses, l.Addr().String())
	}
	return f
}

func (f *crashingService) count(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arrivals[body]
}

// List implements Source.
func (f *crashingService) List(_ context.Context, c Collection) (Batch, error) {
	b := Batch{Revision: rev(1)}
	if c == Configuration {
		b.Facts = []Fact{{Key: "config", Revision: rev(1), Value: []byte("v")}}
		return b, nil
	}
	for i, a := range f.addresses {
		b.Facts = append(b.Facts, Fact{Key: fmt.Sprintf("e/%d", i), Revision: rev(1), Value: []byte(a)})
	}
	return b, nil
}

// Watch implements Source.
func (f *crashingService) Watch(ctx context.Context, _ Collection, after Revision, wait time.Duration) (Batch, error) {
	sleep(ctx, wait)
	return Batch{Revision: after}, nil
}

// post sends a body to a box. It returns the status of the response, zero if there is none, and its Retry-After.
func post(n *Node, id, body string) (status int, retryAfter string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.Settings.Callers+"/x", strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = "h"
	r.Header.Set("Id", id)
	r.Header.Set("Box", n.Settings.Box)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer a.Body.Close()
	return a.StatusCode, a.Header.Get("Retry-After")
}

// fleetStartTimeout is the timeout for boxes to find each other, which takes some three seconds.
const fleetStartTimeout = time.Minute

// startFleet starts boxes in front of a service, two in each data centre, and waits until they serve. The function end
// stops a box before the test ends. Each box is passed to configure before it starts.
func startFleet(c *quicktest.C, s Source, d Decoder, boxes int, configure ...func(*Node)) (nodes []*Node, end func(box int)) {
	var seeds []string
	var ends []func() // each may be called several times, and beside the others
	end = func(box int) { ends[box]() }
	for b := range boxes {
		n := newNode(c, fmt.Sprintf("box-%d", b), seeds...)
		n.Settings.DataCentre = fmt.Sprintf("dc-%d", b/2)
		n.Source, n.Decoder, n.Protocol = s, d, plainProtocol{}
		for _, f := range configure {
			f(n)
		}
		nodes = append(nodes, n)
		seeds = []string{nodes[0].Settings.Peers}
		stop := start(n)
		ends = append(ends, sync.OnceFunc(func() { c.Check(stop(), quicktest.IsNil) }))
		c.Cleanup(ends[b])
	}
	begun := time.Now()
	for _, n := range nodes {
		status, members := 0, ""
		for status != http.StatusOK {
			c.Assert(time.Since(begun) < fleetStartTimeout, quicktest.IsTrue, quicktest.Commentf("%s answers %d and sees %s", n.Settings.Box, status, members))
			time.Sleep(20 * time.Millisecond)
			if members = string(variablesOf(c, n)["edge_members"]); members == fmt.Sprintf(`{"alive":%d}`, boxes) {
				status, _ = post(n, "warm", "warm")
			}
		}
	}
	time.Sleep(initialViewDelay)
	return nodes, end
}

// retryPause is the time until a caller retries. Boxes notify each other in the meantime.
const retryPause = 300 * time.Millisecond

// Guards against a request that crashes one endpoint after the other: up to two a second ended, each with the requests
// of other callers that ran there, and a tenth of all requests failed for fifteen seconds. The caller got an error and
// retried the same content under a new ID at any box. No box recorded by content which requests had crashed endpoints,
// or notified the others, so each sent it to the next endpoint. 20 to 24 endpoints ended by one request, 14 to 17 of
// them after the third. The evidence was one path, of millions, in the errors of interrupted requests with 14 IDs at
// seven boxes.
func TestRequestThatCrashedThreeEndpointsReachesNoOther(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const boxes, copies, allowed = 4, 12, 3
	f := newCrashingService(c, copies+1, "fatal")
	nodes, _ := startFleet(c, f, serviceDecoder{}, boxes)
	for i := range copies {
		status, comeBack := post(nodes[i%boxes], fmt.Sprintf("copy-%d", i), "fatal")
		if status == http.StatusServiceUnavailable {
			c.Check(comeBack, quicktest.Not(quicktest.Equals), "")
		}
		time.Sleep(retryPause)
	}
	c.Check(f.crashes.Load(), quicktest.Equals, int64(allowed), quicktest.Commentf("endpoints that ended"))
	c.Check(f.count("fatal"), quicktest.Equals, allowed)
	for _, n := range nodes { // other requests are served
		status, _ := post(n, "other", "other")
		c.Check(status, quicktest.Equals, http.StatusOK)
	}
}

// The leader of a data centre stops after it has counted two crashes. The leader of the other data centre was notified
// too, so the count is not lost, and the third crash is the last one.
func TestCrashCountsSurviveTheLeader(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const boxes = 4
	f := newCrashingService(c, 8, "fatal")
	nodes, end := startFleet(c, f, serviceDecoder{}, boxes)
	for _, b := range []int{1, 0} {
		post(nodes[b], "copy", "fatal")
		time.Sleep(retryPause)
	}
	c.Assert(f.crashes.Load(), quicktest.Equals, int64(2))
	end(0) // the leader of the first data centre, as its oldest box
	for range 3 {
		for _, b := range []int{1, 2, 3} {
			post(nodes[b], "copy", "fatal")
			time.Sleep(retryPause)
		}
	}
	c.Check(f.crashes.Load(), quicktest.Equals, int64(3))
	status, _ := post(nodes[1], "other", "other")
	c.Check(status, quicktest.Equals, http.StatusOK)
}

// Copies of a request reach all boxes at the same time. Those already sent when the third endpoint crashes can't be
// cancelled; all later ones must be rejected. Boxes choose endpoints at random, so two copies may be sent to the same
// one: if only two endpoints crash in the first round, the copies of the second one are not rejected.
func TestConcurrentCopiesCrashNoMoreEndpointsThanWereInFlight(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const boxes = 4
	f := newCrashingService(c, 3*boxes, "fatal")
	nodes, _ := startFleet(c, f, serviceDecoder{}, boxes)
	var crashed []int64 // after each round
	for range 5 {
		before, allowed := f.crashes.Load(), int64(0)
		if before < quarantine.MaxTerminations {
			allowed = boxes
		}
		var copies sync.WaitGroup
		for _, n := range nodes {
			copies.Go(func() { post(n, "copy", "fatal") })
		}
		copies.Wait()
		time.Sleep(retryPause)
		crashed = append(crashed, f.crashes.Load())
		c.Check(f.crashes.Load()-before <= allowed, quicktest.IsTrue, quicktest.Commentf("endpoints ended after each round: %d", crashed))
	}
	c.Check(f.crashes.Load() >= quarantine.MaxTerminations, quicktest.IsTrue, quicktest.Commentf("endpoints ended after each round: %d", crashed))
	for _, n := range nodes {
		status, _ := post(n, "other", "other")
		c.Check(status, quicktest.Equals, http.StatusOK)
	}
}
