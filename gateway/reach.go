// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/wire"
)

// reach tracks which other data centres are reachable. It is safe for concurrent use.
type reach struct {
	mu    sync.Mutex
	until map[string]time.Time // by data centre: when the last reply from it expires
}

const (
	pingInterval = time.Second
	pingTimeout  = 700 * time.Millisecond
	reachFor     = 3 * time.Second // how long a reply shows that a data centre is reachable
	farBeats     = 5               // only one ping round in so many includes other regions
	farReachFor  = (farBeats + 2) * pingInterval
)

func newReach() *reach { return &reach{until: make(map[string]time.Time)} }

func (r *reach) reached(centre string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.until[centre])
}

// note records that a data centre replied and counts as reachable until then.
func (r *reach) note(centre string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.until[centre]) {
		r.until[centre] = until
	}
}

// all returns the reachable data centres.
func (r *reach) all(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for c, until := range r.until {
		if now.Before(until) {
			list = append(list, c)
		}
	}
	return list
}

// followReach pings one scheduler of each other data centre at intervals, and cancels calls to
// those that are unreachable.
func (g *Gateway) followReach(ctx context.Context) error {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for beat := 0; ; beat++ {
		g.pingAll(ctx, beat%farBeats == 0)
		g.endStaleCalls()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// pingAll pings the data centres of this gateway's region, and with far also those of other regions.
func (g *Gateway) pingAll(ctx context.Context, far bool) {
	c := g.Catalog()
	if c == nil {
		return
	}
	var all sync.WaitGroup
	for _, n := range c.DataCentres() {
		near := c.Region(n) == c.Region(g.Centre)
		switch {
		case n == g.Centre || g.reach.reached(n, clock.Now().Add(reachFor-pingInterval)):
			// this gateway's own, or one that replied to a call within the last interval
		case near:
			all.Go(func() { g.ping(ctx, n, reachFor) })
		case far:
			all.Go(func() { g.ping(ctx, n, farReachFor) })
		}
	}
	all.Wait()
}

func (g *Gateway) ping(ctx context.Context, centre string, vouches time.Duration) {
	list := g.Remote.Schedulers(centre)
	if len(list) == 0 {
		return
	}
	m := list[rand.IntN(len(list))]
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	begun := clock.Now()
	if _, err := g.Schedulers.Scheduler(m.Address()).Ping(ctx, &wire.PingRequest{}); err == nil {
		g.reach.note(centre, begun.Add(vouches))
	}
}
