// SPDX-License-Identifier: Apache-2.0

// Package load is an open-loop load generator for gateways: it sends requests at
// a given rate regardless of responses, and records the result of every request.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cairnwick.example/fleet"
	"github.com/google/uuid"
)

// RequestKind is a kind of request in a plan.
type RequestKind struct {
	Class    string
	Caller   string
	Weight   float64 // relative frequency among the kinds
	Tokens   int     // mean; drawn uniformly from 0.5 to 1.5 times this
	Stream   bool
	WithKey  bool          // not repeatable: each request has its own idempotency key, also when it is sent again
	Deadline time.Duration // zero: the default of the class
}

// Plan describes a load. Requests are drawn from the seed: the same plan yields the
// same adapters at the same times.
type Plan struct {
	Gateways        []string
	Health          map[string]string // URL of the readiness check by gateway; empty: no load balancer
	Rate            float64           // requests per second, with exponential intervals
	Duration        time.Duration
	Seed            uint64
	Adapters        int           // number of adapters requested, from the first one
	Conversations   int           // conversations per adapter, each with a common prompt prefix; zero: one
	ActivateAfter   time.Duration // from then on, a quarter of the requests go to a quarter of the adapters, uniformly; zero: never
	Skew            float64       // exponent of the Zipf distribution of adapter popularity, above 1
	ShiftAfter      time.Duration // from then on, other adapters are popular; zero: never
	Kinds           []RequestKind
	Timeout         time.Duration // client timeout
	RetryRejected   bool          // rejected requests are sent once more after the time that the gateway suggests, if their deadline allows it
	ExplicitVersion bool          // request the version explicitly instead of the live one
	AnyVersion      bool          // the live version may change: the response is checked against the version in its header
	Duplicate       bool          // send each request that has a key twice, concurrently, through random gateways
}

// arrival is a scheduled request of a plan.
type arrival struct {
	at               time.Duration // since the start
	gateway          string
	adapter          string
	kind             RequestKind
	tokens           int
	conversation     int
	duplicateGateway string // gateway for the duplicate; "" for none
	version          string // "@" and version to request; "" for the live one
	anyVersion       bool   // any version may be used
	key              string // idempotency key; "" for none
}

const (
	activatedAdapters = 0.24 // share of the adapters
	activatedRequests = 0.25 // share of the requests
)

// arrivals returns all requests of the plan, in order.
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
		if p.Duplicate && k.WithKey {
			a.duplicateGateway = p.Gateways[r.IntN(len(p.Gateways))]
		}
		a.anyVersion = p.AnyVersion
		if p.ExplicitVersion {
			a.version = "@2"
		}
		a.adapter = fleet.AdapterName(1 + p.adapter(int(zipf.Uint64()), a.at))
		if p.ActivateAfter > 0 && a.at >= p.ActivateAfter && r.Float64() < activatedRequests {
			a.adapter = fleet.AdapterName(1 + r.IntN(max(1, int(activatedAdapters*float64(p.Adapters)))))
		}
		if p.Conversations > 0 {
			a.conversation = r.IntN(p.Conversations)
		}
		list = append(list, a)
	}
	return list
}

// Sequence returns the adapters of the plan's requests, in order.
func (p Plan) Sequence() []string {
	list := p.arrivals()
	names := make([]string, len(list))
	for i, a := range list {
		names[i] = a.adapter
	}
	return names
}

// adapter returns the index of the adapter with a popularity rank. After a shift, the
// ranks are rotated by half of the adapters.
func (p Plan) adapter(rank int, at time.Duration) int {
	if p.ShiftAfter > 0 && at >= p.ShiftAfter {
		return (rank + p.Adapters/2) % p.Adapters
	}
	return rank
}

func (p Plan) kind(r *rand.Rand) RequestKind {
	total := 0.0
	for _, k := range p.Kinds {
		total += k.Weight
	}
	x := r.Float64() * total
	for _, k := range p.Kinds {
		if x -= k.Weight; x < 0 {
			return k
		}
	}
	return p.Kinds[len(p.Kinds)-1]
}

// request returns the request to send.
func (a arrival) request() fleet.Request {
	q := fleet.Request{
		Address:      a.gateway,
		Model:        a.adapter + a.version,
		Expect:       a.adapter + "@2",
		Tokens:       a.tokens,
		Conversation: a.conversation,
		Stream:       a.kind.Stream,
		Header:       map[string]string{"Cairn-Class": a.kind.Class, "Cairn-Caller": a.kind.Caller},
	}
	if a.anyVersion {
		q.Expect = ""
	}
	if a.kind.Deadline > 0 {
		q.Header["Cairn-Deadline"] = a.kind.Deadline.String()
	}
	if a.key != "" {
		q.Header["Cairn-Repeatable"] = "no"
		q.Header["Idempotency-Key"] = a.key
	}
	return q
}

// NewKey returns an idempotency key for a request that is not repeatable.
func NewKey() string {
	u, err := uuid.NewV7()
	if err != nil {
		panic(fmt.Sprintf("load: generate key: %v", err))
	}
	return u.String()
}
