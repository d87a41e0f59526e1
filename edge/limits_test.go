// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Accepted overshoot: in any window an endpoint may get one and a half times its limit and five more requests
// from the boxes that received its announcement at least reactionTime earlier.
const (
	limitWindow  = 4 * time.Second
	allowedRatio = 1.5
	allowedExtra = 5
	reactionTime = 500 * time.Millisecond
)

// arrival is a request that reached an endpoint.
type arrival struct {
	at  time.Time
	box string
}

// limitedEndpoint is a server that announces a rate limit in its responses if one is set.
type limitedEndpoint struct {
	address string

	mu          sync.Mutex
	header      string // of its responses; empty: none
	value       string
	refuses     bool                 // it refuses requests
	announcedAt map[string]time.Time // by box: its first response with the current header
	arrivals    []arrival            // since the header was set
}

// ServeHTTP implements http.Handler.
func (e *limitedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	box := r.Header.Get("Box")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, arrival{at: time.Now(), box: box})
	if e.header == "" {
		return
	}
	w.Header().Set(e.header, e.value)
	if e.refuses {
		w.Header().Set("Not-Run", "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if _, known := e.announcedAt[box]; !known {
		e.announcedAt[box] = time.Now()
	}
}

// setHeader sets a header of the responses from now on; an empty name removes it.
func (e *limitedEndpoint) setHeader(header, value string, refuses bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.header, e.value, e.refuses = header, value, refuses
	e.announcedAt, e.arrivals = make(map[string]time.Time), nil
}

// setLimit sets the announced limit; an empty string removes it.
func (e *limitedEndpoint) setLimit(limit string) {
	if limit == "" {
		e.setHeader("", "", false)
		return
	}
	e.setHeader("Limit", limit, false)
}

// maxInWindow returns the highest number of requests in a window from boxes that got the announcement in time.
func (e *limitedEndpoint) maxInWindow() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	var counted []time.Time
	for _, a := range e.arrivals {
		if announced, known := e.announcedAt[a.box]; known && a.at.Sub(announced) >= reactionTime {
			counted = append(counted, a.at)
		}
	}
	most, first := 0, 0
	for i, at := range counted {
		for at.Sub(counted[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// requestCount returns the number of requests since the header was set.
func (e *limitedEndpoint) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.arrivals)
}

// limitedService is a source with endpoints that may announce limits, alternately in two data centres.
type limitedService struct{ endpoints []*limitedEndpoint }

func newLimitedService(c *quicktest.C, count int) *limitedService {
	s := &limitedService{}
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, quicktest.IsNil)
		e := &limitedEndpoint{address: l.Addr().String(), announcedAt: make(map[string]time.Time)}
		server := &http.Server{Handler: e}
		done := make(chan error, 1)
		go func() { done <- server.Serve(l) }()
		c.Cleanup(func() {
			_ = server.Close()
			<-done
		})
		s.endpoints = append(s.endpoints, e)
	}
	return s
}

// List implements Source.
func (s *limitedService) List(_ context.Context, c Collection) (Batch, error) {
	b := Batch{Revision: rev(1)}
	if c == Configuration {
		b.Facts = []Fact{{Key: "config", Revision: rev(1), Value: []byte("v")}}
		return b, nil
	}
	for i, e := range s.endpoints {
		value := fmt.Sprintf("dc-%d/%s", i%2, e.address)
		b.Facts = append(b.Facts, Fact{Key: fmt.Sprintf("e/%d", i), Revision: rev(1), Value: []byte(value)})
	}
	return b, nil
}

// Watch implements Source.
func (s *limitedService) Watch(ctx context.Context, _ Collection, after Revision, wait time.Duration) (Batch, error) {
	sleep(ctx, wait)
	return Batch{Revision: after}, nil
}

// centreDecoder decodes endpoints from values of the form "data centre/address".
type centreDecoder struct{ serviceDecoder }

// Endpoint implements Decoder.
func (centreDecoder) Endpoint(key string, value []byte) (*topology.Endpoint, error) {
	centre, address, _ := strings.Cut(string(value), "/")
	return topology.NewEndpoint(topology.EndpointSpec{ID: key, Service: "s", Address: address, DataCentre: centre, Slots: 8}), nil
}

// startBox starts another box of the first data centre, with a running box as its seed.
func startBox(c *quicktest.C, s Source, known *Node) (started *Node, stop func() error) {
	started = newNode(c, "box-9", known.Settings.Peers)
	started.Settings.DataCentre = "dc-0"
	started.Source, started.Decoder, started.Protocol = s, centreDecoder{}, plainProtocol{}
	stop = start(started)
	variablesOf(c, started)
	return started, stop
}

// answers counts responses by status.
type answers struct {
	mu    sync.Mutex
	count map[int]int
}

// sendLoad sends requests to the boxes in turn, at a rate per second for a time span, and counts the responses by
// status. A 503 response without a retry delay counts as status 0.
func sendLoad(nodes []*Node, rate int, span time.Duration) map[int]int {
	count, _ := sendTimedLoad(nodes, rate, span)
	return count
}

// sendTimedLoad is like sendLoad and also returns how long the sending took. It takes longer than the time span if
// this process gets too little processor time to keep the rate.
func sendTimedLoad(nodes []*Node, rate int, span time.Duration) (count map[int]int, sending time.Duration) {
	got := &answers{count: make(map[int]int)}
	var all sync.WaitGroup
	begun := time.Now()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for i := range int(span.Seconds() * float64(rate)) {
		<-tick.C
		all.Go(func() {
			status, back := post(nodes[i%len(nodes)], strconv.Itoa(i), "x")
			if status == http.StatusServiceUnavailable && back == "" {
				status = 0
			}
			got.mu.Lock()
			defer got.mu.Unlock()
			got.count[status]++
		})
	}
	sending = time.Since(begun)
	all.Wait()
	return got.count, sending
}

// Guards against boxes that ignore announced limits: one endpoint announced 9.4 requests a second and got 95 in 4 s,
// another one 5.4 and got 43, from seven boxes that had read the responses. If each box kept to the limit on its own,
// seven boxes would still send seven times as much, so the leader counts for all of them. Without the limits 94
// requests arrive here in 4 s, where 35 are allowed.
func TestBoxesTogetherKeepAnEndpointsRateLimit(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const boxes, limit = 4, 5
	s := newLimitedService(c, 4)
	nodes, _ := startFleet(c, s, centreDecoder{}, boxes)
	s.endpoints[0].setLimit(strconv.Itoa(limit))
	got := sendLoad(nodes, 80, 8*time.Second)
	allowed := int(allowedRatio*limit*limitWindow.Seconds()) + allowedExtra
	most := s.endpoints[0].maxInWindow()
	c.Check(most <= allowed, quicktest.IsTrue, quicktest.Commentf("%d requests in %v; allowed %d", most, limitWindow, allowed))
	c.Check(s.endpoints[0].requestCount() >= limit, quicktest.IsTrue) // the limit is used, too
	c.Check(got, quicktest.DeepEquals, map[int]int{http.StatusOK: 80 * 8})
}

// Requests beyond the limits of all endpoints are refused at once, with a retry delay.
func TestExcessRequestsAreRefusedWhenAllEndpointsAreLimited(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const boxes, limit = 4, 10
	s := newLimitedService(c, 2)
	nodes, _ := startFleet(c, s, centreDecoder{}, boxes)
	for _, e := range s.endpoints {
		e.setLimit(strconv.Itoa(limit))
	}
	sendLoad(nodes, 80, 500*time.Millisecond)
	begun := time.Now()
	got, sending := sendTimedLoad(nodes, 80, 6*time.Second)
	elapsed := time.Since(begun)
	c.Check(elapsed-sending < 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%v after the last request", elapsed-sending))
	served := float64(got[http.StatusOK])
	least, most := 0.8*2*limit*sending.Seconds(), 2*limit*(elapsed.Seconds()+1)
	c.Check(served >= least && served <= most, quicktest.IsTrue, quicktest.Commentf("%v in %v; %.0f to %.0f expected", got, elapsed, least, most))
	c.Check(got[http.StatusOK]+got[http.StatusServiceUnavailable], quicktest.Equals, 80*6)
	for _, e := range s.endpoints {
		c.Check(e.maxInWindow() <= int(allowedRatio*limit*limitWindow.Seconds())+allowedExtra, quicktest.IsTrue, quicktest.Commentf("%d", e.maxInWindow()))
	}
}

// Only one box may get the response without a limit; the others must learn from it.
func TestAllBoxesUseAnEndpointAgainAfterItsLimitEnds(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const boxes = 4
	s := newLimitedService(c, 2)
	nodes, _ := startFleet(c, s, centreDecoder{}, boxes)
	s.endpoints[0].setLimit("2")
	sendLoad(nodes, 80, 2*time.Second)
	s.endpoints[0].setLimit("")
	sendLoad(nodes, 80, 2*time.Second) // at two requests a second some box gets a response without the limit
	s.endpoints[0].setLimit("")
	sendLoad(nodes, 80, 2*time.Second)
	c.Check(s.endpoints[0].requestCount() >= 40, quicktest.IsTrue, quicktest.Commentf("%d of 160", s.endpoints[0].requestCount()))
	for _, n := range nodes {
		c.Check(n.limits.HasLimit("e/0"), quicktest.IsFalse)
	}
}

// The limit is kept when the leader of the endpoint's data centre ends, and a new box learns which endpoints are
// limited.
func TestLimitIsKeptWhenLeaderChanges(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const boxes, limit = 4, 5
	s := newLimitedService(c, 4)
	nodes, end := startFleet(c, s, centreDecoder{}, boxes)
	s.endpoints[0].setLimit(strconv.Itoa(limit))
	sendLoad(nodes, 80, 2*time.Second)
	ended := make(chan struct{})
	go func() {
		end(0) // the oldest box, so it leads the first data centre
		close(ended)
	}()
	sendLoad(nodes[1:], 80, 6*time.Second)
	<-ended
	allowed := int(allowedRatio*limit*limitWindow.Seconds()) + allowedExtra
	c.Check(s.endpoints[0].maxInWindow() <= allowed, quicktest.IsTrue, quicktest.Commentf("%d requests in %v; allowed %d", s.endpoints[0].maxInWindow(), limitWindow, allowed))
	started, stop := startBox(c, s, nodes[1])
	for tries := 0; !started.limits.HasLimit("e/0"); tries++ {
		c.Assert(tries < 500, quicktest.IsTrue)
		time.Sleep(10 * time.Millisecond)
	}
	c.Check(stop(), quicktest.IsNil)
}

// newLimitedNode returns a node, not running, that knows one endpoint and its limit from a fact.
func newLimitedNode(c *quicktest.C) (n *Node, now time.Time) {
	n = newNode(c, "box-1")
	n.build()
	n.view.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: "e1", Service: "s", DataCentre: "dc"}))
	n.limits.publish("e1", ratelimit.PerSecond(5))
	c.Assert(n.limits.HasLimit("e1"), quicktest.IsTrue)
	return n, clock.Now()
}

// An unreadable fact or response, or a response to a request sent before the limit was announced, does not end it.
func TestOnlyAFactEndsALimit(t *testing.T) {
	c := quicktest.New(t)
	n, now := newLimitedNode(c)
	n.items.Merge(&wire.Item{Key: limitsPrefix + "e1", Version: 1 << 62, Value: []byte("no limit")})
	c.Check(n.limits.HasLimit("e1"), quicktest.IsTrue)
	n.limits.InvalidLimit("e1", errors.New("no number"))
	c.Check(n.limits.HasLimit("e1"), quicktest.IsTrue)
	n.limits.ObserveLimit("e1", ratelimit.Limit{}, now.Add(-time.Second)) // to a request sent before the announcement
	c.Check(n.limits.HasLimit("e1"), quicktest.IsTrue)
	n.limits.publish("e1", ratelimit.Limit{})
	c.Check(n.limits.HasLimit("e1"), quicktest.IsFalse)
}

// A limit that changes after the wall clock was set back still needs a higher version than the facts before.
func TestLimitIsPublishedAfterClockWasSetBack(t *testing.T) {
	c := quicktest.New(t)
	n, _ := newLimitedNode(c)
	ahead := n.items.Version(limitsPrefix+"e1") + uint64(time.Hour.Microseconds())
	n.items.Merge(&wire.Item{Key: limitsPrefix + "e1", Version: ahead, Value: nil})
	c.Assert(n.limits.HasLimit("e1"), quicktest.IsFalse) // a fact without a value has no limit
	n.limits.publish("e1", ratelimit.PerSecond(3))
	c.Check(n.limits.HasLimit("e1"), quicktest.IsTrue)
	c.Check(n.items.Version(limitsPrefix+"e1"), quicktest.Equals, ahead+1)
}

// Limits may change with each response: only large changes are published, and at most one per interval.
func TestOnlyLargeLimitChangesArePublished(t *testing.T) {
	c := quicktest.New(t)
	n, now := newLimitedNode(c)
	c.Check(n.limits.shouldPublish("e1", ratelimit.PerSecond(5.5), now.Add(time.Minute)), quicktest.IsFalse)
	c.Check(n.limits.shouldPublish("e1", ratelimit.PerSecond(9), now), quicktest.IsFalse)
	c.Check(n.limits.shouldPublish("e1", ratelimit.PerSecond(9), now.Add(time.Minute)), quicktest.IsTrue)
	c.Check(n.limits.shouldPublish("e1", ratelimit.Limit{}, now), quicktest.IsTrue)
	fragile := ratelimit.PerSecond(5).WithRejections(16)
	c.Check(n.limits.shouldPublish("e1", fragile, now), quicktest.IsTrue)
	n.limits.publish("e1", fragile)
	now = clock.Now()
	c.Check(n.limits.shouldPublish("e1", ratelimit.PerSecond(5).WithRejections(9), now), quicktest.IsFalse)
	c.Check(n.limits.shouldPublish("e1", ratelimit.PerSecond(5).WithRejections(9), now.Add(time.Minute)), quicktest.IsTrue)
}

// An endpoint restarted at the same address has another ID and announces its own limit.
func TestLimitOfRemovedEndpointIsForgotten(t *testing.T) {
	c := quicktest.New(t)
	n, _ := newLimitedNode(c)
	n.limits.publish("unknown", ratelimit.PerSecond(1)) // as by a box that does not know yet that the endpoint ended
	n.limits.forgetGone()
	c.Check(n.limits.HasLimit("unknown"), quicktest.IsFalse)
	c.Check(n.limits.HasLimit("e1"), quicktest.IsTrue)
	n.view.RemoveEndpoint("e1")
	n.limits.forgetGone()
	c.Check(n.limits.HasLimit("e1"), quicktest.IsFalse)
	c.Check(n.items.Keys(), quicktest.HasLen, 0)
}

// Without a leader a limited endpoint gets no requests, and malformed messages do no harm.
func TestRequestsAreDeniedWithoutLeader(t *testing.T) {
	c := quicktest.New(t)
	n, now := newLimitedNode(c)
	c.Check(n.limits.handleTake(&wire.TakeRequest{}, now).GetLeads(), quicktest.IsFalse)
	c.Check(n.limits.handleReport(&wire.LimitsRequest{Words: []*wire.LimitWord{nil, {Endpoint: "e1", Limit: &wire.RateLimit{Named: true, Rate: math.NaN()}}}}, now).GetLeads(), quicktest.IsFalse)
	taken := n.limits.Acquire(context.Background(), n.view.Endpoint("e1"), ratelimit.Request{})
	c.Check(taken.OK, quicktest.IsFalse)
	c.Check(taken.Wait > 0, quicktest.IsTrue)
	c.Check(n.limits.report()["e1"].Denied, quicktest.Equals, int64(1))
}

// The leader's reply that an endpoint is not limited counts even before the fact arrives.
func TestLeaderReplyEndsALimit(t *testing.T) {
	c := quicktest.New(t)
	n, now := newLimitedNode(c)
	latest, _, _ := n.limits.cached("e1", ratelimit.Request{}, now)
	c.Check(n.limits.applyReply("e1", latest, &wire.TakeReply{Leads: true}, ratelimit.Request{}, now).OK, quicktest.IsTrue)
	c.Check(n.limits.HasLimit("e1"), quicktest.IsFalse)
}
