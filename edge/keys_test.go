// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/forward"
	"cairnwick.example/placement"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// keyedDecoder decodes a configuration with one organisation, "org", with a quota of 200 requests a second. The
// value "bad" is invalid.
type keyedDecoder struct{ plainDecoder }

// Kind implements Decoder.
func (d keyedDecoder) Kind(key string) Kind {
	if key == "config" {
		return KindConfig
	}
	return d.plainDecoder.Kind(key)
}

var orgSpec = access.Spec{Name: "org", Keys: []access.Digest{access.KeyDigest("k")}, Quota: access.Quota{Rate: 200, Burst: 100}}

// Config implements Decoder.
func (keyedDecoder) Config(value []byte) (*topology.Config, error) {
	if string(value) == "bad" {
		return nil, errors.New("a field is wrong")
	}
	d, err := access.NewDirectory([]access.Spec{orgSpec})
	if err != nil {
		return nil, err
	}
	return topology.NewConfig(uint64(len(value)), nil, nil, topology.RequestLimits{}).WithCallers(d), nil
}

// keyedSource publishes a configuration and an endpoint until it is silenced.
type keyedSource struct {
	silent  atomic.Bool
	mu      sync.Mutex
	changes []Fact // returned by watches
}

// List implements Source.
func (s *keyedSource) List(_ context.Context, c Collection) (Batch, error) {
	if s.silent.Load() {
		return Batch{}, errors.New("no answer")
	}
	if c == Endpoints {
		return Batch{Facts: []Fact{{Key: "e/1", Revision: rev(1), Value: []byte("v")}}, Revision: rev(1)}, nil
	}
	return Batch{Facts: []Fact{{Key: "config", Revision: rev(1), Value: []byte("v")}}, Revision: rev(1)}, nil
}

// Watch implements Source.
func (s *keyedSource) Watch(ctx context.Context, c Collection, after Revision, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == Configuration && len(s.changes) > 0 && !s.silent.Load() {
		f := s.changes[0]
		s.changes = s.changes[1:]
		return Batch{Facts: []Fact{f}, Revision: f.Revision}, nil
	}
	s.mu.Unlock()
	sleep(ctx, wait)
	s.mu.Lock()
	if s.silent.Load() {
		return Batch{}, errors.New("no answer")
	}
	return Batch{Revision: after}, nil
}

func (s *keyedSource) publish(f Fact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, f)
}

// revocation is the revocation bound in the tests, long enough for several confirmations of the configuration.
const revocation = 1500 * time.Millisecond

func newKeyedNode(c *quicktest.C, box string, s *keyedSource, strict bool, seeds ...string) *Node {
	n := newNode(c, box, seeds...)
	n.Source, n.Decoder = s, keyedDecoder{}
	n.Settings.Bounds.Drain, n.Settings.Bounds.Apply = 600*time.Millisecond, 600*time.Millisecond
	n.Settings.Bounds.StrictKeys, n.Settings.Bounds.Revocation = strict, revocation
	n.Settings.Quota = access.Bounds{Window: 8 * time.Second, Overshoot: 0.25, Slack: 100}
	n.Settings.DataCentres = 1
	return n
}

// keyStatus reports whether a box serves callers with keys, and whether it is ready.
func keyStatus(c *quicktest.C, n *Node) (keys, ready bool) {
	var r keysReport
	c.Assert(json.Unmarshal(variablesOf(c, n)["edge_keys"], &r), quicktest.IsNil)
	a, err := http.Get("http://" + n.Settings.Ready + "/")
	c.Assert(err, quicktest.IsNil)
	a.Body.Close()
	return r.Served, a.StatusCode == http.StatusOK
}

// waitForKeys waits until a box serves callers with keys, or stops doing so.
func waitForKeys(c *quicktest.C, n *Node, want bool) {
	for range 600 {
		if keys, _ := keyStatus(c, n); keys == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("box %s: serving callers with keys did not become %t", n.Settings.Box, want)
}

// A box that gets no answers from the source can't learn of revoked keys. In strict mode it stops serving callers
// with keys within the bound, reports itself not ready, and resumes when the source is back; otherwise it goes on
// serving.
func TestKeysAreAcceptedWhileConfigurationIsRecent(t *testing.T) {
	for _, strict := range []bool{true, false} {
		c := quicktest.New(t)
		s := &keyedSource{}
		n := newKeyedNode(c, "box-1", s, strict)
		stop := start(n)
		waitForKeys(c, n, true)
		s.silent.Store(true)
		time.Sleep(revocation)
		keys, ready := keyStatus(c, n)
		c.Check(keys, quicktest.Equals, !strict)
		c.Check(ready, quicktest.Equals, !strict)
		s.silent.Store(false)
		waitForKeys(c, n, true)
		c.Assert(stop(), quicktest.IsNil)
	}
}

// A newer configuration that cannot be decoded may have revoked keys.
func TestKeysAreRefusedAfterUnreadableConfiguration(t *testing.T) {
	c := quicktest.New(t)
	s := &keyedSource{}
	n := newKeyedNode(c, "box-1", s, true)
	stop := start(n)
	waitForKeys(c, n, true)
	s.publish(Fact{Key: "config", Revision: rev(5), Value: []byte("bad")})
	waitForKeys(c, n, false)
	s.publish(Fact{Key: "config", Revision: rev(6), Value: []byte("good")})
	waitForKeys(c, n, true)
	c.Assert(stop(), quicktest.IsNil)
}

// A box that can't reach the source serves callers with keys while its leader's confirmations are recent.
func TestLeaderConfirmsConfigurationForABoxWithoutSource(t *testing.T) {
	c := quicktest.New(t)
	s, cut := &keyedSource{}, &keyedSource{}
	cut.silent.Store(true)
	first := newKeyedNode(c, "box-1", s, true)
	second := newKeyedNode(c, "box-2", cut, true, first.Settings.Peers)
	stopFirst := start(first)
	waitForKeys(c, first, true) // as the older box it leads
	stopSecond := start(second)
	waitForKeys(c, second, true)
	for begun := time.Now(); time.Since(begun) < 2*revocation; time.Sleep(20 * time.Millisecond) {
		keys, _ := keyStatus(c, second)
		c.Assert(keys, quicktest.IsTrue)
	}
	s.silent.Store(true)
	waitForKeys(c, second, false)
	c.Assert(stopFirst(), quicktest.IsNil)
	c.Assert(stopSecond(), quicktest.IsNil)
}

// strictNode returns a node, not running, that serves callers with keys for 4 s after a confirmation.
func strictNode(c *quicktest.C) *Node {
	n := &Node{Settings: Settings{Bounds: Bounds{StrictKeys: true, Revocation: 4 * time.Second}}, view: topology.NewView()}
	n.current.Store(&n.Settings)
	config, err := keyedDecoder{}.Config([]byte("v"))
	c.Assert(err, quicktest.IsNil)
	n.view.SetConfig(config)
	return n
}

// Guards against counting the age of a confirmation from its arrival: sent 200 ms after the source's last
// response, it may take 4 s because a network partition delays it or the receiving process is suspended, and is then
// 4.2 s old instead of 0.2 s.
func TestConfirmationAgeCountsFromTheRequest(t *testing.T) {
	c := quicktest.New(t)
	n := strictNode(c)
	now := time.Now()
	c.Assert(n.keysAreCurrent(now), quicktest.IsFalse) // not confirmed yet
	asked := now.Add(-4 * time.Second)
	n.configFreshness.advance(asked.Add(-200 * time.Millisecond))
	c.Assert(n.keysAreCurrent(now), quicktest.IsFalse)
	n.configFreshness.advance(asked.Add(-time.Hour)) // an older answer changes nothing
	c.Assert(n.keysAreCurrent(now.Add(-time.Second)), quicktest.IsTrue)
	c.Assert(n.keysStayCurrent(now.Add(-time.Second)), quicktest.IsFalse) // not ready before callers are refused, so that they go elsewhere
	c.Assert(n.keysStayCurrent(now.Add(-2*time.Second)), quicktest.IsTrue)
	c.Assert(n.mustConfirmConfig(now.Add(-time.Second)), quicktest.IsTrue)
}

// flood has each box ask for one request of the organisation at each tick, and returns how many were granted and
// asked for.
func flood(boxes []*Node, ticks int, pause time.Duration) (granted, asked int) {
	o, _ := access.NewDirectory([]access.Spec{orgSpec})
	answers := make(chan bool)
	for range ticks {
		for _, n := range boxes {
			asked++
			go func() {
				s := n.spending.spend(context.Background(), o.ByName("org"), 1, forward.QuotaTimeouts{Exceeded: 60 * time.Millisecond, Unavailable: time.Second})
				answers <- s.OK
			}()
		}
		time.Sleep(pause)
	}
	for range asked {
		if <-answers {
			granted++
		}
	}
	return granted, asked
}

// Two boxes share a quota: load within it is granted in full, and load far above it no more than the quota and the
// allowed overshoot.
func TestBoxesKeepAQuotaTogether(t *testing.T) {
	c := quicktest.New(t)
	s := &keyedSource{}
	first := newKeyedNode(c, "box-1", s, true)
	second := newKeyedNode(c, "box-2", s, true, first.Settings.Peers)
	stopFirst, stopSecond := start(first), start(second)
	for _, n := range []*Node{first, second} {
		for string(variablesOf(c, n)["edge_members"]) != `{"alive":2}` {
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // the pool fills
	granted, asked := flood([]*Node{first, second}, 60, 20*time.Millisecond)
	c.Check(granted, quicktest.Equals, asked) // 100 a second of 200
	begun := time.Now()
	granted, asked = flood([]*Node{first, second}, 1500, time.Millisecond)
	took := time.Since(begun).Seconds()
	bounds, q := first.Settings.Quota, orgSpec.Quota
	l := bounds.Limit(q, 1)
	most := l.Rate*took + l.Capacity + 2*3*bounds.CreditLimit(q, 2)
	c.Logf("%d of %d in %.1f s, %.0f at the most", granted, asked, took, most)
	c.Check(float64(granted) <= most, quicktest.IsTrue)
	c.Check(float64(granted) >= 0.9*q.Rate*took, quicktest.IsTrue)
	c.Assert(stopFirst(), quicktest.IsNil)
	c.Assert(stopSecond(), quicktest.IsNil)
}

// restartDecoder decodes the value as an endpoint's ID, which is another one after each restart. The value "bad" is
// invalid.
type restartDecoder struct{ plainDecoder }

// Endpoint implements Decoder.
func (restartDecoder) Endpoint(key string, value []byte) (*topology.Endpoint, error) {
	if string(value) == "bad" {
		return nil, errors.New("a field is wrong")
	}
	a := topology.Adapter{Model: "m", Name: strings.TrimPrefix(key, "e/")}
	return topology.NewEndpoint(topology.EndpointSpec{ID: string(value), Service: "s", Models: []string{"m"}, Adapters: map[topology.Adapter]int64{a: 1}}), nil
}

// An endpoint restarts under the same key. Facts about its previous ID, its entry and its slots, must not affect
// the new one, in whatever order they arrive.
func TestRestartedEndpointKeepsNoEarlierState(t *testing.T) {
	c := quicktest.New(t)
	r, table := newReader(nil)
	v := topology.NewView()
	st := &state{view: v, table: table, decoder: restartDecoder{}, fences: &placement.Fences{Process: 1}, log: logr.Discard()}
	table.OnChange = st.apply
	a := topology.Adapter{Model: "m", Name: "a9"}
	fact := func(revision uint64, value string) {
		r.mergeFacts([]Fact{{Key: "e/1", Revision: rev(revision), Value: []byte(value)}}, time.Now())
	}
	fact(1, "one")
	st.publish("dc", "one", 1<<40, map[topology.Adapter]topology.AdapterState{a: {Version: 1, Ready: true}})
	c.Assert(v.EndpointsReady(a), quicktest.HasLen, 1)
	fact(5, "two")
	c.Assert(v.Endpoint("one"), quicktest.IsNil)
	c.Assert(v.Endpoint("two"), quicktest.IsNotNil)
	c.Assert(v.EndpointsReady(a), quicktest.HasLen, 0)
	fact(3, "one") // late
	c.Assert(v.Endpoint("one"), quicktest.IsNil)
	st.publish("dc", "one", 2<<40, map[topology.Adapter]topology.AdapterState{a: {Version: 1, Ready: true}}) // by a leader that does not know of the restart
	c.Assert(v.EndpointsReady(a), quicktest.HasLen, 0)
	fact(8, "bad") // an invalid value leaves no usable endpoint
	c.Assert(v.All(), quicktest.HasLen, 0)
	fact(9, "two")
	c.Assert(v.All(), quicktest.HasLen, 1)
	r.mergeFacts([]Fact{{Key: "e/1", Revision: rev(12), Removed: true}}, time.Now())
	c.Assert(v.All(), quicktest.HasLen, 0)
}

// Guards against refusals after a restart of all boxes: the first leader filled its pool from the moment it led,
// and refused requests for which the quota had accrued units since the boxes started.
func TestPoolFillsFromTheStartOfANewFleet(t *testing.T) {
	c := quicktest.New(t)
	config, err := keyedDecoder{}.Config([]byte("v"))
	c.Assert(err, quicktest.IsNil)
	now := time.Now()
	for age, want := range map[time.Duration]float64{300 * time.Millisecond: 60, time.Hour: 0} {
		n := &Node{view: topology.NewView(), peers: &peers{started: now.Add(-age)}}
		n.current.Store(&n.Settings)
		n.view.SetConfig(config)
		s := newSpending(n)
		s.openPool(1, now)
		l := access.Bounds{}.Limit(orgSpec.Quota, 1)
		c.Check(s.pool.Draw(access.Demand{Organisation: "org", Owed: 1000}, l, now).Paid, quicktest.Equals, want)
	}
}
