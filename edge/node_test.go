// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/logging"
	"cairnwick.example/placement"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// emptySource is a Source without facts.
type emptySource struct{}

// List implements Source.
func (emptySource) List(context.Context, Collection) (Batch, error) {
	return Batch{Revision: rev(1)}, nil
}

// Watch implements Source.
func (emptySource) Watch(ctx context.Context, _ Collection, after Revision, wait time.Duration) (Batch, error) {
	sleep(ctx, wait)
	return Batch{Revision: after}, nil
}

// noProtocol rejects every call.
type noProtocol struct{ forward.Protocol }

// ParseCall implements forward.Protocol.
func (noProtocol) ParseCall(http.Header) (forward.Call, error) {
	return forward.Call{}, errors.New("no calls here")
}

// SetRetryAfter implements forward.Protocol.
func (noProtocol) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", after.String())
}

// noControl reaches no endpoint.
type noControl struct{}

// Report implements placement.Control.
func (noControl) Report(context.Context, *topology.Endpoint) (placement.Inventory, error) {
	return placement.Inventory{}, errors.New("no endpoints here")
}

// Order implements placement.Control.
func (noControl) Order(context.Context, *topology.Endpoint, placement.Order) (placement.Outcome, error) {
	return 0, errors.New("no endpoints here")
}

// The port range of boxes in tests. It is below the ephemeral ports, of which one could be assigned to another
// connection before the box listens on it.
const firstPort, lastPort = 10_000, 32_000

// nextPort is the next port to try. It starts at a random one, since other test processes run at the same time.
var nextPort atomic.Int64

// freeAddress returns an unused loopback address that no other test of this process gets.
func freeAddress(c *quicktest.C) string {
	nextPort.CompareAndSwap(0, 1+rand.Int64N(lastPort-firstPort))
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			c.Assert(l.Close(), quicktest.IsNil)
			return l.Addr().String()
		}
	}
	c.Fatal("no free port")
	return ""
}

func newNode(c *quicktest.C, box string, seeds ...string) *Node {
	return &Node{
		Settings: Settings{
			Box:        box,
			DataCentre: "dc",
			Callers:    freeAddress(c),
			Ready:      freeAddress(c),
			Peers:      freeAddress(c),
			Metrics:    freeAddress(c),
			Seeds:      seeds,
			Limits:     Limits{MemoryMB: 1024, Descriptors: 1024},
			Bounds:     Bounds{Grace: 4 * time.Second, Lease: time.Second},
			Budget:     forward.RetryLimits{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
			Rate:       placement.DefaultRateLimits,
		},
		Source:   emptySource{},
		Decoder:  plainDecoder{},
		Protocol: noProtocol{},
		Control:  noControl{},
		Log:      logr.Discard(),
		Lines:    logging.NewBoundedWriter(io.Discard),
	}
}

// start runs a node until stop is called.
func start(n *Node) (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	stop = func() error {
		cancel()
		return <-done
	}
	return stop
}

// variablesOf returns a node's metrics, once it serves them.
func variablesOf(c *quicktest.C, n *Node) map[string]json.RawMessage {
	for range 500 {
		a, err := http.Get("http://" + n.Settings.Metrics + "/metrics")
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		defer a.Body.Close()
		vars := make(map[string]json.RawMessage)
		c.Assert(json.NewDecoder(a.Body).Decode(&vars), quicktest.IsNil)
		return vars
	}
	c.Fatal("no metrics")
	return nil
}

func TestOperationsPageDescribesEachMetric(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, "box-1")
	stop := start(n)
	exported := slices.Sorted(maps.Keys(variablesOf(c, n)))
	c.Assert(stop(), quicktest.IsNil)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	c.Assert(err, quicktest.IsNil)
	described := make(map[string]bool)
	for _, m := range regexp.MustCompile("`(edge_[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		described[m[1]] = true
	}
	c.Assert(slices.Sorted(maps.Keys(described)), quicktest.DeepEquals, exported)
}

func TestBoxWithoutConfigurationIsNotReady(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, "box-1")
	stop := start(n)
	variablesOf(c, n)
	a, err := http.Get("http://" + n.Settings.Ready + "/")
	c.Assert(err, quicktest.IsNil)
	a.Body.Close()
	c.Assert(a.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	a, err = http.Get("http://" + n.Settings.Callers + "/")
	c.Assert(err, quicktest.IsNil)
	a.Body.Close()
	c.Assert(a.StatusCode, quicktest.Equals, http.StatusServiceUnavailable) // not 404, although no route is known
	c.Assert(stop(), quicktest.IsNil)
}

func TestBoxesFindEachOtherThroughASeedAndOneLeads(t *testing.T) {
	c := quicktest.New(t)
	first := newNode(c, "box-1")
	second := newNode(c, "box-2", first.Settings.Peers)
	third := newNode(c, "box-3", first.Settings.Peers)
	var stops []func() error
	for _, n := range []*Node{first, second, third} {
		stops = append(stops, start(n))
		variablesOf(c, n)
	}
	for _, n := range []*Node{first, second, third} {
		for string(variablesOf(c, n)["edge_members"]) != `{"alive":3}` {
			time.Sleep(20 * time.Millisecond)
		}
	}
	leaders := 0
	for _, n := range []*Node{first, second, third} {
		if string(variablesOf(c, n)["edge_leads"]) == "true" {
			leaders++
		}
	}
	c.Assert(leaders, quicktest.Equals, 1)
	for _, stop := range stops {
		c.Assert(stop(), quicktest.IsNil)
	}
}

// Guards against a box that collects garbage all the time since its settings name no memory.
func TestBoxWithoutMemoryInItsSettingsHasNoHeapLimit(t *testing.T) {
	c := quicktest.New(t)
	c.Check(Limits{}.heapLimit(), quicktest.Equals, int64(math.MaxInt64))
	c.Check(Limits{MemoryMB: 284}.heapLimit(), quicktest.Equals, int64(208456908))
}

func TestStartErrorNamesAddressInUse(t *testing.T) {
	c := quicktest.New(t)
	n := newNode(c, "box-1")
	l, err := net.Listen("tcp", n.Settings.Metrics)
	c.Assert(err, quicktest.IsNil)
	defer l.Close()
	c.Assert(n.Run(context.Background()), quicktest.ErrorMatches, ".*address for metrics.*in use.*")
}
