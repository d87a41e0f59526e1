// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
)

// CutOff reports whether this box can open no connection to the endpoints of an endpoint's service.
func (g *Gateway) CutOff(e *topology.Endpoint) bool { return g.links.isCutOff(e.Service()) }

// Links returns the state of this box's links to the endpoints, by service.
func (g *Gateway) Links() map[string]LinkCounts { return g.links.counts() }

// DialEndpoint opens a connection to an endpoint by this box's own link, and records whether it could be opened.
func (g *Gateway) DialEndpoint(ctx context.Context, e *topology.Endpoint) (net.Conn, error) {
	c, err := g.dial()(ctx, "tcp", e.Address())
	if err != nil && ctx.Err() != nil {
		return nil, err // the request ended
	}
	g.recordConnect(e, err)
	return c, err
}

// recordConnect records the result of opening a connection to an endpoint.
func (g *Gateway) recordConnect(e *topology.Endpoint, err error) {
	if g.links.recordConnect(e.Service(), e.ID(), err == nil, clock.Now()) == linkRestored {
		g.Log.Info("Connections to the service's endpoints can be opened again", "service", e.Service(), "endpoint", e.ID())
		g.linksChanged()
	}
}

// recordProbesFailed records that all probes of a round failed. What this box observed of a service's endpoints before it
// found out that it is cut off from them is forgotten: the cause was its own link.
func (g *Gateway) recordProbesFailed(service string, probes int) {
	if g.links.recordProbesFailed(service, probes, clock.Now()) == linkLost {
		g.Log.Info("No connection to the service's endpoints can be opened", "service", service)
		g.upstreams.forgiveFailures(service)
		g.dataCentres.forgiveFailures()
	}
}

// linkRetryAfter returns the Retry-After of a request that this box can't send: if it is cut off from the service, as long as
// that has lasted, since nothing else is known of its end.
func (g *Gateway) linkRetryAfter(service string, otherwise time.Duration) time.Duration {
	return max(min(g.links.cutOffTime(service, clock.Now()), maxLinkRetryAfter), otherwise)
}

// linksChanged calls OnLinksChanged. Only endpoints that run models get orders, so the links to others concern nobody else.
func (g *Gateway) linksChanged() {
	config := g.View.Config()
	if g.OnLinksChanged == nil || config == nil {
		return
	}
	g.OnLinksChanged(slices.ContainsFunc(g.links.confirmed(), func(name string) bool {
		s := config.Service(name)
		return s != nil && s.Engine() != nil
	}))
}

// SuspectLinks has this box check whether it can open connections to the endpoints of a service. It is called when a call
// to one of them got no response. If other data came from them lately, the links work.
func (g *Gateway) SuspectLinks(e *topology.Endpoint) {
	g.links.recordSilence(e.Service(), clock.Now().Add(-silenceTimeout))
}

// probeLinks probes the endpoints of services from which this box may be cut off, until ctx ends.
func (g *Gateway) probeLinks(ctx context.Context) error {
	for ctx.Err() == nil {
		due, next := g.links.dueProbes(g.probeInterval, clock.Now())
		g.probeAll(ctx, due)
		var timer <-chan time.Time // nil: no round is scheduled
		if !next.IsZero() {
			timer = time.After(clock.Until(next))
		}
		select {
		case <-ctx.Done():
		case <-g.links.wakeUps():
		case <-timer:
		}
	}
	return nil
}

// probeInterval returns the time between two rounds of probes of a service. All boxes may probe it: they are cut off, or one of
// its endpoints has ended. It delays no first round, and no requests: those of a box that is cut off go through others.
func (g *Gateway) probeInterval(service string) time.Duration {
	probes := float64(linkProbes * g.Boxes())
	rate := float64(maxProbeRate * max(len(g.View.Endpoints(service)), 1))
	return max(time.Duration(probes/rate*float64(time.Second)), linkProbeInterval)
}

// probeAll carries out rounds of probes.
func (g *Gateway) probeAll(ctx context.Context, rounds []probeRound) {
	done := make(chan struct{})
	for _, r := range rounds {
		go func() {
			g.probe(ctx, r)
			done <- struct{}{}
		}()
	}
	for range rounds {
		<-done
	}
}

// probe carries out one round.
func (g *Gateway) probe(ctx context.Context, r probeRound) {
	sample := g.probeSample(r)
	opened := make(chan bool)
	try := func(dial func(context.Context, *topology.Endpoint) (net.Conn, error), e *topology.Endpoint) {
		c, err := dial(ctx, e)
		if err == nil {
			_ = c.Close() // nothing was sent
		}
		opened <- err == nil
	}
	for _, e := range sample {
		go try(g.DialEndpoint, e)
	}
	anyOpened := false
	for range sample {
		anyOpened = <-opened || anyOpened
	}
	if anyOpened || len(sample) == 0 || ctx.Err() != nil {
		return
	}
	g.recordProbesFailed(r.service, len(sample))
	if g.Relay != nil && g.links.isUnconfirmed(r.service) {
		go try(g.dialRelay, sample[0])
		<-opened
	}
}

// probeSample returns the endpoints that a round of probes connects to: one of each data centre, as the network to others may
// be cut, and then others; random ones, those that have not failed first.
func (g *Gateway) probeSample(r probeRound) []*topology.Endpoint {
	list := slices.DeleteFunc(slices.Clone(g.View.Endpoints(r.service)), (*topology.Endpoint).Draining)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *topology.Endpoint) int { return compareBools(r.failed[a.ID()], r.failed[b.ID()]) })
	seen := make(map[string]bool)
	var first, rest []*topology.Endpoint
	for _, e := range list {
		if seen[e.DataCentre()] {
			rest = append(rest, e)
			continue
		}
		seen[e.DataCentre()] = true
		first = append(first, e)
	}
	slices.SortStableFunc(first, func(a, b *topology.Endpoint) int {
		return compareBools(a.DataCentre() != g.DataCentre, b.DataCentre() != g.DataCentre)
	})
	sample := append(first, rest...)
	return sample[:min(len(sample), linkProbes)]
}

// compareBools sorts false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
