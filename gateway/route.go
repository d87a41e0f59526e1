// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/member"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	maxCandidates  = 4                     // endpoints asked in one stage
	mostCandidates = 8                     // endpoints asked for one request
	maxAttempts    = 3                     // runs begun for one request
	failoverPause  = 25 * time.Millisecond // between tries to find an owner that answers
	farFailover    = 500 * time.Millisecond
)

// route brings a request to an endpoint and its answer to the caller. It
// returns nil when the answer was given whole.
func (g *Gateway) route(ctx context.Context, q *request, out *answer) *Failure {
	f := g.routeAnywhere(ctx, q, out)
	if f != nil && f.Ran == NotRun && q.unsure {
		return &Failure{Code: f.Code, Ran: Unknown, Message: "an earlier attempt may have run; the last one: " + f.Message, Retry: f.Retry}
	}
	return f
}

// routeAnywhere tries one stage of endpoints after another. What it returns
// speaks of the last attempts alone.
func (g *Gateway) routeAnywhere(ctx context.Context, q *request, out *answer) *Failure {
	if q.left() <= 0 {
		return &Failure{Code: CodeDeadlinePast, Ran: NotRun, Message: "the deadline passed before the request was routed"}
	}
	var last *Failure
	for _, names := range g.stages(q) {
		f := g.routeIn(ctx, q, out, names)
		if f == nil || f.Ran != NotRun || !elsewhere(f.Code) {
			return f
		}
		last = sooner(last, f)
	}
	if last == nil {
		return &Failure{Code: CodeNoEndpoint, Ran: NotRun, Message: "no endpoint serves " + q.model.Adapter().Base(), Retry: g.Spans.Retry}
	}
	return last
}

// elsewhere tells whether another data centre may do better.
func elsewhere(c Code) bool {
	switch c {
	case CodeNoEndpoint, CodeNoWait, CodeQueueFull, CodeDeadline, CodeLeaving, CodeNotReady:
		return true
	}
	return false
}

// sooner keeps the failure that asks the caller back first.
func sooner(a, b *Failure) *Failure {
	if a == nil || (b.Retry > 0 && b.Retry < a.Retry) {
		return b
	}
	return a
}

// stages returns the endpoints to try, a group after another: where the scope is
// the region, those of all its data centres that can be reached; then those of
// the own data centre; then those of the others, in an order that spreads the
// overflow of many keys.
func (g *Gateway) stages(q *request) [][]string {
	base := q.model.Adapter().Base()
	var stages [][]string
	add := func(names []string) {
		if len(names) > 0 {
			stages = append(stages, names)
		}
	}
	if g.Scope == ScopeRegion {
		add(servingIn(q.catalog, base, g.near(q.catalog)))
	}
	add(servingIn(q.catalog, base, map[string]bool{g.Centre: true}))
	for _, c := range policy.Rank(q.model.String(), q.catalog.DataCentres()) {
		if c != g.Centre && g.reach.reached(c, time.Now()) {
			add(servingIn(q.catalog, base, map[string]bool{c: true}))
		}
	}
	return stages
}

// near returns the data centres of the own region that can be reached.
func (g *Gateway) near(c *catalog.Catalog) map[string]bool {
	near := map[string]bool{g.Centre: true}
	for _, n := range c.DataCentres() {
		if c.Region(n) == c.Region(g.Centre) && g.reach.reached(n, time.Now()) {
			near[n] = true
		}
	}
	return near
}

// routeIn tries the endpoints of one stage.
func (g *Gateway) routeIn(ctx context.Context, q *request, out *answer, names []string) *Failure {
	order := g.place(q, names)
	var last *Failure
	for _, n := range order[:min(maxCandidates, len(order))] {
		if q.candidates >= mostCandidates {
			break
		}
		e, _ := q.catalog.Endpoint(n)
		f := g.tryEndpoint(ctx, q, out, n, e.DataCentre())
		if f == nil || !another(f.Code) || ctx.Err() != nil {
			return f
		}
		if f.Ran != NotRun && !g.mayRepeat(q, out) {
			return f
		}
		last = sooner(last, f)
	}
	if last == nil {
		return &Failure{Code: CodeNoEndpoint, Ran: NotRun, Message: "no endpoint took the request", Retry: g.Spans.Retry}
	}
	return last
}

// another tells whether another endpoint of the data centre may do better.
func another(c Code) bool {
	return elsewhere(c) || c == CodeLoadFailed || c == CodeRefused || c == CodeLost
}

// mayRepeat tells whether a request that may have run may run again: it is
// repeatable, the caller has seen nothing of it, and the budget allows it.
func (g *Gateway) mayRepeat(q *request, out *answer) bool {
	return q.key == "" && out.first.IsZero() && q.attempts < maxAttempts && g.Retries.Take()
}

// servingIn returns the endpoints of a base that serve in the data centres.
func servingIn(c *catalog.Catalog, base string, centres map[string]bool) []string {
	var names []string
	for _, n := range c.EndpointsOf(base) {
		e, _ := c.Endpoint(n)
		if centres[e.DataCentre()] && e.State() == catalog.Serving {
			names = append(names, n)
		}
	}
	return names
}

// place orders the endpoints and records why.
func (g *Gateway) place(q *request, names []string) []string {
	now := time.Now()
	facts, width := g.beliefs.of(q.model.String(), names, now)
	q.width = width
	warm := g.prefixes.warm(q.prefix, now)
	for i, n := range names {
		facts[i].Warm = n == warm
	}
	order, scores := g.Placement.Order(policy.PlaceRequest{
		Key:   q.model.String(),
		Names: names,
		Facts: facts,
		Width: width,
		Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	d := g.decision(q, "place", now)
	ranked := make([]string, len(order))
	for place, i := range order {
		ranked[place] = names[i]
		if place < maxCandidates {
			d.Candidates = append(d.Candidates, candidate(names[i], scores[i], facts[i]))
		}
	}
	d.Endpoint = ranked[0]
	g.Record.Add(d)
	return ranked
}

func candidate(name string, score float64, f policy.Facts) *wire.Candidate {
	c := &wire.Candidate{Endpoint: name, Score: score, AgeMicros: f.Age.Microseconds()}
	switch {
	case f.Warm:
		c.Note = "prefix believed warm"
	case f.Loaded:
		c.Note = "believed loaded"
	case !f.Known:
		c.Note = "nothing heard lately"
	}
	return c
}

// tryEndpoint runs the request at one endpoint, as often as its refusals prove
// that it did not run and the budget allows.
func (g *Gateway) tryEndpoint(ctx context.Context, q *request, out *answer, endpoint, centre string) *Failure {
	q.candidates++
	for {
		h, f := g.acquire(ctx, q, endpoint, centre)
		if f != nil {
			return f
		}
		f = g.attempt(ctx, q, out, h)
		if f == nil || f.Ran != NotRun || f.Code != CodeRefused || ctx.Err() != nil {
			return f
		}
		if q.attempts >= maxAttempts || !g.Retries.Take() {
			return f
		}
	}
}

// acquire asks the endpoint's owner for a grant, and looks for the owner while
// it changes.
func (g *Gateway) acquire(ctx context.Context, q *request, endpoint, centre string) (hold, *Failure) {
	patience := g.Spans.Failover
	if centre != g.Centre {
		patience = farFailover // an endpoint of the own data centre is the next to try
	}
	until := time.Now().Add(min(patience, q.left()))
	hint := "" // who owns the endpoint, by the word of a scheduler that does not
	for {
		if owner, ok := g.ownerOf(endpoint, centre, hint); ok {
			h, refusal := g.askFor(ctx, q, owner, endpoint)
			if h.grant != nil {
				return h, nil
			}
			if refusal != nil && !searching(refusal.GetReason()) {
				return hold{}, g.refusal(q, endpoint, refusal)
			}
			hint = refusal.GetOwner()
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return hold{}, &Failure{Code: CodeNotReady, Ran: NotRun, Message: "no scheduler answers for " + endpoint, Retry: g.Spans.Retry}
		}
		g.await(ctx, failoverPause)
	}
}

// askFor makes one call for a grant and believes what the answer tells. Without
// an answer it returns neither a grant nor a refusal.
func (g *Gateway) askFor(ctx context.Context, q *request, owner member.Member, endpoint string) (hold, *wire.Refusal) {
	asked := time.Now()
	a, err := g.ask(ctx, q, owner, endpoint)
	if err != nil {
		return hold{}, nil
	}
	g.beliefs.hear(endpoint, q.model.String(), a.GetFacts(), time.Now())
	grant := a.GetGrant()
	if grant == nil {
		return hold{}, a.GetRefusal()
	}
	g.beliefs.count(endpoint, 1)
	sendBy := asked.Add(time.Duration(grant.GetSendMicros()) * time.Microsecond)
	return hold{owner: owner, grant: grant, endpoint: endpoint, sendBy: sendBy}, nil
}

// searching tells whether the owner is only not settled yet.
func searching(r wire.Reason) bool {
	return r == wire.Reason_REASON_NOT_OWNER || r == wire.Reason_REASON_NOT_READY
}

// await waits for the view to change, at most d.
func (g *Gateway) await(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ask makes one call for a grant. When it fails the owner is probed, so that
// the view follows soon.
func (g *Gateway) ask(ctx context.Context, q *request, owner member.Member, endpoint string) (*wire.AcquireReply, error) {
	life := owner.Name()
	if owner.DataCentre() != g.Centre {
		life = farLife(owner.DataCentre())
	}
	call, cancel := g.owners.with(ctx, life)
	defer cancel()
	a, err := g.Schedulers.Scheduler(owner.Address()).Acquire(call, &wire.AcquireRequest{
		Request:    q.id,
		Endpoint:   endpoint,
		Adapter:    q.model.String(),
		Class:      q.class.Name(),
		Caller:     q.caller,
		WaitMicros: q.mayWait().Microseconds(),
		Revision:   q.catalog.Revision(),
		Box:        g.Name,
		Width:      int32(q.width),
	})
	if err == nil && owner.DataCentre() != g.Centre {
		g.reach.note(owner.DataCentre(), time.Now().Add(reachFor))
	}
	if err != nil && ctx.Err() == nil && status.Code(err) != codes.Canceled {
		g.Probe(owner.Name())
	}
	return a, err
}

// refusal turns a scheduler's refusal into the caller's answer.
func (g *Gateway) refusal(q *request, endpoint string, r *wire.Refusal) *Failure {
	retry := time.Duration(r.GetRetryMicros()) * time.Microsecond
	f := &Failure{Ran: NotRun, Retry: max(retry, time.Millisecond)}
	switch r.GetReason() {
	case wire.Reason_REASON_DEADLINE:
		f.Code, f.Message = CodeDeadline, "the wait would pass what the class or the deadline allows"
	case wire.Reason_REASON_NO_WAIT:
		f.Code, f.Message = CodeNoWait, "class "+q.class.Name()+" may not wait, and no place is free"
	case wire.Reason_REASON_QUEUE_FULL:
		f.Code, f.Message = CodeQueueFull, "too many requests wait"
	case wire.Reason_REASON_LOAD_FAILED:
		f.Code, f.Message = CodeLoadFailed, q.model.String()+" could not be loaded"
	case wire.Reason_REASON_LEAVING:
		f.Code, f.Message = CodeLeaving, endpoint+" is leaving"
	case wire.Reason_REASON_ENDPOINT_DOWN:
		f.Code, f.Message = CodeNoEndpoint, endpoint+" does not answer"
	case wire.Reason_REASON_UNKNOWN_ADAPTER:
		f.Code, f.Message = CodeNotReady, "the scheduler's configuration does not name "+q.model.String()+" yet"
	default:
		f.Code, f.Message = CodeNotReady, "refused as "+r.GetReason().String()
	}
	return f
}
