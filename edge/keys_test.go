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

// keyedDecoder reads a configuration with one organisation, "org", whose quota is 200 requests a
// second; "bad" can't be read.
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
	return topology.NewConfig(uint64(len(value)), nil, nil, topology.Limits{}).WithCallers(d), nil
}

// keyedSource publishes a configuration and an endpoint until it falls silent.
type keyedSource struct {
	silent  atomic.Bool
	mu      sync.Mutex
	changes []Fact // that watches tell
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
	if c == Settled && len(s.changes) > 0 && !s.silent.Load() {
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

// revocation is the bound of the tests: some words long.
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

// serves tells what a box says of its keys, and whether it says that it is ready.
func serves(c *quicktest.C, n *Node) (keys, ready bool) {
	var r keysReport
	c.Assert(json.Unmarshal(variablesOf(c, n)["edge_keys"], &r), quicktest.IsNil)
	a, err := http.Get("http://" + n.Settings.Ready + "/")
	c.Assert(err, quicktest.IsNil)
	a.Body.Close()
	return r.Served, a.StatusCode == http.StatusOK
}

// becomes waits until a box serves by keys or does not.
func becomes(c *quicktest.C, n *Node, want bool) {
	for range 600 {
		if keys, _ := serves(c, n); keys == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("box %s does not come to serve by keys: %t", n.Settings.Box, want)
}

// A box that hears the source no more can't know of keys that were taken away; it stops to serve by
// them within the bound, says so to the balancer, and goes on when the source is back. Where the
// operator does not ask for that it serves on.
func TestABoxServesByKeysAsLongAsItsWordIsRecent(t *testing.T) {
	for _, strict := range []bool{true, false} {
		c := quicktest.New(t)
		s := &keyedSource{}
		n := newKeyedNode(c, "box-1", s, strict)
		stop := start(n)
		becomes(c, n, true)
		s.silent.Store(true)
		time.Sleep(revocation)
		keys, ready := serves(c, n)
		c.Check(keys, quicktest.Equals, !strict)
		c.Check(ready, quicktest.Equals, !strict)
		s.silent.Store(false)
		becomes(c, n, true)
		c.Assert(stop(), quicktest.IsNil)
	}
}

// A newer configuration that can't be read may have taken keys away.
func TestByAConfigurationThatCannotBeReadNoKeyIsServedForLong(t *testing.T) {
	c := quicktest.New(t)
	s := &keyedSource{}
	n := newKeyedNode(c, "box-1", s, true)
	stop := start(n)
	becomes(c, n, true)
	s.publish(Fact{Key: "config", Revision: rev(5), Value: []byte("bad")})
	becomes(c, n, false)
	s.publish(Fact{Key: "config", Revision: rev(6), Value: []byte("good")})
	becomes(c, n, true)
	c.Assert(stop(), quicktest.IsNil)
}

// A box that does not hear the source serves by its leader's word, as long as that is recent.
func TestALeadersWordCarriesABoxThatDoesNotHearTheSource(t *testing.T) {
	c := quicktest.New(t)
	s, cut := &keyedSource{}, &keyedSource{}
	cut.silent.Store(true)
	first := newKeyedNode(c, "box-1", s, true)
	second := newKeyedNode(c, "box-2", cut, true, first.Settings.Peers)
	stopFirst := start(first)
	becomes(c, first, true) // it is the older one, and leads
	stopSecond := start(second)
	becomes(c, second, true)
	for begun := time.Now(); time.Since(begun) < 2*revocation; time.Sleep(20 * time.Millisecond) {
		keys, _ := serves(c, second)
		c.Assert(keys, quicktest.IsTrue)
	}
	s.silent.Store(true)
	becomes(c, second, false)
	c.Assert(stopFirst(), quicktest.IsNil)
	c.Assert(stopSecond(), quicktest.IsNil)
}

// strictNode returns the parts of a node that serve by keys for 4 s after a word on them.
func strictNode(c *quicktest.C) *Node {
	n := &Node{Settings: Settings{Bounds: Bounds{StrictKeys: true, Revocation: 4 * time.Second}}, view: topology.NewView()}
	n.current.Store(&n.Settings)
	config, err := keyedDecoder{}.Config([]byte("v"))
	c.Assert(err, quicktest.IsNil)
	n.view.SetConfig(config)
	return n
}

// A word was heard of the source 200 ms before it was sent, and took 4 s to its follower: it lay in a
// connection that a cut held up, or the follower stood still. The follower that counts from when
// it came takes word that is 4.2 s old for one of 0.2 s.
func TestAWordIsAsOldAsTheQuestionThatItAnswers(t *testing.T) {
	c := quicktest.New(t)
	n := strictNode(c)
	now := time.Now()
	c.Assert(n.trustsKeys(now), quicktest.IsFalse) // no word yet
	asked := now.Add(-4 * time.Second)
	n.vouched.raise(asked.Add(-200 * time.Millisecond))
	c.Assert(n.trustsKeys(now), quicktest.IsFalse)
	n.vouched.raise(asked.Add(-time.Hour)) // an older answer changes nothing
	c.Assert(n.trustsKeys(now.Add(-time.Second)), quicktest.IsTrue)
	c.Assert(n.expectsKeys(now.Add(-time.Second)), quicktest.IsFalse) // callers are sent elsewhere before they are refused
	c.Assert(n.expectsKeys(now.Add(-2*time.Second)), quicktest.IsTrue)
	c.Assert(n.mustVouch(now.Add(-time.Second)), quicktest.IsTrue)
}

// flood has each box ask for one request of the organisation at each tick, and returns how many
// were granted and how many were asked for.
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

// Two boxes ask together: what is within the quota is granted whole, and of a flood no more than the
// quota and what the operator allows beyond it.
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

// lifeDecoder reads an endpoint's life from the value; "bad" can't be read.
type lifeDecoder struct{ plainDecoder }

// Endpoint implements Decoder.
func (lifeDecoder) Endpoint(key string, value []byte) (*topology.Endpoint, error) {
	if string(value) == "bad" {
		return nil, errors.New("a field is wrong")
	}
	a := topology.Adapter{Model: "m", Name: strings.TrimPrefix(key, "e/")}
	return topology.NewEndpoint(topology.EndpointSpec{ID: string(value), Service: "s", Models: []string{"m"}, Adapters: map[topology.Adapter]int64{a: 1}}), nil
}

// An endpoint started again under its key. What was told of the life before, its entry and its
// slots, says nothing of the new one, in whatever order it comes.
func TestANewLifeOfAnEndpointKeepsNothingOfTheOneBefore(t *testing.T) {
	c := quicktest.New(t)
	r, table := newReader(nil)
	v := topology.NewView()
	st := &state{view: v, table: table, decoder: lifeDecoder{}, fences: &placement.Fences{Box: 1}, log: logr.Discard()}
	table.OnChange = st.apply
	a := topology.Adapter{Model: "m", Name: "a9"}
	fact := func(revision uint64, value string) {
		r.take([]Fact{{Key: "e/1", Revision: rev(revision), Value: []byte(value)}}, time.Now())
	}
	fact(1, "one")
	st.publish("dc", "one", 1<<40, map[topology.Adapter]topology.Held{a: {Version: 1, Ready: true}})
	c.Assert(v.Holders(a), quicktest.HasLen, 1)
	fact(5, "two")
	c.Assert(v.Endpoint("one"), quicktest.IsNil)
	c.Assert(v.Endpoint("two"), quicktest.IsNotNil)
	c.Assert(v.Holders(a), quicktest.HasLen, 0)
	fact(3, "one") // late
	c.Assert(v.Endpoint("one"), quicktest.IsNil)
	st.publish("dc", "one", 2<<40, map[topology.Adapter]topology.Held{a: {Version: 1, Ready: true}}) // by a leader that has not heard
	c.Assert(v.Holders(a), quicktest.HasLen, 0)
	fact(8, "bad") // of another writer: names no endpoint to use
	c.Assert(v.All(), quicktest.HasLen, 0)
	fact(9, "two")
	c.Assert(v.All(), quicktest.HasLen, 1)
	r.take([]Fact{{Key: "e/1", Revision: rev(12), Removed: true}}, time.Now())
	c.Assert(v.All(), quicktest.HasLen, 0)
}

// All boxes had been killed; the first that led began to count from nothing as it led, and refused
// what the quota had brought since the boxes were up.
func TestAPoolCountsFromTheStartOfAFreshFleet(t *testing.T) {
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
