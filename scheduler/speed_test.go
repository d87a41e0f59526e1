// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

const testPrompt = 1000 // tokens of a prompt

// simulatedEndpoint reads one prompt after the other. Its times are simulated.
type simulatedEndpoint struct {
	*quicktest.C

	scheduler *Scheduler
	endpoint  *endpoint
	readTime  time.Duration // of a prompt
	freeAt    time.Time     // when it has read all prompts
	ends      []simulatedEnd
}

// simulatedEnd is the first token of a request, with which it ends.
type simulatedEnd struct {
	at   time.Time
	took time.Duration
	id   uint64
}

// newSimulated returns an endpoint of its own scheduler, whose memory is published unless memory is false.
func newSimulated(t *testing.T, memory bool, readTime time.Duration) *simulatedEndpoint {
	f := newFixture(t, "a@1")
	if memory {
		f.publishMemory()
	}
	return &simulatedEndpoint{C: f.C, scheduler: f.scheduler, endpoint: f.own(), readTime: readTime}
}

// publishMemory replaces the configuration by one with the memory of e1, which runs eight requests.
func (f *fixture) publishMemory() {
	shards := map[string][]byte{"all": []byte(`{
		"bases": [{"name": "b"}],
		"classes": [{"name": "counter", "may_wait": "2s", "deadline": "5s", "default": true}],
		"endpoints": [{"name": "e1", "data_centre": "d1", "base": "b", "address": "127.0.0.1:9", "slots": 2, "running": 8, "memory_tokens": 8192, "checks_fences": true}],
		"adapters": [{"name": "a", "base": "b", "versions": {"1": "p/a"}}]}`)}
	h, err := catalog.NewHead(catalog.Head{}, shards)
	f.Assert(err, quicktest.IsNil)
	f.catalog, err = catalog.Build(h, shards, nil)
	f.Assert(err, quicktest.IsNil)
}

// advance delivers the first tokens up to a time and returns the state that the last one's reply has; nil: none came.
func (x *simulatedEndpoint) advance(now time.Time) *wire.EndpointFacts {
	var facts *wire.EndpointFacts
	x.endpoint.verifiedAt = now
	for len(x.ends) > 0 && !x.ends[0].at.After(now) {
		end := x.ends[0]
		x.ends = x.ends[1:]
		facts = x.scheduler.observeFirstToken(x.endpoint, &wire.FirstTokenRequest{Id: end.id, TookMicros: end.took.Microseconds()}, end.at)
		x.endpoint.removeGrantLocked(end.id)
	}
	return facts
}

// request sends a request with a deadline and returns the reply.
func (x *simulatedEndpoint) request(deadline time.Duration, now time.Time) *wire.AcquireReply {
	q := &wire.AcquireRequest{Endpoint: "e1", Adapter: "a@1", Class: "counter", PromptTokens: testPrompt, WaitMicros: deadline.Microseconds(), DeadlineMicros: deadline.Microseconds()}
	class, _ := x.scheduler.Catalog().Class("counter")
	w, reply := x.scheduler.admitOrEnqueue(x.endpoint, q, class, now)
	x.Assert(w, quicktest.IsNil)
	if g := reply.GetGrant(); g != nil {
		if x.freeAt.Before(now) {
			x.freeAt = now
		}
		x.freeAt = x.freeAt.Add(x.readTime)
		x.ends = append(x.ends, simulatedEnd{at: x.freeAt, took: x.freeAt.Sub(now), id: g.GetId()})
	}
	reply.Facts = x.scheduler.factsLocked(x.endpoint, q, now)
	return reply
}

// simulatedGateway places requests as a gateway does.
type simulatedGateway struct {
	endpoints []*simulatedEndpoint
	states    []policy.EndpointState
	updated   []time.Time
	placement policy.Placement
	rand      *rand.Rand
}

// run sends a request every 50 ms and returns how many each endpoint got.
func (g *simulatedGateway) run(from time.Time, d time.Duration) []int {
	counts := make([]int, len(g.endpoints))
	for now := from; now.Before(from.Add(d)); now = now.Add(50 * time.Millisecond) {
		names := make([]string, len(g.endpoints))
		for i, x := range g.endpoints {
			g.update(i, x.advance(now), now)
			names[i] = string(rune('a' + i))
			g.states[i].Age = now.Sub(g.updated[i])
		}
		r := policy.PlacementRequest{Key: "a@1", Names: names, States: g.states, Rand: g.rand}
		order, _ := g.placement.Order(r)
		i := policy.PreferSoonest(order, g.placement.Alternatives(r, order), g.states)[0]
		g.update(i, g.endpoints[i].request(time.Minute, now).GetFacts(), now)
		counts[i]++
	}
	return counts
}

// update records the state that a reply has.
func (g *simulatedGateway) update(i int, facts *wire.EndpointFacts, now time.Time) {
	if facts == nil {
		return
	}
	g.states[i] = policy.EndpointState{Running: int(facts.GetRunning()), Limit: int(facts.GetLimit()), Known: true, FirstToken: time.Duration(facts.GetFirstTokenMicros()) * time.Microsecond}
	g.updated[i] = now
}

func newSimulatedGateway(t *testing.T, start time.Time, endpoints ...*simulatedEndpoint) *simulatedGateway {
	p, err := policy.NewPlacement(policy.PlacementLeastLoaded)
	quicktest.New(t).Assert(err, quicktest.IsNil)
	g := &simulatedGateway{endpoints: endpoints, placement: p, rand: rand.New(rand.NewPCG(1, 2))}
	for range endpoints {
		g.states, g.updated = append(g.states, policy.EndpointState{}), append(g.updated, start)
	}
	return g
}

// Guards against requests that go to a slow endpoint while a fast one would serve them sooner, and against slow
// endpoints that never get requests again. Each scheduler sees only its own endpoint.
func TestSlowEndpointGetsFewRequestsAndIsTriedAgain(t *testing.T) {
	c := quicktest.New(t)
	start := time.Now()
	fast, slow := newSimulated(t, true, 30*time.Millisecond), newSimulated(t, true, 90*time.Millisecond)
	g := newSimulatedGateway(t, start, fast, slow)
	g.run(start, 2*time.Second)
	counts := g.run(start.Add(2*time.Second), 10*time.Second)
	c.Logf("fast, slow: %v", counts)
	c.Assert(counts[1] > 0 && counts[1] < 40, quicktest.IsTrue, quicktest.Commentf("of 200: %v", counts))
	slow.readTime = fast.readTime
	g.run(start.Add(12*time.Second), 10*time.Second)
	counts = g.run(start.Add(22*time.Second), 10*time.Second)
	c.Logf("after recovery: %v", counts)
	c.Assert(counts[1] > 50, quicktest.IsTrue, quicktest.Commentf("of 200: %v", counts))
}

// Guards against requests that are queued although they would be served too late, and against wrong retry times.
func TestLateRequestIsRefusedUntilItsRetryTime(t *testing.T) {
	const readTime, deadline = 100 * time.Millisecond, 300 * time.Millisecond
	x := newSimulated(t, true, readTime)
	now := time.Now()
	for round := range 40 { // learns the speed, with prompts ahead and without
		for range 1 + round%4 {
			x.Assert(x.request(time.Minute, now).GetGrant(), quicktest.IsNotNil)
		}
		now = x.freeAt.Add(time.Millisecond)
		x.advance(now)
	}
	granted := 0
	reply := x.request(deadline, now)
	for ; reply.GetGrant() != nil; reply = x.request(deadline, now) {
		granted++
		x.Assert(granted < 8, quicktest.IsTrue)
	}
	x.Assert(reply.GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_DEADLINE)
	x.Assert(x.endpoint.waiters, quicktest.HasLen, 0)
	retry := time.Duration(reply.GetRefusal().GetRetryMicros()) * time.Microsecond
	accurate := time.Duration(granted+1)*readTime - deadline
	x.Logf("granted %d, retry after %s, accurate is %s", granted, retry, accurate)
	x.Assert(granted == 2 || granted == 3, quicktest.IsTrue, quicktest.Commentf("%d", granted)) // 3 can be served in time
	x.Assert((retry-accurate).Abs() < readTime/2, quicktest.IsTrue, quicktest.Commentf("%s, %s", retry, accurate))
	at := now.Add(max(retry, accurate) + time.Millisecond)
	x.advance(at)
	x.Assert(x.request(deadline, at).GetGrant(), quicktest.IsNotNil)
}

// Guards against an endpoint that is refused for ever because it was slow when it was last observed.
func TestIdleEndpointThatWasSlowIsTriedAgain(t *testing.T) {
	x := newSimulated(t, true, 2*time.Second)
	now := time.Now()
	for range 40 {
		x.advance(now)
		x.request(time.Minute, now)
		now = now.Add(2010 * time.Millisecond)
	}
	x.advance(now)
	refused := x.request(time.Second, now).GetRefusal()
	x.Assert(refused.GetReason(), quicktest.Equals, wire.Reason_REASON_DEADLINE)
	at := now.Add(time.Duration(refused.GetRetryMicros()) * time.Microsecond)
	x.advance(at)
	x.Assert(x.request(time.Second, at).GetGrant().GetReason(), quicktest.Equals, wire.Reason_REASON_TRIAL)
	x.Assert(x.request(time.Second, at).GetRefusal(), quicktest.IsNotNil) // one trial at a time
}

// Guards against changed behaviour where no memory is published, and where an older gateway asks.
func TestRequestsAreNotForecastElsewhere(t *testing.T) {
	x := newSimulated(t, false, time.Second)
	now := time.Now()
	reply := x.request(time.Microsecond, now)
	x.Assert(reply.GetGrant().GetReportFirstToken(), quicktest.IsFalse)
	x.Assert(reply.GetFacts().GetFirstTokenMicros(), quicktest.Equals, int64(0))
	x.Assert(x.scheduler.endpointSpeeds(), quicktest.HasLen, 0)
	x = newSimulated(t, true, time.Second)
	reply = x.request(0, now)
	x.Assert(reply.GetGrant().GetReportFirstToken(), quicktest.IsTrue)
	x.Assert(x.scheduler.endpointSpeeds(), quicktest.HasLen, 1)
}

// Guards against values that are out of range distorting the model of all endpoints, and against first tokens that
// are counted twice or for ended grants.
func TestFirstTokensOutOfRange(t *testing.T) {
	x := newSimulated(t, true, 100*time.Millisecond)
	now := time.Now()
	g := x.request(time.Minute, now).GetGrant()
	for _, q := range []*wire.FirstTokenRequest{{Id: g.GetId()}, {Id: g.GetId(), TookMicros: -1}, {Id: g.GetId() + 1, TookMicros: 1}} {
		x.scheduler.observeFirstToken(x.endpoint, q, now)
		x.Assert(x.endpoint.firstTokenAt.IsZero(), quicktest.IsTrue)
	}
	x.scheduler.observeFirstToken(x.endpoint, &wire.FirstTokenRequest{Id: g.GetId(), TookMicros: 1 << 62}, now)
	slowdown := x.scheduler.speeds.slowdown(x.endpoint.incarnationLocked(), now)
	x.Assert(slowdown > 1 && slowdown < 8, quicktest.IsTrue, quicktest.Commentf("%v", slowdown))
	x.scheduler.observeFirstToken(x.endpoint, &wire.FirstTokenRequest{Id: g.GetId(), TookMicros: 1 << 62}, now)
	x.Assert(x.scheduler.speeds.slowdown(x.endpoint.incarnationLocked(), now), quicktest.Equals, slowdown)
	x.Assert(promptTokens(&wire.AcquireRequest{PromptTokens: -5}), quicktest.Equals, 1)
	x.Assert(promptTokens(&wire.AcquireRequest{PromptTokens: 1 << 62}), quicktest.Equals, maxPromptTokens)
}

// The release of a short response may overtake the report of its first token.
func TestReleaseReportsTheFirstTokenIfNothingElseHas(t *testing.T) {
	const readTime = 100 * time.Millisecond
	for _, reportedBefore := range []bool{false, true} {
		x := newSimulated(t, true, readTime)
		now := time.Now()
		granted := x.request(time.Minute, now)
		id := granted.GetGrant().GetId()
		if reportedBefore {
			x.scheduler.observeFirstToken(x.endpoint, &wire.FirstTokenRequest{Id: id, TookMicros: readTime.Microseconds()}, now)
		}
		req := &wire.ReleaseRequest{Endpoint: "e1", Id: id, Outcome: wire.Outcome_OUTCOME_COMPLETED, FirstTokenMicros: 1 << 40}
		if !reportedBefore {
			req.FirstTokenMicros = readTime.Microseconds()
		}
		facts := x.scheduler.releaseGrant(x.endpoint, req)
		x.Check(x.endpoint.firstTokenAt.IsZero(), quicktest.IsFalse)
		x.Check(facts.GetRunning(), quicktest.Equals, int32(0))
		learned := time.Duration(facts.GetFirstTokenMicros()) * time.Microsecond
		x.Check(learned < 2*readTime, quicktest.IsTrue, quicktest.Commentf("%v", learned))
		x.Check(x.scheduler.releaseGrant(x.endpoint, req), quicktest.IsNil)
	}
}

// The model of all endpoints counted as a time of one that it had not observed: a fast one was avoided until it aged.
func TestTimeIsReportedOnceOneWasObserved(t *testing.T) {
	x := newSimulated(t, true, 100*time.Millisecond)
	now := time.Now()
	granted := x.request(time.Minute, now)
	x.Check(granted.GetFacts().GetFirstTokenMicros(), quicktest.Equals, int64(0))
	facts := x.scheduler.observeFirstToken(x.endpoint, &wire.FirstTokenRequest{Id: granted.GetGrant().GetId(), TookMicros: 100_000}, now)
	x.Check(facts.GetFirstTokenMicros() > 0, quicktest.IsTrue)
}
