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

// reachability tracks which other data centres are reachable. It is safe for concurrent use.
type reachability struct {
	mu    sync.Mutex
	until map[string]time.Time // by data centre: when it counts as unreachable unless it replies again
}

const (
	pingInterval       = time.Second
	pingTimeout        = 700 * time.Millisecond
	reachableTTL       = 3 * time.Second // how long a reply shows that a data centre is reachable
	remotePingEvery    = 5               // every fifth ping round also pings the data centres of other regions
	remoteReachableTTL = (remotePingEvery + 2) * pingInterval
)

func newReachability() *reachability { return &reachability{until: make(map[string]time.Time)} }

func (r *reachability) isReachable(dataCentre string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.until[dataCentre])
}

// extend records that a data centre replied and counts as reachable until then.
func (r *reachability) extend(dataCentre string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.until[dataCentre]) {
		r.until[dataCentre] = until
	}
}

// reachable returns the reachable data centres.
func (r *reachability) reachable(now time.Time) []string {
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

// monitorReachability pings one scheduler of each other data centre at intervals, and cancels calls to
// those that are unreachable.
func (g *Gateway) monitorReachability(ctx context.Context) error {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for round := 0; ; round++ {
		g.pingDataCentres(ctx, round%remotePingEvery == 0)
		g.cancelStaleCalls()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// pingDataCentres pings the other data centres of this gateway's region, and with otherRegions also those of
// other regions.
func (g *Gateway) pingDataCentres(ctx context.Context, otherRegions bool) {
	c := g.Catalog()
	if c == nil {
		return
	}
	var all sync.WaitGroup
	for _, n := range c.DataCentres() {
		sameRegion := c.Region(n) == c.Region(g.DataCentre)
		switch {
		case n == g.DataCentre || g.reachability.isReachable(n, clock.Now().Add(reachableTTL-pingInterval)):
			// this gateway's own, or one that replied to a call within the last interval
		case sameRegion:
			all.Go(func() { g.pingDataCentre(ctx, n, reachableTTL) })
		case otherRegions:
			all.Go(func() { g.pingDataCentre(ctx, n, remoteReachableTTL) })
		}
	}
	all.Wait()
}

func (g *Gateway) pingDataCentre(ctx context.Context, dataCentre string, ttl time.Duration) {
	list := g.Directory.Schedulers(dataCentre)
	if len(list) == 0 {
		return
	}
	m := list[rand.IntN(len(list))]
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sentAt := clock.Now()
	if _, err := g.Schedulers.Scheduler(m.Address()).Ping(ctx, &wire.PingRequest{}); err == nil {
		g.reachability.extend(dataCentre, sentAt.Add(ttl))
	}
}
