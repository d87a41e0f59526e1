// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"

	"cairnwick.example/member"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
)

// owners ends calls to schedulers that stop serving, so that no request waits
// for one that is gone.
type owners struct {
	mu    sync.Mutex
	lives map[string]*ownerLife // by member name
}

// ownerLife is a context that ends when the scheduler no longer serves.
type ownerLife struct {
	ctx context.Context
	end context.CancelFunc
}

func newOwners() *owners { return &owners{lives: make(map[string]*ownerLife)} }

// with returns a context that ends with ctx or with the scheduler's service.
func (o *owners) with(ctx context.Context, name string) (context.Context, context.CancelFunc) {
	o.mu.Lock()
	l := o.lives[name]
	if l == nil {
		l = &ownerLife{}
		l.ctx, l.end = context.WithCancel(context.Background())
		o.lives[name] = l
	}
	o.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(l.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// keep ends the lives of all that are not among the serving.
func (o *owners) keep(serving map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for n, l := range o.lives {
		if !serving[n] {
			l.end()
			delete(o.lives, n)
		}
	}
}

// followOwners ends calls to schedulers as the view changes.
func (g *Gateway) followOwners(ctx context.Context) error {
	for {
		changed := g.Members.Changed()
		g.keepOwners()
		select {
		case <-ctx.Done():
			g.owners.keep(nil)
			return nil
		case <-changed:
		}
	}
}

// keepOwners ends calls to schedulers that do not serve any more and to data
// centres that can't be reached.
func (g *Gateway) keepOwners() {
	serving := make(map[string]bool)
	for _, m := range g.Members.Serving(member.Scheduler) {
		serving[m.Name()] = true
	}
	for _, c := range g.reach.all(time.Now()) {
		serving[farLife(c)] = true
	}
	g.owners.keep(serving)
}

// ownerOf returns the scheduler that should own an endpoint: the one that a hint
// names, when it serves, else the first in rendezvous order.
func (g *Gateway) ownerOf(endpoint, centre, hint string) (member.Member, bool) {
	list := g.schedulersOf(centre)
	for _, m := range list {
		if m.Name() == hint {
			return m, true
		}
	}
	return pick(endpoint, list)
}

// schedulersOf returns the serving schedulers of a data centre: by heartbeats
// in the own one, by the platform's list elsewhere.
func (g *Gateway) schedulersOf(centre string) []member.Member {
	if centre == g.Centre {
		return g.Members.Serving(member.Scheduler)
	}
	return g.Remote.Schedulers(centre)
}

func pick(key string, list []member.Member) (member.Member, bool) {
	names := make([]string, len(list))
	for i, m := range list {
		names[i] = m.Name()
	}
	first := policy.First(key, names)
	for _, m := range list {
		if m.Name() == first {
			return m, true
		}
	}
	return member.Member{}, false
}

// release is a grant to give back.
type release struct {
	owner   member.Member
	request *wire.ReleaseRequest
}

const releaseTimeout = 2 * time.Second

func (g *Gateway) releaseWorker(ctx context.Context) error {
	for {
		select {
		case r := <-g.releases:
			g.giveBack(r)
		case <-ctx.Done():
			return g.drainReleases()
		}
	}
}

// drainReleases gives back what is left when the gateway ends.
func (g *Gateway) drainReleases() error {
	for {
		select {
		case r := <-g.releases:
			g.giveBack(r)
		default:
			return nil
		}
	}
}

// giveBack tells the scheduler once. When that fails the scheduler finds out by
// the endpoint's report that the grant is over.
func (g *Gateway) giveBack(r release) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := g.Schedulers.Scheduler(r.owner.Address()).Release(ctx, r.request)
	if err != nil {
		g.Log.V(1).Info("Grant was not given back", "scheduler", r.owner.Name(), "err", err.Error())
	}
}

// release hands a grant to a worker, or gives it back itself when all are busy.
func (g *Gateway) release(owner member.Member, q *wire.ReleaseRequest) {
	g.beliefs.count(q.GetEndpoint(), -1)
	r := release{owner: owner, request: q}
	select {
	case g.releases <- r:
	default:
		g.giveBack(r)
	}
}
