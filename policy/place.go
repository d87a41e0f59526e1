// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// EndpointState is what is believed of one endpoint.
type EndpointState struct {
	Running int           // requests in its batch or granted
	Limit   int           // requests that it can batch
	Waiting int           // requests that its owner holds back
	Loaded  bool          // the adapter is believed ready there
	Warm    bool          // the request's prefix is believed cached there
	Known   bool          // anything was ever heard of it
	Age     time.Duration // of what was heard
}

// utilisation is how full the endpoint is: 1 when the batch is full and none waits.
func (f EndpointState) utilisation() float64 {
	if f.Limit == 0 {
		return 0
	}
	return float64(f.Running+f.Waiting) / float64(f.Limit)
}

// Placement orders the endpoints of a request's base model, the best first.
// The scores go along with the order, larger is better.
type Placement interface {
	Order(r PlacementRequest) (order []int, scores []float64)
}

// PlacementRequest is one request to place. Names and Facts run in parallel.
type PlacementRequest struct {
	Key       string // the adapter at its version
	Names     []string
	States    []EndpointState
	HomeCount int        // how many homes the adapter should have; at least 1
	Rand      *rand.Rand // for the choices that are random
}

// The names of the placements, as settings choose them.
const (
	PlacementHomes       = "homes"
	PlacementHash        = "hash"
	PlacementLeastLoaded = "least_loaded"
	PlacementRandom      = "random"
)

// NewPlacement returns the placement called name.
func NewPlacement(name string) (Placement, error) {
	switch name {
	case PlacementHomes:
		return homes{}, nil
	case PlacementHash:
		return hashOnly{}, nil
	case PlacementLeastLoaded:
		return leastLoaded{}, nil
	case PlacementRandom:
		return random{}, nil
	}
	return nil, errors.Errorf("policy: placement %q: use %s, %s, %s or %s", name, PlacementHomes, PlacementHash, PlacementLeastLoaded, PlacementRandom)
}

// homes sends an adapter to its first Width endpoints of the rendezvous order,
// of two of them to the better one; the rest follow in order, as a last resort.
type homes struct{}

const (
	loadedBonus = 1.0  // how much fuller a home that has the adapter may be than one that would have to load it
	warmBonus   = 0.25 // the same for one that has the prefix: a tie-break, since it is a hint
)

func (homes) Order(r PlacementRequest) ([]int, []float64) {
	ranked := indexesOf(r.Names, Rank(r.Key, r.Names))
	homeCount := min(max(r.HomeCount, 1), len(ranked))
	scores := make([]float64, len(r.Names))
	for place, i := range ranked {
		scores[i] = -r.States[i].utilisation() - float64(max(0, place-homeCount+1))
		if r.States[i].Loaded {
			scores[i] += loadedBonus
		}
		if r.States[i].Warm {
			scores[i] += warmBonus
		}
	}
	homeEndpoints := ranked[:homeCount]
	first := betterOfTwo(homeEndpoints, scores, r.Rand)
	if warm := bestWarm(homeEndpoints, r.States, scores); warm >= 0 && scores[warm] >= scores[first] {
		first = warm
	}
	order := []int{first}
	for _, i := range sortByScore(homeEndpoints, scores) {
		if i != first {
			order = append(order, i)
		}
	}
	return append(order, ranked[homeCount:]...), scores
}

// bestWarm returns the best member whose prefix is warm, or -1.
func bestWarm(list []int, states []EndpointState, scores []float64) int {
	best := -1
	for _, i := range list {
		if states[i].Warm && (best < 0 || scores[i] > scores[best]) {
			best = i
		}
	}
	return best
}

// betterOfTwo takes the better of two random members.
func betterOfTwo(list []int, scores []float64, r *rand.Rand) int {
	if len(list) == 1 {
		return list[0]
	}
	a := r.IntN(len(list))
	b := r.IntN(len(list) - 1)
	if b >= a {
		b++
	}
	if scores[list[b]] > scores[list[a]] {
		return list[b]
	}
	return list[a]
}

// hashOnly uses the rendezvous order alone.
type hashOnly struct{}

func (hashOnly) Order(r PlacementRequest) ([]int, []float64) {
	ranked := indexesOf(r.Names, Rank(r.Key, r.Names))
	scores := make([]float64, len(r.Names))
	for place, i := range ranked {
		scores[i] = -float64(place)
	}
	return ranked, scores
}

// leastLoaded uses the load alone.
type leastLoaded struct{}

func (leastLoaded) Order(r PlacementRequest) ([]int, []float64) {
	scores := make([]float64, len(r.Names))
	for i, f := range r.States {
		scores[i] = -f.utilisation()
	}
	return sortByScore(r.Rand.Perm(len(r.Names)), scores), scores
}

// random uses nothing.
type random struct{}

func (random) Order(r PlacementRequest) ([]int, []float64) {
	return r.Rand.Perm(len(r.Names)), make([]float64, len(r.Names))
}

// HomeCount returns how many homes an adapter should have: enough that its own
// load, in requests running at a time, fills no home by more than share of its
// limit.
func HomeCount(rate float64, service time.Duration, limit int, maxUtilisation float64) int {
	if limit <= 0 || maxUtilisation <= 0 {
		return 1
	}
	homes := rate * service.Seconds() / (float64(limit) * maxUtilisation)
	return max(1, int(math.Ceil(homes)))
}
