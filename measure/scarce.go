// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"cairnwick.example/policy"
	"github.com/pkg/errors"
)

// Scarce simulates endpoints whose slots for adapters are scarce and whose prompts are long,
// and compares where loads go: to each adapter's fixed endpoint, or where policy.LoadTarget
// costs the least. Both get the same requests in one run. Time is simulated, so the result
// depends on the seed alone.
type Scarce struct {
	Seed uint64
	Time time.Duration // simulated
	Rate float64       // requests a second
}

// The simulated site: the users' third customer in small.
const (
	simEndpoints = 12
	simSlots     = 9
	simMemory    = 54   // adapters that an endpoint's memory keeps
	simAdapters  = 3000 // that may be asked for
	simSkew      = 1.2  // of their popularity, by Zipf's law
	simShift     = 7000 // ms after which other adapters are the popular ones
	simReads     = 32   // tokens of prompts that an endpoint reads in a ms
	simStore     = 250  // ms of a load from the store
	simStoreMost = 8    // loads from the store at full speed
	simWarm      = 35   // ms of a load from memory
	simPatience  = 3000 // ms after which a caller leaves
)

// simKind is one kind of request: prompt and run after the first token are exponential.
type simKind struct {
	share  float64
	tokens float64 // of the prompt, on average
	run    float64 // ms, on average
	target int     // ms to the first token
}

var simKinds = []simKind{
	{share: 0.47, tokens: 9200, run: 600, target: 800},
	{share: 0.53, tokens: 830, run: 2500, target: 600},
}

// simRequest is one request. Times are in ms.
type simRequest struct {
	adapter, tokens, run, target, arrived int
}

// simSlot is an adapter in a slot.
type simSlot struct {
	ready int // when its load ends
	runs  int // requests sent to it that have not ended
	used  int // when the last one ended
}

// simEndpoint is one endpoint.
type simEndpoint struct {
	slots  map[int]*simSlot
	left   map[int]int // adapters that left, by when in order
	count  int
	queue  []*simRequest // prompts to be read, the first one in part
	rest   int           // tokens of the first one that are not read
	ends   map[int][]int // adapters whose runs end, by when
	wanted int           // tokens that wait for loads here
}

// simWant is a load that is wanted.
type simWant struct {
	adapter, endpoint int
	waiting           []*simRequest
}

// simResult counts requests by how they ended.
type simResult struct{ inTime, late, lost, loads int }

// chooser returns where an adapter is loaded.
type chooser func(s *simulation, adapter int) int

type simulation struct {
	choose    chooser
	endpoints []*simEndpoint
	wants     []*simWant
	fetching  []int // when loads from the store end
	now       int
	result    simResult
}

// Run prints both policies and the ratio of requests in time.
func (s Scarce) Run(out io.Writer) error {
	fixed, cost := s.results()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "loads go\tin time\tlate\tcaller left\tloads")
	for _, r := range []struct {
		name string
		simResult
	}{{"to a fixed endpoint", fixed}, {"where they cost least", cost}} {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", r.name, r.inTime, r.late, r.lost, r.loads)
	}
	fmt.Fprintf(w, "in time, ratio\t%.2f\n", float64(cost.inTime)/float64(max(fixed.inTime, 1)))
	return errors.Wrap(w.Flush(), "measure")
}

func (s Scarce) results() (fixed, cost simResult) {
	list := s.requests()
	return simulate(list, fixedEndpoint), simulate(list, cheapestEndpoint)
}

// requests returns the requests by arrival.
func (s Scarce) requests() []*simRequest {
	r := rand.New(rand.NewPCG(s.Seed, 1))
	popular := newZipf(simAdapters, simSkew)
	var list []*simRequest
	for at := 0.0; at < float64(s.Time.Milliseconds()); at += r.ExpFloat64() * 1000 / s.Rate {
		k := simKinds[0]
		if r.Float64() >= k.share {
			k = simKinds[1]
		}
		list = append(list, &simRequest{
			adapter: (popular.draw(r) + int(at)/simShift*17) % simAdapters,
			tokens:  1 + int(r.ExpFloat64()*k.tokens),
			run:     1 + int(r.ExpFloat64()*k.run),
			target:  k.target,
			arrived: int(at),
		})
	}
	return list
}

// zipf draws numbers whose popularity falls with a power of their rank.
type zipf struct{ sums []float64 }

func newZipf(n int, skew float64) zipf {
	z := zipf{sums: make([]float64, n)}
	sum := 0.0
	for i := range z.sums {
		sum += math.Pow(float64(i+1), -skew)
		z.sums[i] = sum
	}
	return z
}

func (z zipf) draw(r *rand.Rand) int {
	x := r.Float64() * z.sums[len(z.sums)-1]
	low, high := 0, len(z.sums)-1
	for low < high {
		if mid := (low + high) / 2; z.sums[mid] < x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// fixedEndpoint always loads an adapter at the same endpoint.
func fixedEndpoint(_ *simulation, adapter int) int { return adapter * 7919 % simEndpoints }

// cheapestEndpoint loads an adapter where the policy costs the least.
func cheapestEndpoint(s *simulation, adapter int) int {
	best, least := 0, time.Duration(0)
	for i, e := range s.endpoints {
		if c := s.facts(e, adapter, i == fixedEndpoint(s, adapter)).Cost(); i == 0 || c < least {
			best, least = i, c
		}
	}
	return best
}

func (s *simulation) facts(e *simEndpoint, adapter int, usual bool) policy.LoadTarget {
	f := policy.LoadTarget{
		LoadTime:    simWarm * time.Millisecond,
		PrefillTime: time.Duration((e.unread()+e.wanted)/simReads) * time.Millisecond,
		FromStore:   !e.remembers(adapter),
		Preferred:   usual,
	}
	if f.FromStore {
		f.LoadTime = simStore * time.Millisecond
	}
	taken := 0
	for _, t := range e.slots {
		if t.runs > 0 || t.ready > s.now {
			taken++
		}
	}
	f.SlotUtilisation = float64(taken) / simSlots
	if taken >= simSlots {
		f.SlotWait = time.Second // a run's time, shared by those that wait
	}
	return f
}
