// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
)

// endpointLoad is this box's load at an endpoint.
type endpointLoad struct {
	inFlight   int           // including reserved ones
	reserved   int           // requests that may be sent but have not been yet
	rejected   uint64        // since the start
	rejectedAt time.Time     // of the last one
	asking     chan struct{} // holds a token while the leader is asked, by one request at a time: it adds what it grants to the load in the question
	askers     int           // requests that ask or wait to ask
	aloneUntil time.Time     // until when the leader is not asked, since it did not answer
}

// isIdle reports whether there is nothing to remember.
func (l *endpointLoad) isIdle() bool { return l.inFlight == 0 && l.rejected == 0 && l.askers == 0 }

// RequestSent implements forward.Limits.
func (s *limits) RequestSent(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loadLocked(endpoint); l.reserved > 0 {
		l.reserved--
	} else {
		l.inFlight++
	}
	if k := s.known[endpoint]; k != nil {
		k.counts.Sent++
	}
}

// Release implements forward.Limits.
func (s *limits) Release(endpoint string) {
	s.mu.Lock()
	if l := s.loadLocked(endpoint); l.reserved > 0 {
		l.reserved--
	} else {
		l.inFlight++ // it was not reserved: there was no limit then
	}
	s.mu.Unlock()
	s.RequestEnded(endpoint)
}

// RequestEnded implements forward.Limits.
func (s *limits) RequestEnded(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loadLocked(endpoint)
	if l.inFlight--; l.isIdle() {
		delete(s.loads, endpoint)
	}
	k := s.known[endpoint]
	if k == nil || !k.latest.Limit.IsFragile() {
		return
	}
	k.unreported = true
	if !s.reportPending {
		s.reportPending = true
		time.AfterFunc(loadReportDelay, s.reportLoads)
	}
}

// RequestRejected implements forward.Limits.
func (s *limits) RequestRejected(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loadLocked(endpoint)
	l.rejected++
	l.rejectedAt = clock.Now()
	if k := s.known[endpoint]; k != nil && k.latest.Limit.IsFragile() {
		k.unreported = true
		s.wakeUp()
	}
}

func (s *limits) loadLocked(endpoint string) *endpointLoad {
	l := s.loads[endpoint]
	if l == nil {
		l = &endpointLoad{asking: make(chan struct{}, 1)}
		s.loads[endpoint] = l
	}
	return l
}

// reportLoads has changed loads reported to the leaders.
func (s *limits) reportLoads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportPending = false
	s.wakeUp()
}

// wakeUp signals that something has to be reported.
func (s *limits) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// loadReportLocked returns the message with an observed limit of an endpoint and this box's load there.
func (s *limits) loadReportLocked(endpoint string, w ratelimit.Observation, now time.Time) *wire.LimitWord {
	m := wire.NewLimitWord(endpoint, w, now)
	if l := s.loads[endpoint]; l != nil {
		m.InFlight, m.Rejected = int32(l.inFlight), l.rejected
	}
	return m
}

// startAsking waits until no other request of this box asks the leader of an endpoint; it reports whether that was in time.
func (s *limits) startAsking(ctx context.Context, endpoint string) bool {
	s.mu.Lock()
	l := s.loadLocked(endpoint)
	l.askers++
	s.mu.Unlock()
	select {
	case l.asking <- struct{}{}:
		return true
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		if l.askers--; l.isIdle() {
			delete(s.loads, endpoint)
		}
		return false
	}
}

// stopAsking ends a question, and reserves the request if it was granted.
func (s *limits) stopAsking(endpoint string, granted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loadLocked(endpoint)
	<-l.asking
	l.askers--
	if granted {
		l.inFlight++
		l.reserved++
	} else if l.isIdle() {
		delete(s.loads, endpoint)
	}
}

// rejectionPause is how long a box that asks no leader sends nothing to an endpoint that has rejected its request.
const rejectionPause = time.Second

// acquireAlone decides on a request to an endpoint whose leader has just not answered: all boxes together send no more
// than the endpoint runs at once, or one request each if it survives twice as many rejections. ok is false if the leader
// has to be asked.
func (s *limits) acquireAlone(e *topology.Endpoint, now time.Time) (result forward.AcquireResult, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, limit := s.loadLocked(e.ID()), s.latestLocked(e.ID()).Limit
	if !now.Before(l.aloneUntil) || limit.HasRate() {
		return result, false
	}
	share := 0
	if boxes := s.node.peers.budgetBoxes(now); boxes > 0 {
		share = e.Slots() / boxes
		if 2*boxes <= limit.Rejections() {
			share = max(share, 1)
		}
	}
	if l.inFlight < share && now.Sub(l.rejectedAt) >= rejectionPause {
		return forward.AcquireResult{OK: true}, true
	}
	return forward.AcquireResult{Wait: l.aloneUntil.Sub(now)}, true
}
