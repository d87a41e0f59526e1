// SPDX-License-Identifier: Apache-2.0

// Package load sends requests to gateways at a steady rate, whether answers
// come or not, and accounts for every one of them.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cairnwick.example/fleet"
	"github.com/google/uuid"
)

// Mix is one kind of request in a plan.
type Mix struct {
	Class    string
	Caller   string
	Share    float64 // weight among the kinds
	Tokens   int     // mean; each request draws from half to one and a half
	Stream   bool
	Keyed    bool          // not repeatable: each request has a key of its own
	Deadline time.Duration // zero: that of the class
}

// Plan describes a load. The same plan with the same seed asks for the same
// adapters at the same times.
type Plan struct {
	Gateways []string
	Health   map[string]string // URL of readiness by gateway; empty: no balancer stands before them
	Rate     float64           // requests a second
	Duration time.Duration
	Seed     uint64
	Adapters int           // asked for, from the first on
	Talks    int           // conversations of each adapter, whose prompts begin alike; zero: one
	Wake     time.Duration // after it a quarter of all adapters wakes; zero: never
	Skew     float64       // exponent of the popularity, above 1
	Shift    time.Duration // after it other adapters are the popular ones; zero: never
	Kinds    []Mix
	Patience time.Duration // longest wait for an answer
	ComeBack bool          // refused callers come back once, when they were told to
	Explicit bool          // name the version, not the adapter alone
	Alias    bool          // the live version may change: the answer's own header says which must have run
	Twice    bool          // send each request with a key again, at once, through another gateway
}

// arrival is one request of a plan.
type arrival struct {
	at      time.Duration // from the begin
	gateway string
	adapter string
	kind    Mix
	tokens  int
	talk    int    // conversation
	again   string // gateway of a second sending; "" for none
	version string // asked for; "" leaves it to the alias
	any     bool   // any version may answer
}

const (
	wakingAdapters = 0.24 // of all adapters wake
	wakingRequests = 0.25 // of the requests are then for them
)

// arrivals draws the whole plan.
func (p Plan) arrivals() []arrival {
	r := rand.New(rand.NewPCG(p.Seed, p.Seed+1))
	zipf := rand.NewZipf(r, p.Skew, 1, uint64(p.Adapters-1))
	var list []arrival
	for at := 0.0; at < p.Duration.Seconds(); at += r.ExpFloat64() / p.Rate {
		k := p.kind(r)
		a := arrival{
			at:      time.Duration(at * float64(time.Second)),
			gateway: p.Gateways[r.IntN(len(p.Gateways))],
			kind:    k,
			tokens:  max(1, k.Tokens/2+r.IntN(k.Tokens+1)),
		}
		if p.Twice && k.Keyed {
			a.again = p.Gateways[r.IntN(len(p.Gateways))]
		}
		a.any = p.Alias
		if p.Explicit {
			a.version = "@2"
		}
		a.adapter = fleet.AdapterName(1 + p.adapter(int(zipf.Uint64()), a.at))
		if p.Wake > 0 && a.at >= p.Wake && r.Float64() < wakingRequests {
			a.adapter = fleet.AdapterName(1 + r.IntN(max(1, int(wakingAdapters*float64(p.Adapters)))))
		}
		if p.Talks > 0 {
			a.talk = r.IntN(p.Talks)
		}
		list = append(list, a)
	}
	return list
}

// Sequence returns the adapters that the plan asks for, in order.
func (p Plan) Sequence() []string {
	list := p.arrivals()
	names := make([]string, len(list))
	for i, a := range list {
		names[i] = a.adapter
	}
	return names
}

// adapter turns a rank of popularity into an adapter: ranks are spread over the
// adapters, and spread otherwise after a shift.
func (p Plan) adapter(rank int, at time.Duration) int {
	if p.Shift > 0 && at >= p.Shift {
		return (rank + p.Adapters/2) % p.Adapters
	}
	return rank
}

func (p Plan) kind(r *rand.Rand) Mix {
	whole := 0.0
	for _, k := range p.Kinds {
		whole += k.Share
	}
	x := r.Float64() * whole
	for _, k := range p.Kinds {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return p.Kinds[len(p.Kinds)-1]
}

// ask is the request as a caller sends it.
func (a arrival) ask() fleet.Ask {
	q := fleet.Ask{
		Address: a.gateway,
		Model:   a.adapter + a.version,
		Expect:  a.adapter + "@2",
		Tokens:  a.tokens,
		Talk:    a.talk,
		Stream:  a.kind.Stream,
		Header:  map[string]string{"Cairn-Class": a.kind.Class, "Cairn-Caller": a.kind.Caller},
	}
	if a.any {
		q.Expect = ""
	}
	if a.kind.Deadline > 0 {
		q.Header["Cairn-Deadline"] = a.kind.Deadline.String()
	}
	if a.kind.Keyed {
		q.Header["Cairn-Repeatable"] = "no"
		q.Header["Idempotency-Key"] = NewKey()
	}
	return q
}

// NewKey returns a key for a request that is not repeatable.
func NewKey() string {
	u, err := uuid.NewV7()
	if err != nil {
		panic(fmt.Sprintf("load: no randomness: %v", err))
	}
	return u.String()
}
