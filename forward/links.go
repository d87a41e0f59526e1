// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"

	"cairnwick.example/topology"
)

const (
	// linkProbes is how many endpoints a box connects to when it suspects that it is cut off: enough for most fleets to have
	// one in each data centre. It is cut off if none accepts; a service with fewer endpoints needs all.
	linkProbes = 3
	// linkProbeInterval is the least time between two rounds of probes of one service, each of which takes up to dialTimeout.
	linkProbeInterval = 250 * time.Millisecond
	// maxLinkRetryAfter bounds the Retry-After of requests that a cut-off box can't send: few callers wait longer.
	maxLinkRetryAfter = 2 * time.Second
	// maxProbeRate is how many probes a second an endpoint gets from all boxes together, while all of them are cut off or find
	// that another one has ended: each takes it a millisecond, and it may be about to start.
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
	cutOff        bool            // all probes of a round failed, and no connection was opened since
	cutOffSince   time.Time       // when cutOff was last set
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

// recordConnect records whether a connection to an endpoint could be opened. A failure has the service's endpoints probed:
// several that ended together may have been tried first.
func (l *links) recordConnect(service, endpoint string, opened bool, now time.Time) linkChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serviceLocked(service)
	if !opened {
		s.failures++
		s.failed[endpoint] = true
		l.suspectLocked(s)
		return linkUnchanged
	}
	s.connected++
	clear(s.failed)
	s.suspected = false
	if !s.cutOff {
		return linkUnchanged
	}
	s.cutOff, s.confirmed, s.cutOffUntil = false, false, now
	return linkRestored
}

// recordProbesFailed records that all probes of a round failed. Another connection may have been opened meanwhile.
func (l *links) recordProbesFailed(service string, probes int, now time.Time) linkChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.serviceLocked(service)
	if s.cutOff || len(s.failed) < probes {
		return linkUnchanged
	}
	s.cutOff, s.cutOffSince = true, now
	s.interruptions++
	for _, f := range s.onLost {
		f()
	}
	return linkLost
}

// cutOffTime returns how long this box has been cut off from a service; zero if it is not.
func (l *links) cutOffTime(service string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.services[service]; s != nil && s.cutOff {
		return now.Sub(s.cutOffSince)
	}
	return 0
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

// isUnconfirmed reports whether this box is cut off from a service and it is not known whether another one reaches it.
func (l *links) isUnconfirmed(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[service]
	return s != nil && s.cutOff && !s.confirmed
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
		wait := interval(name)
		at := s.probedAt.Add(wait)
		if now.Before(at) {
			next = earlier(next, at)
			continue
		}
		s.suspected, s.probedAt = false, now
		if s.cutOff {
			next = earlier(next, now.Add(wait))
		}
		r := probeRound{service: name, failed: make(map[string]bool, len(s.failed))}
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
