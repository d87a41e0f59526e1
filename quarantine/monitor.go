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
	OnTermination func(endpoint string, suspects []Fingerprint)

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
	request  Fingerprint
}

// probeResult is the result of IsTerminated for an endpoint.
type probeResult struct {
	instance   instance
	terminated bool
}

// RecordResponse records that an endpoint answered a request completely; now is a time of package clock.
func (w *Monitor) RecordResponse(c Fingerprint, now time.Time) { w.answered.Add(c, now) }

// RecordInterruption records that the response of an endpoint to a request was interrupted.
func (w *Monitor) RecordInterruption(endpoint, address string, c Fingerprint) {
	select {
	case w.interruptions() <- interruption{instance: instance{endpoint: endpoint, address: address}, request: c}:
	default:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.counts.Dropped++
	}
}

// Counts returns the counts since the start.
func (w *Monitor) Counts() TerminationCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// interruptions returns the queue of interrupted requests that were not checked yet.
func (w *Monitor) interruptions() chan interruption {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue == nil {
		w.queue = make(chan interruption, maxPendingInterruptions)
	}
	return w.queue
}

// Run probes each endpoint that interrupted requests, until ctx ends. Requests that are interrupted
// during a probe share its result.
func (w *Monitor) Run(ctx context.Context) error {
	pending := make(map[instance][]Fingerprint)
	results := make(chan probeResult)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case c := <-w.interruptions():
			if pending[c.instance] == nil {
				go func() {
					results <- probeResult{instance: c.instance, terminated: w.IsTerminated(ctx, c.instance.address)}
				}()
			}
			pending[c.instance] = append(pending[c.instance], c.request)
		case r := <-results:
			w.handleProbe(r, pending[r.instance], clock.Now())
			delete(pending, r.instance)
		}
	}
	for range pending {
		<-results
	}
	return nil
}

// handleProbe applies the result of a probe to the requests that the endpoint interrupted.
func (w *Monitor) handleProbe(r probeResult, requests []Fingerprint, now time.Time) {
	w.addCounts(r.terminated, len(requests))
	if r.terminated {
		w.OnTermination(r.instance.endpoint, slices.DeleteFunc(requests, func(c Fingerprint) bool { return w.answered.Has(c, now) }))
	}
}

func (w *Monitor) addCounts(terminated bool, requests int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !terminated {
		w.counts.Alive += int64(requests)
		return
	}
	w.counts.Endpoints++
	w.counts.Requests += int64(requests)
}
