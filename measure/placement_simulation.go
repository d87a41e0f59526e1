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

// PlacementSimulation simulates endpoints with few adapter slots and long prompts, and compares two placement
// policies for adapter loads: a fixed endpoint for each adapter, and the endpoint with the lowest
// cost according to policy.LoadTarget. Both get the same requests. Time is simulated, so the
// result depends only on the seed.
type PlacementSimulation struct {
	Seed uint64
	Time time.Duration // simulated
	Rate float64       // requests per second
}

// The simulated site is a scaled-down version of the users' third customer.
const (
	simEndpoints     = 12
	simSlots         = 9
	simCacheSize     = 54   // adapters cached in the memory of an endpoint
	simAdapters      = 3000 // distinct adapters
	simSkew          = 1.2  // exponent of the Zipf distribution of their popularity
	simShiftInterval = 7000 // ms between changes of the popular adapters
	simPromptRate    = 32   // prompt tokens that an endpoint processes per ms
	simStoreLoad     = 250  // ms to load an adapter from the store
	simStoreParallel = 8    // concurrent loads that the store serves at full speed
	simMemoryLoad    = 35   // ms to load an adapter from memory
	simTimeout       = 3000 // ms after which a caller gives up
)

// simKind is one kind of request. Prompt length and run time after the first token are
// exponentially distributed.
type simKind struct {
	share   float64 // of all requests
	tokens  float64 // mean prompt length
	runTime float64 // mean run time after the first token, ms
	target  int     // target time to the first token, ms
}

var simKinds = []simKind{
	{share: 0.47, tokens: 9200, runTime: 600, target: 800},
	{share: 0.53, tokens: 830, runTime: 2500, target: 600},
}

// simRequest is one request. Times are in milliseconds.
type simRequest struct {
	adapter, tokens, runTime, target, arrival int
}

// simSlot is a slot with its adapter.
type simSlot struct {
	ready    int // when its load ends
	runs     int // active requests
	lastUsed int // when the last request ended
}

// simEndpoint is one endpoint.
type simEndpoint struct {
	slots         map[int]*simSlot
	evicted       map[int]int   // evicted adapter -> sequence number of its eviction
	evictions     int           // evictions so far
	queue         []*simRequest // prompts to be processed; the first may be partly done
	headTokens    int           // unprocessed tokens of the first prompt
	runEnds       map[int][]int // time -> adapters with a run that ends then
	waitingTokens int           // prompt tokens of requests that wait for a load here
}

// pendingLoad is a load that waits for a slot.
type pendingLoad struct {
	adapter, endpoint int
	waiting           []*simRequest
}

// simResult counts requests by outcome, and loads.
type simResult struct{ inTime, late, abandoned, loads int }

// placementPolicy returns the index of the endpoint where an adapter is to be loaded.
type placementPolicy func(s *simulation, adapter int) int

type simulation struct {
	choose     placementPolicy
	endpoints  []*simEndpoint
	pending    []*pendingLoad
	storeLoads []int // end times of the loads from the store
	now        int
	result     simResult
}

// Run prints the results of both policies and the ratio of requests answered in time.
func (s PlacementSimulation) Run(out io.Writer) error {
	fixed, cost := s.results()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "placement\tin time\tlate\tabandoned\tloads")
	for _, r := range []struct {
		name string
		simResult
	}{{"fixed endpoint", fixed}, {"lowest cost", cost}} {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", r.name, r.inTime, r.late, r.abandoned, r.loads)
	}
	fmt.Fprintf(w, "in time, ratio\t%.2f\n", float64(cost.inTime)/float64(max(fixed.inTime, 1)))
	return errors.Wrap(w.Flush(), "measure")
}

func (s PlacementSimulation) results() (fixed, cost simResult) {
	list := s.requests()
	return simulate(list, fixedEndpoint), simulate(list, cheapestEndpoint)
}

// requests returns the requests in order of arrival.
func (s PlacementSimulation) requests() []*simRequest {
	r := rand.New(rand.NewPCG(s.Seed, 1))
	popular := newZipf(simAdapters, simSkew)
	var list []*simRequest
	for at := 0.0; at < float64(s.Time.Milliseconds()); at += r.ExpFloat64() * 1000 / s.Rate {
		k := simKinds[0]
		if r.Float64() >= k.share {
			k = simKinds[1]
		}
		list = append(list, &simRequest{
			adapter: (popular.sample(r) + int(at)/simShiftInterval*17) % simAdapters,
			tokens:  1 + int(r.ExpFloat64()*k.tokens),
			runTime: 1 + int(r.ExpFloat64()*k.runTime),
			target:  k.target,
			arrival: int(at),
		})
	}
	return list
}

// zipf samples ranks whose probability is proportional to a negative power of the rank.
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

func (z zipf) sample(r *rand.Rand) int {
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

// fixedEndpoint places an adapter by hash, always at the same endpoint.
func fixedEndpoint(_ *simulation, adapter int) int { return adapter * 7919 % simEndpoints }

// cheapestEndpoint places an adapter where the cost by policy.LoadTarget is lowest.
func cheapestEndpoint(s *simulation, adapter int) int {
	best, least := 0, time.Duration(0)
	for i, e := range s.endpoints {
		if c := s.loadTarget(e, adapter, i == fixedEndpoint(s, adapter)).Cost(); i == 0 || c < least {
			best, least = i, c
		}
	}
	return best
}

func (s *simulation) loadTarget(e *simEndpoint, adapter int, usual bool) policy.LoadTarget {
	target := policy.LoadTarget{
		LoadTime:    simMemoryLoad * time.Millisecond,
		PrefillTime: time.Duration((e.queuedTokens()+e.waitingTokens)/simPromptRate) * time.Millisecond,
		FromStore:   !e.cached(adapter),
		Preferred:   usual,
	}
	if target.FromStore {
		target.LoadTime = simStoreLoad * time.Millisecond
	}
	taken := 0
	for _, t := range e.slots {
		if t.runs > 0 || t.ready > s.now {
			taken++
		}
	}
	target.SlotUtilisation = float64(taken) / simSlots
	if taken >= simSlots {
		target.SlotWait = time.Second // the time of a run, shared by the requests that wait for the slot
	}
	return target
}
