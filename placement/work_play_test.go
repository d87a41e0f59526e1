// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"cairnwick.example/balance"
	"github.com/frankban/quicktest"
)

// play steps through time with boxes that ask an owner for endpoints and report their usage late.
type play struct {
	loader    *Loader
	endpoints []*ownedEndpoint
	boxes     []*playBox
	now       time.Time
	memory    map[string]int // tokens of the requests at each endpoint
	most      map[string]int // the highest memory so far
	refused   map[string]int // by reason
	ends      []playRequest
}

// playBox is a box with the counts that it has not reported yet.
type playBox struct {
	name      string
	started   map[string]int // by endpoint
	memory    map[string]int
	reports   int
	sent      []Use // on the way to the owner
	arrivesAt time.Time
	lost      bool
}

type playRequest struct {
	box      *playBox
	endpoint string
	memory   int
	until    time.Time
}

const (
	playStep  = 5 * time.Millisecond
	playDelay = 100 * time.Millisecond // of a report
	playLoss  = 5                      // one report in so many is lost; the next one repeats what runs, but not what was started
)

func newPlay(boxes int, ids ...string) *play {
	now := time.Now()
	l, byID := newBalancedLoader(ids...)
	p := &play{loader: l, now: now, memory: make(map[string]int), most: make(map[string]int), refused: make(map[string]int)}
	for _, id := range ids {
		hold(1, byID[id])
		p.endpoints = append(p.endpoints, byID[id])
	}
	for i := range boxes {
		p.boxes = append(p.boxes, &playBox{name: fmt.Sprintf("box-%d", i), started: make(map[string]int), memory: make(map[string]int), reports: i})
	}
	return p
}

// ask has a box ask for an endpoint and send its request there.
func (p *play) ask(b *playBox, prompt, output int, runs time.Duration) {
	w := balancedWaiter(p.endpoints[0], 1, p.now)
	w.Box, w.PromptTokens, w.OutputTokens = b.name, prompt, output
	r, waits := ask(p.loader, w, p.now)
	if waits || !r.Ready {
		p.refused[r.Reason]++
		return
	}
	tokens := prompt + output
	b.started[r.Endpoint]++
	b.memory[r.Endpoint] += tokens
	p.memory[r.Endpoint] += tokens
	p.most[r.Endpoint] = max(p.most[r.Endpoint], p.memory[r.Endpoint])
	p.ends = append(p.ends, playRequest{box: b, endpoint: r.Endpoint, memory: tokens, until: p.now.Add(runs)})
}

// step ends requests and delivers and sends reports.
func (p *play) step() {
	p.now = p.now.Add(playStep)
	running := p.ends[:0]
	for _, r := range p.ends {
		if p.now.Before(r.until) {
			running = append(running, r)
			continue
		}
		r.box.memory[r.endpoint] -= r.memory
		p.memory[r.endpoint] -= r.memory
	}
	p.ends = running
	for _, b := range p.boxes {
		b.step(p)
	}
}

func (b *playBox) step(p *play) {
	if b.sent != nil {
		if p.now.Before(b.arrivesAt) {
			return
		}
		if !b.lost {
			p.loader.RecordUsage(b.name, b.sent, false, p.now)
		}
	}
	b.sent = []Use{}
	for _, o := range p.endpoints {
		id := o.endpoint.ID()
		if b.started[id] > 0 || b.memory[id] > 0 {
			b.sent = append(b.sent, Use{Endpoint: id, Adapter: adapter(1), Started: b.started[id], Running: 1, MemoryTokens: b.memory[id]})
		}
	}
	clear(b.started)
	b.reports++
	b.arrivesAt, b.lost = p.now.Add(playDelay), b.reports%playLoss == 0
}

// Between two reports boxes together sent an endpoint more than its memory holds, and it failed.
func TestGrantsOfManyBoxesStayWithinMemory(t *testing.T) {
	c := quicktest.New(t)
	p := newPlay(60, "e1", "e2", "e3")
	random := rand.New(rand.NewPCG(1, 2))
	for range int(10 * time.Second / playStep) {
		for range 3 {
			p.ask(p.boxes[random.IntN(len(p.boxes))], 50+random.IntN(500), 50+random.IntN(500), time.Duration(500+random.IntN(1500))*time.Millisecond)
		}
		p.step()
	}
	for id, most := range p.most {
		c.Assert(most <= balancedMemory, quicktest.IsTrue, quicktest.Commentf("%s: %d tokens", id, most))
		c.Assert(most > balancedMemory*3/4, quicktest.IsTrue, quicktest.Commentf("%s: %d tokens", id, most)) // otherwise memory is not what binds
	}
	c.Assert(p.refused[balance.MemoryFull.String()]+p.refused[balance.MemoryFull.String()+noRoomSuffix] > 0, quicktest.IsTrue, quicktest.Commentf("%v", p.refused))
}

// A grant was forgotten before its request was reported, or counted beside it, or for ever if the box never sent it.
func TestGrantCountsUntilReported(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1")
	now := time.Now()
	hold(1, list["e1"])
	for _, box := range []string{"box-1", "box-1", "box-2"} {
		w := balancedWaiter(list["e1"], 1, now)
		w.Box = box
		p, _ := ask(l, w, now)
		c.Assert(p.Ready, quicktest.IsTrue)
	}
	memory := func(now time.Time) int {
		list["e1"].expireGrants(now)
		_, granted := list["e1"].granted()
		return l.inFlight.memoryTokens("e1") + granted
	}
	c.Assert(memory(now), quicktest.Equals, 3600)
	use := Use{Endpoint: "e1", Adapter: adapter(1), Started: 1, Running: 1, MemoryTokens: 1200}
	l.RecordUsage("box-1", []Use{use}, true, now.Add(20*time.Millisecond))
	c.Assert(memory(now.Add(20*time.Millisecond)), quicktest.Equals, 3600)
	c.Assert(list["e1"].grants, quicktest.HasLen, 2)
	again := use
	again.Started = 0
	l.RecordUsage("box-1", []Use{again}, false, now.Add(30*time.Millisecond)) // the full report repeats it
	c.Assert(memory(now.Add(grantTimeout-time.Millisecond)), quicktest.Equals, 3600)
	c.Assert(memory(now.Add(grantTimeout)), quicktest.Equals, 1200)
	c.Assert(list["e1"].grants, quicktest.HasLen, 0)
}

// choices returns how many of a number of requests, one each 20 ms, go to each endpoint; report is called before each.
func choices(l *Loader, o *ownedEndpoint, count int, now time.Time, report func(now time.Time)) map[string]int {
	chosen := make(map[string]int)
	for i := range count {
		at := now.Add(time.Duration(i) * 20 * time.Millisecond)
		report(at)
		w := balancedWaiter(o, 1, at)
		w.PromptTokens = 100
		if p, _ := ask(l, w, at); p.Ready {
			chosen[p.Endpoint]++
		}
	}
	return chosen
}

// An endpoint that reads no prompts any more looked hardly busier than others, and got requests until it was full.
func TestStalledEndpointGetsNoRequests(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1", "e2")
	now := time.Now()
	hold(1, list["e1"], list["e2"])
	stalled := []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 1, PrefillTokens: 100, MemoryTokens: 200}}
	l.RecordUsage("box-1", stalled, false, now)
	chosen := choices(l, list["e2"], 100, now.Add(time.Second), func(at time.Time) {
		l.RecordUsage("box-1", stalled, false, at)
		l.RecordUsage("box", []Use{{Endpoint: "e2", Adapter: adapter(1), Started: 1, Running: 1, PrefillTokens: 1000, MemoryTokens: 1200, // it has more to read, and reads
			Read: balance.Observation{Prompts: 1, Tokens: 1100, Took: 94 * time.Millisecond}}}, false, at)
	})
	c.Assert(chosen["e1"], quicktest.Equals, 0)
	c.Assert(chosen["e2"], quicktest.Equals, 100)
}

// Slow endpoints got as many requests as others, and one that had been slow was never tried again.
func TestSlowEndpointGetsFewRequestsAndIsTriedAgain(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1", "e2")
	now := time.Now()
	hold(1, list["e1"], list["e2"])
	read := func(id string, took time.Duration, queue int) Use {
		return Use{Endpoint: id, Adapter: adapter(1), Started: 9, Running: 1, PrefillTokens: queue, MemoryTokens: 200, Read: balance.Observation{Prompts: 1, Tokens: 100, Took: took}}
	}
	reports := 0
	slow := choices(l, list["e1"], 200, now, func(at time.Time) {
		uses := []Use{read("e1", 54*time.Millisecond, 12000)}
		if reports++; reports%10 == 1 {
			uses = append(uses, read("e2", time.Second, 0))
		}
		l.RecordUsage("box", uses, false, at)
	})
	c.Assert(slow["e2"] <= 30, quicktest.IsTrue, quicktest.Commentf("%v", slow))
	again := choices(l, list["e1"], 200, now.Add(8*time.Second), func(at time.Time) {
		l.RecordUsage("box", []Use{read("e1", 54*time.Millisecond, 12000)}, false, at)
	})
	c.Assert(again["e2"] >= 35, quicktest.IsTrue, quicktest.Commentf("%v", again))
}

// The state of work is guarded by Loader.mu: under the race detector this shows what is not. A request whose load never
// begins ends with its caller's time.
func TestBoxesAskAndReportAtOnce(t *testing.T) {
	c := quicktest.New(t)
	l, list := newBalancedLoader("e1", "e2")
	hold(1, list["e1"], list["e2"])
	l.coldLoadTime = 10 * time.Millisecond
	request := balancedRequest(list["e1"], 100)
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			box := fmt.Sprintf("box-%d", i)
			for n := range 30 {
				w := request
				w.Box, w.Adapter, w.MaxWait = box, adapter(1+n%3), 20*time.Millisecond
				if p, err := l.Place(t.Context(), w); err != nil || (!p.Ready && p.Reason == "") {
					t.Errorf("%+v, %v", p, err)
				}
				l.RecordUsage(box, []Use{{Endpoint: "e1", Adapter: w.Adapter, Started: 1, Running: 1, PrefillTokens: n, MemoryTokens: 200,
					Read: balance.Observation{Prompts: 1, Tokens: 100, Took: time.Millisecond}, Failed: n % 2, Streams: 1, Pauses: time.Millisecond}}, n%5 != 0, time.Now())
				l.step(time.Now())
				_, _ = l.MinLoadCost(time.Now())
				l.Ended("e3", time.Now())
			}
		})
	}
	all.Wait()
	c.Assert(list["e1"].waitingTokens, quicktest.Equals, 0)
}
