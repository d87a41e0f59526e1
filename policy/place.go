// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// EndpointState is the last known state of an endpoint. It may be outdated.
type EndpointState struct {
	Running int           // requests running in its batch or granted
	Limit   int           // capacity of its batch
	Waiting int           // requests queued at its owner
	Loaded  bool          // the adapter is probably loaded
	Warm    bool          // the prompt prefix is probably cached
	Known   bool          // a state has been received
	Age     time.Duration // since the state was received

	FirstToken time.Duration // expected time to first token of a further request, without loads; zero: not known
	Queue      time.Duration // part of FirstToken that passes until the requests ahead are served
}

// utilisation is 1 for a full batch with an empty queue, and 0 if the capacity is not known.
func (s EndpointState) utilisation() float64 {
	if s.Limit == 0 {
		return 0
	}
	return float64(s.Running+s.Waiting) / float64(s.Limit)
}

// Placement orders the endpoints of a request's base model, best first. Scores are by index of
// the endpoint; higher is better.
type Placement interface {
	Order(r PlacementRequest) (order []int, scores []float64)
	// Alternatives returns the endpoints that may take the place of the first one of the order if they serve the
	// request sooner, in the same order and with the first one. The others are fallbacks.
	Alternatives(r PlacementRequest, order []int) []int
}

// PlacementRequest is a request to place. Names and States have the same indexes.
type PlacementRequest struct {
	Key       string // the adapter with its version
	Names     []string
	States    []EndpointState
	HomeCount int        // number of home endpoints of the adapter; at least 1
	Rand      *rand.Rand // for random choices
}

// Names of the placements in the settings.
const (
	PlacementHomes       = "homes"
	PlacementHash        = "hash"
	PlacementLeastLoaded = "least_loaded"
	PlacementRandom      = "random"
)

// NewPlacement returns the placement with a name.
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
	return nil, errors.Errorf("policy: unknown placement %q: use %s, %s, %s or %s", name, PlacementHomes, PlacementHash, PlacementLeastLoaded, PlacementRandom)
}

// homes prefers the home endpoints of an adapter, the first HomeCount in rendezvous order, and picks
// the better of two random ones. The other endpoints follow in rendezvous order as a last resort.
type homes struct{}

const (
	loadedBonus = 1.0  // utilisation by which a home with the adapter loaded may exceed one without
	warmBonus   = 0.25 // the same for a cached prefix, which is only a hint and serves as a tie-break
)

func (p homes) Order(r PlacementRequest) ([]int, []float64) {
	ranked := indexesOf(r.Names, Rank(r.Key, r.Names))
	homeCount := p.homeCount(r)
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

func (homes) homeCount(r PlacementRequest) int { return min(max(r.HomeCount, 1), len(r.Names)) }

// Alternatives returns the home endpoints. If the first one has the adapter loaded, only those that have it too are
// returned, since a load takes longer than most prompts.
func (p homes) Alternatives(r PlacementRequest, order []int) []int {
	var list []int
	for _, i := range order[:p.homeCount(r)] {
		if r.States[i].Loaded || !r.States[order[0]].Loaded {
			list = append(list, i)
		}
	}
	return list
}

// bestWarm returns the endpoint with the highest score among those with a cached prefix, or -1.
func bestWarm(list []int, states []EndpointState, scores []float64) int {
	best := -1
	for _, i := range list {
		if states[i].Warm && (best < 0 || scores[i] > scores[best]) {
			best = i
		}
	}
	return best
}

// betterOfTwo returns the better of two random endpoints.
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

// hashOnly uses only the rendezvous order.
type hashOnly struct{}

func (hashOnly) Order(r PlacementRequest) ([]int, []float64) {
	ranked := indexesOf(r.Names, Rank(r.Key, r.Names))
	scores := make([]float64, len(r.Names))
	for place, i := range ranked {
		scores[i] = -float64(place)
	}
	return ranked, scores
}

// Alternatives returns the first endpoint: the others are used only if it fails.
func (hashOnly) Alternatives(_ PlacementRequest, order []int) []int { return order[:1] }

// leastLoaded uses only the utilisation; ties are ordered at random.
type leastLoaded struct{}

func (leastLoaded) Order(r PlacementRequest) ([]int, []float64) {
	scores := make([]float64, len(r.Names))
	for i, f := range r.States {
		scores[i] = -f.utilisation()
	}
	return sortByScore(r.Rand.Perm(len(r.Names)), scores), scores
}

// Alternatives returns all endpoints.
func (leastLoaded) Alternatives(_ PlacementRequest, order []int) []int { return order }

// random ignores the state of the endpoints.
type random struct{}

func (random) Order(r PlacementRequest) ([]int, []float64) {
	return r.Rand.Perm(len(r.Names)), make([]float64, len(r.Names))
}

// Alternatives returns the first endpoint, since the choice ignores the state of the endpoints.
func (random) Alternatives(_ PlacementRequest, order []int) []int { return order[:1] }

// HomeCount returns the number of home endpoints that an adapter needs so that its own running
// requests fill at most maxUtilisation of each one's limit.
func HomeCount(rate float64, service time.Duration, limit int, maxUtilisation float64) int {
	if limit <= 0 || maxUtilisation <= 0 {
		return 1
	}
	homes := rate * service.Seconds() / (float64(limit) * maxUtilisation)
	return max(1, int(math.Ceil(homes)))
}
