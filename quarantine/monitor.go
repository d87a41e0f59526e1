// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"cairnwick.example/clock"
)

// maxPendingInterruptions is the number of interrupted requests that wait to be checked: as many as a
// box runs on several endpoints that terminate together. Further ones are dropped and counted.
const maxPendingInterruptions = 1024

// Monitor detects endpoints that terminated while they ran requests of this process. An interrupted
// response alone is no evidence: the connection may have failed, or the response may be invalid.
// Set the exported fields before Run and before the first call.
type Monitor struct {
	// IsTerminated reports whether nothing listens at an address any more.
	IsTerminated func(ctx context.Context, address string) bool
	// OnTermination is called for a terminated endpoint with the requests that it interrupted, except
	// those that an endpoint recently answered: many callers send the same requests.
	OnTermination func(endpoint string, suspects []Suspect)

	answered AnsweredRequests

	mu     sync.Mutex
	queue  chan interruption // created on first use
	counts TerminationCounts
}

// TerminationCounts counts the terminated endpoints that one process detected.
type TerminationCounts struct {
	Endpoints int64 `json:"endpoints"` // that terminated while they ran requests of this process
	Requests  int64 `json:"requests"`  // that were interrupted by those
	Alive     int64 `json:"alive"`     // responses that were interrupted although the endpoint is still running
	Dropped   int64 `json:"left_out"`  // interrupted requests that were not checked because too many were pending
}

// instance is one incarnation of an endpoint and its address.
type instance struct {
	endpoint string
	address  string
}

// interruption is a request whose response was interrupted.
type interruption struct {
	instance instance
	request  Suspect
}

// probeResult is the result of IsTerminated for an endpoint.
type probeResult struct {
	instance   instance
	terminated bool
}

// RecordResponse records that an endpoint answered a request completely; now is a time of package clock.
func (m *Monitor) RecordResponse(f Fingerprint, now time.Time) { m.answered.Add(f, now) }

// RecordInterruption records that the response of an endpoint to a request was interrupted.
func (m *Monitor) RecordInterruption(endpoint, address string, s Suspect) {
	select {
	case m.interruptions() <- interruption{instance: instance{endpoint: endpoint, address: address}, request: s}:
	default:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.counts.Dropped++
	}
}

// Counts returns the counts since the start.
func (m *Monitor) Counts() TerminationCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// interruptions returns the queue of interrupted requests that were not checked yet.
func (m *Monitor) interruptions() chan interruption {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.queue == nil {
		m.queue = make(chan interruption, maxPendingInterruptions)
	}
	return m.queue
}

// Run probes each endpoint that interrupted requests, until ctx ends. Requests that are interrupted
// during a probe share its result.
func (m *Monitor) Run(ctx context.Context) error {
	pending := make(map[instance][]Suspect)
	results := make(chan probeResult)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case i := <-m.interruptions():
			if pending[i.instance] == nil {
				go func() {
					results <- probeResult{instance: i.instance, terminated: m.IsTerminated(ctx, i.instance.address)}
				}()
			}
			pending[i.instance] = append(pending[i.instance], i.request)
		case r := <-results:
			m.handleProbe(r, pending[r.instance], clock.Now())
			delete(pending, r.instance)
		}
	}
	for range pending {
		<-results
	}
	return nil
}

// handleProbe applies the result of a probe to the requests that the endpoint interrupted.
func (m *Monitor) handleProbe(r probeResult, requests []Suspect, now time.Time) {
	m.addCounts(r.terminated, len(requests))
	if r.terminated {
		m.OnTermination(r.instance.endpoint, slices.DeleteFunc(requests, func(s Suspect) bool { return m.answered.Has(s.Content, now) }))
	}
}

func (m *Monitor) addCounts(terminated bool, requests int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !terminated {
		m.counts.Alive += int64(requests)
		return
	}
	m.counts.Endpoints++
	m.counts.Requests += int64(requests)
}
