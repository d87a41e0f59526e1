// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"cairnwick.example/balance"
	"github.com/frankban/quicktest"
)

// waveCentre is a data centre whose endpoints read prompts at a fixed rate and all hold the adapter.
type waveCentre struct {
	loader    *Loader
	endpoints []*ownedEndpoint
	unread    map[string]float64 // tokens, by endpoint
	read      map[string]balance.Observation
	away      int // requests of its callers that another data centre served
	late      int
	asked     int
}

const (
	waveStep      = 20 * time.Millisecond
	waveEndpoints = 6
	wavePrompt    = 2000                    // tokens
	waveRate      = 20000.0                 // tokens that an endpoint reads per second: ten prompts
	wavePeriod    = 10 * time.Second        // of the demand
	waveFar       = 4 * time.Millisecond    // added by the way to another data centre
	waveTarget    = 1000 * time.Millisecond // latency target
	waveMean      = 45.0                    // requests per second of one data centre, three quarters of its capacity
	waveSwing     = 1.0                     // part of the mean by which the demand rises and falls: up to 90, where 60 can be served
)

func newWaveCentre(name string) *waveCentre {
	var ids []string
	for i := range waveEndpoints {
		ids = append(ids, fmt.Sprint(name, i))
	}
	l, byID := newBalancedLoader(ids...)
	w := &waveCentre{loader: l, unread: make(map[string]float64), read: make(map[string]balance.Observation)}
	for _, id := range ids {
		hold(1, byID[id])
		w.endpoints = append(w.endpoints, byID[id])
	}
	return w
}

// serve asks the leader for an endpoint and returns the time to first token there; false: the data centre is busy.
func (w *waveCentre) serve(now time.Time, way time.Duration) (time.Duration, bool) {
	r := balancedWaiter(w.endpoints[0], 1, now)
	r.PromptTokens, r.OutputTokens = wavePrompt, 10
	r.Target, r.QueueLimit, r.UrgentLimit, r.MaxWait = waveTarget-way, waveTarget, waveTarget, 5*time.Second
	p, waits := ask(w.loader, r, now)
	if waits || !p.Ready {
		return 0, false
	}
	w.unread[p.Endpoint] += wavePrompt
	return way + time.Duration(w.unread[p.Endpoint]/waveRate*float64(time.Second)), true
}

// step reads prompts and reports what is left.
func (w *waveCentre) step(now time.Time) {
	var uses []Use
	for _, o := range w.endpoints {
		id := o.endpoint.ID()
		before := w.unread[id]
		w.unread[id] = max(before-waveRate*waveStep.Seconds(), 0)
		u := Use{Endpoint: id, Adapter: adapter(1), Running: int(math.Ceil(w.unread[id] / wavePrompt)), PrefillTokens: int(w.unread[id])}
		if before > 0 && w.unread[id] < before {
			u.Read = balance.Observation{Prompts: 1, Tokens: wavePrompt, Took: time.Duration(wavePrompt / waveRate * float64(time.Second))}
		}
		o.grants = nil // what was assigned is in the report
		uses = append(uses, u)
	}
	w.loader.RecordUsage("box", uses, true, now)
}

// Load: the demand of two data centres rises and falls in turn, each to more than it can serve. Requests of the busy one are
// served in time by the other, and none goes over while its own data centre has room: work does not swing to and fro.
func TestWavesOutOfStepAreServedInTimeWithoutSwinging(t *testing.T) {
	c := quicktest.New(t)
	centres := []*waveCentre{newWaveCentre("a"), newWaveCentre("b")}
	begin := time.Now()
	due := []float64{0, 0}
	for i := range int(3 * wavePeriod / waveStep) {
		now := begin.Add(time.Duration(i) * waveStep)
		for k, own := range centres {
			other := centres[1-k]
			phase := 2*math.Pi*(now.Sub(begin).Seconds()/wavePeriod.Seconds()) + math.Pi*float64(k)
			demand := waveMean * (1 + waveSwing*math.Sin(phase))
			for due[k] += demand * waveStep.Seconds(); due[k] >= 1; due[k]-- {
				own.asked++
				took, served := own.serve(now, 0)
				if !served {
					own.away++
					took, served = other.serve(now, waveFar)
					c.Check(demand > waveMean, quicktest.IsTrue, quicktest.Commentf("a request went over at a demand of %.0f", demand))
				}
				if !served || took > waveTarget {
					own.late++
				}
			}
		}
		for _, w := range centres {
			w.step(now)
		}
	}
	for _, w := range centres {
		c.Check(float64(w.late) <= 0.02*float64(w.asked), quicktest.IsTrue, quicktest.Commentf("%d of %d are late or refused", w.late, w.asked))
		c.Check(w.away > 0 && float64(w.away) < 0.25*float64(w.asked), quicktest.IsTrue, quicktest.Commentf("%d of %d are served elsewhere", w.away, w.asked))
		t.Logf("asked %d, late %d, served elsewhere %d", w.asked, w.late, w.away)
	}
}
