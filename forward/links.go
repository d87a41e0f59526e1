// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net"
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
)

// minFailedEndpoints is how many endpoints of a service must have failed to accept a connection of this box, without one
// that accepted, before the box takes itself for cut off from the service. A service with fewer endpoints needs all.
const minFailedEndpoints = 3

// links tracks for each service whether this box can open connections to its endpoints. Existing connections say
// nothing: they may live on while new ones are refused.
type links struct {
	mu       sync.Mutex
	services map[string]*serviceLinks
}

// serviceLinks is the state of the links to the endpoints of one service.
type serviceLinks struct {
	failed        map[string]bool // endpoints that accepted no connection since the last one of the service that did
	cutOff        bool            // minFailedEndpoints have failed
	cutOffSince   time.Time
	connected     int64 // connections opened
	failures      int64 // connections that could not be opened
	interruptions int64 // times that this box was cut off
}

// LinkCounts describes this box's links to the endpoints of a service, for the metrics.
type LinkCounts struct {
	CutOff      bool  `json:"cut_off"`
	Connected   int64 `json:"connected"`   // connections opened
	Failed      int64 `json:"failed"`      // connections that could not be opened
	Unreachable int   `json:"unreachable"` // endpoints that accepted no connection since the last one that did
	CutOffTimes int64 `json:"cut_off_times"`
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
		if !s.cutOff {
			return linkUnchanged
		}
		s.cutOff = false
		return linkRestored
	}
	s.failures++
	s.failed[endpoint] = true
	if s.cutOff || len(s.failed) < max(min(minFailedEndpoints, endpoints), 1) {
		return linkUnchanged
	}
	s.cutOff, s.cutOffSince = true, now
	s.interruptions++
	return linkLost
}

func (l *links) serviceLocked(service string) *serviceLinks {
	if l.services == nil {
		l.services = make(map[string]*serviceLinks)
	}
	s := l.services[service]
	if s == nil {
		s = &serviceLinks{failed: make(map[string]bool)}
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
		list[name] = LinkCounts{CutOff: s.cutOff, Connected: s.connected, Failed: s.failures, Unreachable: len(s.failed), CutOffTimes: s.interruptions}
	}
	return list
}

// Links returns the state of this box's links to the endpoints, by service.
func (g *Gateway) Links() map[string]LinkCounts { return g.links.counts() }

// dialEndpoint opens a connection to an endpoint and records whether it could be opened.
func (g *Gateway) dialEndpoint(ctx context.Context, e *topology.Endpoint) (net.Conn, error) {
	c, err := g.dial()(ctx, "tcp", e.Address())
	if err != nil && ctx.Err() != nil {
		return nil, err // the request ended
	}
	g.recordConnect(e, err)
	return c, err
}

// recordConnect records the result of opening a connection to an endpoint.
func (g *Gateway) recordConnect(e *topology.Endpoint, err error) {
	now := clock.Now()
	switch g.links.recordConnect(e.Service(), e.ID(), len(g.View.Endpoints(e.Service())), err == nil, now) {
	case linkLost:
		g.Log.Info("No connection to the service's endpoints can be opened", "service", e.Service(), "endpoint", e.ID(), "err", err.Error())
	case linkRestored:
		g.Log.Info("Connections to the service's endpoints can be opened again", "service", e.Service(), "endpoint", e.ID())
	}
}
