// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
)

const (
	// minFailedEndpoints is how many endpoints of a service must have failed to accept a connection of this box, without one
	// that accepted, before the box takes itself for cut off from the service. A service with fewer endpoints needs all. Two
	// may end together; of three random ones one accepts if the links work.
	minFailedEndpoints = 3
	// linkProbes is how many endpoints a box connects to when it suspects that it is cut off: enough to conclude it at once.
	linkProbes = 3
	// linkProbeInterval is the minimum time between two rounds of probes of one service, each of which takes up to dialTimeout.
	linkProbeInterval = 250 * time.Millisecond
	// maxProbeRate is how many probes a second an endpoint gets from all boxes together while all of them are cut off: each
	// takes it a millisecond, and it may be about to start.
	maxProbeRate = 20
)

// links tracks for each service whether this box can open connections to its endpoints. Existing connections say
// nothing: they may live on while new ones are refused.
type links struct {
	mu       sync.Mutex
	services map[string]*serviceLinks
	wake     chan struct{} // signals that a service is suspected; created on first use
}

// serviceLinks is the state of the links to the endpoints of one service.
type serviceLinks struct {
	failed        map[string]bool // endpoints that accepted no connection since the last one of the service that did
	suspected     bool            // a round of probes is due
	cutOff        bool            // minFailedEndpoints have failed
	cutOffUntil   time.Time       // end of the last time that cutOff was set; zero: there was none
	confirmed     bool            // cutOff, and another box has connected to an endpoint of the service since
	onLost        map[int]func()  // called when cutOff becomes true, under the lock of links
	nextOnLost    int             // key of the next entry of onLost
	probedAt      time.Time       // start of the last round of probes
	lastActivity  time.Time       // when data last came from an endpoint
	connected     int64           // connections opened
	failures      int64           // connections that could not be opened
	interruptions int64           // times that this box was cut off
	relayed       int64           // connections opened through other boxes
	relayFailures int64           // connections that could not be opened through other boxes either
}

// LinkCounts describes this box's links to the endpoints of a service, for the metrics.
type LinkCounts struct {
	CutOff      bool  `json:"cut_off"`
	Confirmed   bool  `json:"confirmed"`   // another box has connected to an endpoint meanwhile
	Connected   int64 `json:"connected"`   // connections opened
	Failed      int64 `json:"failed"`      // connections that could not be opened
	Unreachable int   `json:"unreachable"` // endpoints that accepted no connection since the last one that did
	CutOffTimes int64 `json:"cut_off_times"`
	Relayed     int64 `json:"relayed"`      // connections opened through other boxes
	RelayFailed int64 `json:"relay_failed"` // connections that could not be opened through other boxes either
}

// linkChange is a change of whether this box is cut off from a service.
type linkChange int

const (
	linkUnchanged linkChange = iota
	linkLost
	linkRestored
)

// recordConnect records whether a connection to an endpoint of a service with that many endpoints could be opened.
func (l *links) recordConnect(service, endpoint string, endpoints int, opened bool, now time.Time) linkChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serviceLocked(service)
	if opened {
		s.connected++
		clear(s.failed)
		s.suspected = false
		if !s.cutOff {
			return linkUnchanged
		}
		s.cutOff, s.confirmed, s.cutOffUntil = false, false, now
		return linkRestored
	}
	s.failures++
	s.failed[endpoint] = true
	l.suspectLocked(s)
	if s.cutOff || len(s.failed) < max(min(minFailedEndpoints, endpoints), 1) {
		return linkUnchanged
	}
	s.cutOff = true
	s.interruptions++
	for _, f := range s.onLost {
		f()
	}
	return linkLost
}

// recordRelay records whether a connection could be opened through another box. It reports whether that confirms that
// this box is cut off.
func (l *links) recordRelay(service string, opened bool) (confirms bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serviceLocked(service)
	if !opened {
		s.relayFailures++
		return false
	}
	s.relayed++
	confirms = s.cutOff && !s.confirmed
	s.confirmed = s.cutOff
	return confirms
}

// recordActivity records that data came from an endpoint of a service.
func (l *links) recordActivity(service string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serviceLocked(service).lastActivity = now
}

// recordSilence records a request that has had no response since sent. If no data at all came from the service's
// endpoints since, they are probed.
func (l *links) recordSilence(service string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.serviceLocked(service); !s.lastActivity.After(sent) {
		l.suspectLocked(s)
	}
}

// suspectLocked schedules a round of probes.
func (l *links) suspectLocked(s *serviceLinks) {
	s.suspected = true
	select {
	case l.wakeLocked() <- struct{}{}:
	default: // a wake-up is already pending
	}
}

func (l *links) wakeLocked() chan struct{} {
	if l.wake == nil {
		l.wake = make(chan struct{}, 1)
	}
	return l.wake
}

// wakeUps returns the channel that signals suspicions.
func (l *links) wakeUps() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wakeLocked()
}

// isCutOff reports whether this box can open no connection to the service's endpoints.
func (l *links) isCutOff(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[service]
	return s != nil && s.cutOff
}

// wasCutOffSince reports whether this box has been cut off from a service at some time since t.
func (l *links) wasCutOffSince(service string, t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[service]
	return s != nil && (s.cutOff || s.cutOffUntil.After(t))
}

// hasFailed reports whether an endpoint accepted no connection since the last one of its service that did.
func (l *links) hasFailed(e *topology.Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[e.Service()]
	return s != nil && s.failed[e.ID()]
}

// onLost has f called when this box becomes cut off from a service, until remove is called. f must not block.
func (l *links) onLost(service string, f func()) (remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serviceLocked(service)
	key := s.nextOnLost
	s.nextOnLost++
	s.onLost[key] = f
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(s.onLost, key)
	}
}

// confirmed returns the services from which this box is cut off while another box reaches their endpoints.
func (l *links) confirmed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for name, s := range l.services {
		if s.confirmed {
			list = append(list, name)
		}
	}
	return list
}

// probeRound is a round of probes of one service.
type probeRound struct {
	service string
	failed  map[string]bool // endpoints that have failed already
	confirm bool            // it is not known yet whether another box reaches the endpoints
}

// dueProbes returns the rounds that are due, and when the next one is; zero: none is scheduled. interval returns the time
// between two rounds for a service.
func (l *links) dueProbes(interval func(service string) time.Duration, now time.Time) (due []probeRound, next time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.services {
		if !s.suspected && !s.cutOff {
			continue
		}
		wait := linkProbeInterval
		if s.cutOff {
			wait = interval(name)
		}
		at := s.probedAt.Add(wait)
		if now.Before(at) {
			next = earlier(next, at)
			continue
		}
		s.suspected, s.probedAt = false, now
		if s.cutOff {
			next = earlier(next, now.Add(wait))
		}
		r := probeRound{service: name, failed: make(map[string]bool, len(s.failed)), confirm: s.cutOff && !s.confirmed}
		for e := range s.failed {
			r.failed[e] = true
		}
		due = append(due, r)
	}
	return due, next
}

// earlier returns the earlier of two times; a zero time is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func (l *links) serviceLocked(service string) *serviceLinks {
	if l.services == nil {
		l.services = make(map[string]*serviceLinks)
	}
	s := l.services[service]
	if s == nil {
		s = &serviceLinks{failed: make(map[string]bool), onLost: make(map[int]func())}
		l.services[service] = s
	}
	return s
}

// counts returns the state of the links by service.
func (l *links) counts() map[string]LinkCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make(map[string]LinkCounts, len(l.services))
	for name, s := range l.services {
		list[name] = LinkCounts{CutOff: s.cutOff, Confirmed: s.confirmed, Connected: s.connected, Failed: s.failures, Unreachable: len(s.failed),
			CutOffTimes: s.interruptions, Relayed: s.relayed, RelayFailed: s.relayFailures}
	}
	return list
}

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

// recordConnect records the result of opening a connection to an endpoint. What this box observed of a service's endpoints
// before it found out that it is cut off from them is forgotten: the cause was its own link.
func (g *Gateway) recordConnect(e *topology.Endpoint, err error) {
	service := e.Service()
	switch g.links.recordConnect(service, e.ID(), len(g.View.Endpoints(service)), err == nil, clock.Now()) {
	case linkLost:
		g.Log.Info("No connection to the service's endpoints can be opened", "service", service, "endpoint", e.ID(), "err", err.Error())
		g.upstreams.forgiveFailures(service)
		g.dataCentres.forgiveFailures()
	case linkRestored:
		g.Log.Info("Connections to the service's endpoints can be opened again", "service", service, "endpoint", e.ID())
		g.linksChanged()
	}
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

// probeInterval returns the time between two rounds of probes of a service from which this box is cut off, as all boxes may
// be. It does not delay requests: they go through the first box that reaches an endpoint again.
func (g *Gateway) probeInterval(service string) time.Duration {
	probes := float64(linkProbes * g.Boxes())
	rate := float64(maxProbeRate * max(len(g.View.Endpoints(service)), 1))
	return max(time.Duration(probes/rate*float64(time.Second)), linkProbeInterval)
}

// probeAll carries out rounds of probes.
func (g *Gateway) probeAll(ctx context.Context, rounds []probeRound) {
	done := make(chan struct{})
	count := 0
	run := func(dial func(context.Context, *topology.Endpoint) (net.Conn, error), e *topology.Endpoint) {
		count++
		go func() {
			if c, err := dial(ctx, e); err == nil {
				_ = c.Close() // nothing was sent
			}
			done <- struct{}{}
		}()
	}
	for _, r := range rounds {
		sample := g.probeSample(r)
		for _, e := range sample {
			run(g.DialEndpoint, e)
		}
		if r.confirm && g.Relay != nil && len(sample) > 0 {
			run(g.dialRelay, sample[0])
		}
	}
	for range count {
		<-done
	}
}

// probeSample returns the endpoints that a round of probes connects to: random ones, those that have not failed first.
func (g *Gateway) probeSample(r probeRound) []*topology.Endpoint {
	list := g.View.Endpoints(r.service)
	var sample, failed []*topology.Endpoint
	for _, i := range rand.Perm(len(list)) {
		switch e := list[i]; {
		case e.Draining():
		case r.failed[e.ID()]:
			failed = append(failed, e)
		default:
			sample = append(sample, e)
		}
	}
	sample = append(sample, failed...)
	return sample[:min(len(sample), linkProbes)]
}
