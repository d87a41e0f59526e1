// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	endpoints    = 30
	adapters     = 25 // each held by six endpoints: five slots at each
	holders      = 6
	meanPrompt   = 2223 // tokens
	ordinaryRead = 123 * time.Millisecond
)

var unevenSpeeds = []float64{0.7, 0.7, 1.7} // times to read, by endpoint

// capacity is how many prompts of mean length the endpoints read per second.
func capacity() float64 {
	n := 0.0
	for i := range endpoints {
		n += 1 / (unevenSpeeds[i%3] * ordinaryRead.Seconds())
	}
	return n
}

// kind is a class of requests of one service, the most urgent first.
type kind struct {
	rank    int
	target  time.Duration
	timeout time.Duration
	share   float64 // of the requests
}

// call is one request, and a returning one is a call of its own.
type call struct {
	kind, tokens, adapter int
	first, granted, at    time.Time // first attempt; time of the grant
	endpoint, ahead       int
	predicted, took       time.Duration
	returned              bool // came back after a refusal
	served                bool
	reason                Reason
}

// reader is an endpoint that reads prompts one after the other, the most urgent first.
type reader struct {
	factor  float64
	waiting [10][]*call
	reading *call
	ends    time.Time
}

// stepper plays requests against a decider in steps of a millisecond.
type stepper struct {
	kinds     []kind
	rate      func(t time.Duration) float64 // requests per second
	delay     time.Duration                 // of the reports to the decider
	replaceAt time.Duration                 // when a new decider without speeds starts; zero: never
	length    time.Duration
	seed      uint64
	choose    func(Request, []Candidate) Decision // nil: Choose

	now     time.Time
	rand    *rand.Rand
	readers []reader
	holders [][]int            // endpoints that hold each adapter
	unread  [endpoints][10]int // prompt tokens granted and not reported read, by rank
	speeds  Speeds
	returns Returns
	reports []*call // read, in order of the time; the decider learns of them after the delay
	due     []*call // callers that were asked to return
	at      []time.Time
	calls   []*call
}

// limit returns the longest queue that a kind may join, as the design page says.
func (s *stepper) limit(k int) time.Duration {
	limit := s.kinds[k].target
	for _, o := range s.kinds[:k] {
		fraction := max(1-0.15*float64(s.kinds[k].rank-o.rank), 0.4)
		limit = min(limit, time.Duration(fraction*float64(o.target))-ordinaryRead)
	}
	return limit
}

func (s *stepper) run() []*call {
	s.now, s.rand, s.readers = start, rand.New(rand.NewPCG(s.seed, 2)), make([]reader, endpoints)
	for i := range s.readers {
		s.readers[i].factor = unevenSpeeds[i%3]
	}
	for range adapters * holders / endpoints {
		s.holders = slices.AppendSeq(s.holders, slices.Chunk(s.rand.Perm(endpoints), holders))
	}
	next := start
	for t := time.Duration(0); t < s.length; t += time.Millisecond {
		s.now = start.Add(t)
		if s.replaceAt > 0 && t == s.replaceAt {
			s.speeds, s.returns = Speeds{}, Returns{}
		}
		s.report()
		for ; !next.After(s.now); next = next.Add(time.Duration(s.rand.ExpFloat64() / s.rate(t) * float64(time.Second))) {
			s.decide(s.arrival())
		}
		for i := 0; i < len(s.due); {
			if s.at[i].After(s.now) {
				i++
				continue
			}
			c := s.due[i]
			s.due, s.at = slices.Delete(s.due, i, i+1), slices.Delete(s.at, i, i+1)
			s.decide(c)
		}
		for i := range s.readers {
			s.step(&s.readers[i])
		}
	}
	return s.calls
}

func (s *stepper) arrival() *call {
	k, p := 0, s.rand.Float64()
	for ; k < len(s.kinds)-1 && p >= s.kinds[k].share; k++ {
		p -= s.kinds[k].share
	}
	tokens := min(200+int(s.rand.ExpFloat64()*(meanPrompt-200)), 3*meanPrompt)
	return &call{kind: k, tokens: tokens, adapter: s.rand.IntN(adapters), first: s.now}
}

func name(endpoint int) string { return fmt.Sprint("endpoint-", endpoint) }

// decide asks Choose, and hands the prompt to the endpoint or asks the caller to return.
func (s *stepper) decide(c *call) {
	k := s.kinds[c.kind]
	elapsed := s.now.Sub(c.first)
	r := Request{Target: k.target - elapsed, QueueLimit: s.limit(c.kind), MaxWait: k.timeout - elapsed,
		Returned: c.returned && s.returns.IsDue(s.now, elapsed), ReturnLimit: s.limit(0)}
	var list [holders]Candidate
	var ahead [holders]int
	for i, e := range s.holders[c.adapter] {
		for _, n := range s.unread[e][:k.rank+1] {
			ahead[i] += n
		}
		queue, own := s.speeds.Predict(name(e), ahead[i], c.tokens, s.now)
		list[i] = Candidate{Availability: Ready, Queue: queue, Own: own}
	}
	d := s.decideBy(r, list[:])
	c.reason = d.Reason
	c.at = s.now
	s.calls = append(s.calls, c)
	if d.Index < 0 {
		if delay, ok := s.returns.Assign(s.now, d.Relief, ordinaryRead, (k.timeout-elapsed)/3, endpoints); ok && !c.returned {
			again := *c
			again.returned = true
			s.due, s.at = append(s.due, &again), append(s.at, s.now.Add(delay))
		}
		return
	}
	c.granted, c.endpoint, c.predicted = s.now, s.holders[c.adapter][d.Index], d.FirstToken
	c.ahead = ahead[d.Index] + c.tokens
	s.unread[c.endpoint][k.rank] += c.tokens
	w := &s.readers[c.endpoint].waiting[k.rank]
	*w = append(*w, c)
}

// decideBy asks the decision function that the run uses.
func (s *stepper) decideBy(r Request, list []Candidate) Decision {
	if s.choose != nil {
		return s.choose(r, list)
	}
	return Choose(r, list)
}

// step ends the prompt that an endpoint has read, and begins the next.
func (s *stepper) step(e *reader) {
	if e.reading != nil {
		if e.ends.After(s.now) {
			return
		}
		e.reading.took, e.reading.served = e.ends.Sub(e.reading.granted), true
		s.reports = append(s.reports, e.reading)
		e.reading = nil
	}
	for rank, w := range e.waiting {
		if len(w) > 0 {
			e.reading, e.waiting[rank] = w[0], w[1:]
			e.ends = s.now.Add(time.Duration(e.factor * float64(ordinaryTime(e.reading.tokens))))
			return
		}
	}
}

// report lets the decider know of prompts that were read at least the delay ago.
func (s *stepper) report() {
	for len(s.reports) > 0 {
		c := s.reports[0]
		if c.granted.Add(c.took + s.delay).After(s.now) {
			return
		}
		s.reports = s.reports[1:]
		s.unread[c.endpoint][s.kinds[c.kind].rank] -= c.tokens
		s.speeds.Observe(name(c.endpoint), Observation{Prompts: 1, Tokens: c.ahead, Took: c.took}, s.now)
	}
}
