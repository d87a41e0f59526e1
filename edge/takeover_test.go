// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/forward"
	"cairnwick.example/member"
	"cairnwick.example/placement"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"google.golang.org/grpc/credentials/insecure"
)

// modelSource publishes a configuration and one endpoint with a base model.
type modelSource struct{ emptySource }

// List implements Source.
func (modelSource) List(_ context.Context, c Collection) (Batch, error) {
	if c == Configuration {
		return Batch{Facts: []Fact{{Key: "c/1", Revision: rev(1)}}, Revision: rev(1)}, nil
	}
	return Batch{Facts: []Fact{{Key: "e/1", Revision: rev(1)}}, Revision: rev(1)}, nil
}

// modelDecoder decodes the facts of modelSource.
type modelDecoder struct{ plainDecoder }

// Kind implements Decoder.
func (d modelDecoder) Kind(key string) Kind {
	if key == "c/1" {
		return KindConfig
	}
	return d.plainDecoder.Kind(key)
}

// Config implements Decoder.
func (modelDecoder) Config([]byte) (*topology.Config, error) {
	engine := &topology.EngineSpec{Models: []topology.ModelSpec{{Name: "m"}}, AdapterSlots: 8, LoadsPerSec: 10}
	service := topology.NewService(topology.ServiceSpec{Name: "llm", Engine: engine})
	return topology.NewConfig(1, nil, []*topology.Service{service}, topology.RequestLimits{}), nil
}

// Endpoint implements Decoder.
func (modelDecoder) Endpoint(key string, _ []byte) (*topology.Endpoint, error) {
	return topology.NewEndpoint(topology.EndpointSpec{ID: key, Service: "llm", DataCentre: "dc", Slots: 8, Models: []string{"m"}}), nil
}

// fakeEndpoint is an endpoint that loads adapters instantly.
type fakeEndpoint struct {
	mu      sync.Mutex
	ready   map[topology.Adapter]int64
	fence   uint64
	holders []string       // boxes in the order of their orders, including rejected ones; consecutive duplicates are merged
	reports map[string]int // number of reports read by each box
}

// fakeControl is one box's connection to the endpoint.
type fakeControl struct {
	box      string
	endpoint *fakeEndpoint
}

// Report implements placement.Control.
func (o fakeControl) Report(context.Context, *topology.Endpoint) (placement.Inventory, error) {
	h := o.endpoint
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports[o.box]++
	ready := make(map[topology.Adapter]int64)
	for a, v := range h.ready {
		ready[a] = v
	}
	return placement.Inventory{Models: []string{"m"}, Ready: ready}, nil
}

// Order implements placement.Control.
func (o fakeControl) Order(_ context.Context, _ *topology.Endpoint, d placement.Order) (placement.Outcome, error) {
	h := o.endpoint
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.holders); n == 0 || h.holders[n-1] != d.Holder {
		h.holders = append(h.holders, d.Holder)
	}
	if d.Fence < h.fence {
		return placement.Fenced, nil
	}
	h.fence = d.Fence
	switch {
	case d.Adapter.Name == "":
	case d.Unload:
		delete(h.ready, d.Adapter)
	default:
		h.ready[d.Adapter] = 1
	}
	return placement.Done, nil
}

// awaitLoad requests an adapter until it is loaded.
func awaitLoad(n *Node, name string) {
	for {
		if e := n.view.Endpoint("e/1"); e != nil {
			w := forward.AdapterRequest{Endpoint: e, Adapter: topology.Adapter{Model: "m", Name: name}, Version: 1, TargetWait: time.Second, MaxWait: time.Second}
			if p, err := (placer{node: n}).Place(context.Background(), w); err == nil && p.Ready {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// startAt starts boxes of one data centre that share an endpoint; each is next in line to lead after
// the one before.
func startAt(c *quicktest.C, h *fakeEndpoint, count int) (nodes []*Node, stops []func() error) {
	for i := range count {
		n := newNode(c, fmt.Sprintf("box-%d", i+1))
		if i > 0 {
			n.Settings.Seeds = []string{nodes[0].Settings.Peers}
		}
		n.fences = &placement.Fences{Process: uint32(9 - i)} // in the same term, the later box's fence is the lower one
		n.Source, n.Decoder, n.Control = modelSource{}, modelDecoder{}, fakeControl{box: n.Settings.Box, endpoint: h}
		nodes, stops = append(nodes, n), append(stops, start(n))
		variablesOf(c, n)
	}
	for i, n := range nodes {
		awaitLoad(n, fmt.Sprintf("first-%d", i)) // loaded by the leader
	}
	return nodes, stops
}

// stopAndAwaitNext stops a leader and returns once the next leader has loaded an adapter.
func stopAndAwaitNext(stop func() error, next *Node) (stopped chan error) {
	stopped = make(chan error, 1)
	go func() { stopped <- stop() }()
	for next.loader.Counts().Owned == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	awaitLoad(next, "of-"+next.Settings.Box)
	return stopped
}

// A leader told to stop gave up its endpoints at once, although it kept serving for 2.8 s. The next
// leader claimed them when it learned of that, and loaded nothing until it had a recent enough report
// from the endpoint.
func TestStoppingLeaderHandsOverEndpoints(t *testing.T) {
	c := quicktest.New(t)
	h := &fakeEndpoint{ready: make(map[topology.Adapter]int64), reports: make(map[string]int)}
	nodes, stops := startAt(c, h, 3)
	first := stopAndAwaitNext(stops[0], nodes[1])
	second := stopAndAwaitNext(stops[1], nodes[2]) // while the first one is still serving
	h.mu.Lock()
	reports := maps.Clone(h.reports)
	h.mu.Unlock()
	c.Check(reports, quicktest.DeepEquals, map[string]int{"box-1": 1}) // the others received the endpoint's state in the handover
	c.Check(nodes[2].view.EndpointsReady(topology.Adapter{Model: "m", Name: "first-1"}), quicktest.HasLen, 1)
	c.Assert(<-first, quicktest.IsNil)
	c.Assert(<-second, quicktest.IsNil)
	c.Assert(stops[2](), quicktest.IsNil)
	c.Assert(h.holders, quicktest.DeepEquals, []string{"box-1", "box-2", "box-3"}) // ownership does not alternate
}

// leave marks a box as leaving in the members of another.
func leave(p *peers, m member.Member, received time.Time) {
	t := member.NewTable(m, member.TableOptions{})
	t.Leave()
	p.table.Merge([]member.Member{t.Self()}, received)
}

func TestLeavingBoxIsAskedWhileItMayGiveOrders(t *testing.T) {
	c := quicktest.New(t)
	first, far := box("first", "dc", 1, 400), box("far", "other", 1, 400)
	p := peersOf(box("second", "dc", 2, 400), first, far, box("third", "dc", 3, 400))
	now := time.Now()
	c.Assert(p.departingOwners("dc", now), quicktest.HasLen, 0)
	leave(p, first, now)
	leave(p, far, now)
	list := p.departingOwners("dc", now.Add(placement.HandoverTimeout))
	c.Assert(list, quicktest.HasLen, 1)
	c.Assert(list[0].Name(), quicktest.Equals, "first")
	c.Assert(p.departingOwners("dc", now.Add(placement.HandoverTimeout+orderMargin)), quicktest.HasLen, 0)
	p.leaders = map[string]leadership{"dc": {name: "second", previous: "far"}} // it led dc while dc had no serving box
	c.Assert(p.departingOwners("dc", now), quicktest.HasLen, 2)
}

// Otherwise its orders would interleave with those of the next leader.
func TestHandoverWaitsForUnresponsiveLeavingBox(t *testing.T) {
	c := quicktest.New(t)
	first := member.New("first", freeAddress(c), roleBox, "dc", 1)
	p := peersOf(box("second", "dc", 2, 400), first)
	d := &net.Dialer{Timeout: peerDialTimeout}
	p.dialer = &daemon.Dialer{Credentials: insecure.NewCredentials(), Dial: d.DialContext}
	defer p.dialer.Close()
	e := topology.NewEndpoint(topology.EndpointSpec{ID: "e/1", DataCentre: "dc"})
	h, wait := p.requestHandover(context.Background(), e)
	c.Assert(h.Resigned, quicktest.IsFalse)
	c.Assert(wait, quicktest.Equals, time.Duration(0)) // it is not leaving
	received := time.Now().Add(time.Minute)            // the remaining time is measured from here
	leave(p, first, received)
	h, wait = p.requestHandover(context.Background(), e)
	c.Assert(h.Resigned, quicktest.IsFalse)
	c.Assert(wait > placement.HandoverTimeout, quicktest.IsTrue)
}

// The next leader claimed its endpoints only at its next periodic check. Load requests from boxes that
// already knew of the new leader were not served meanwhile.
func TestNewLeaderClaimsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		h := &fakeEndpoint{ready: make(map[topology.Adapter]int64), reports: make(map[string]int)}
		first := box("first", "dc", 1, 400)
		n := &Node{peers: peersOf(box("second", "dc", 2, 400), first), view: topology.NewView()}
		n.Settings.Bounds.Lease = time.Second
		n.current.Store(&n.Settings)
		config, err := modelDecoder{}.Config(nil)
		c.Assert(err, quicktest.IsNil)
		n.view.SetConfig(config)
		e, err := modelDecoder{}.Endpoint("e/1", nil)
		c.Assert(err, quicktest.IsNil)
		n.view.SetEndpoint(e)
		n.loader = &placement.Loader{
			Box:     "second",
			View:    n.view,
			Control: fakeControl{box: "second", endpoint: h},
			Limits:  func() placement.RateLimits { return placement.DefaultRateLimits },
			Log:     logr.Discard(),
			Fences:  &placement.Fences{Process: 2},
			Lease:   func() time.Duration { return time.Second },
			Leaders: func() int { return 1 },
			Owns:    n.owns,
			AskToResign: func(context.Context, *topology.Endpoint) (placement.Handover, time.Duration) {
				return placement.Handover{}, 0
			},
			Publish: func(string, uint64, map[topology.Adapter]topology.AdapterState) {},
		}
		n.outbox = newOutbox(n)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 2)
		for _, run := range []task{n.loader.Run, n.watchLeadership} {
			go func() { ended <- run(ctx) }()
		}
		time.Sleep(time.Minute + leaderCheckInterval/2) // the periodic checks of the loader and of watchLeadership have the same interval
		leave(n.peers, first, time.Now())
		time.Sleep(leaderCheckInterval / 10)
		h.mu.Lock()
		holders := slices.Clone(h.holders)
		h.mu.Unlock()
		c.Check(holders, quicktest.DeepEquals, []string{"second"})
		stop()
		c.Assert(<-ended, quicktest.IsNil)
		c.Assert(<-ended, quicktest.IsNil)
	})
}

func TestDataCentresLedByBox(t *testing.T) {
	c := quicktest.New(t)
	p := peersOf(box("a", "dc", 1, 400), box("b", "dc", 2, 400), box("f", "far", 3, 400))
	c.Assert(p.clusterView().dataCentresCommandedBy("a"), quicktest.DeepEquals, []string{"dc"})
	c.Assert(p.clusterView().dataCentresCommandedBy("b"), quicktest.HasLen, 0)
	leave(p, box("f", "far", 3, 400), time.Now())
	c.Assert(p.clusterView().dataCentresCommandedBy("a"), quicktest.DeepEquals, []string{"dc", "far"})
}
