// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"cairnwick.example/clock"
)

// maxPendingInterruptions is how many requests that were cut off wait to be looked into: as many as a box holds
// where several endpoints end together. More are left out, and counted.
const maxPendingInterruptions = 1024

// Monitor finds out which endpoints ended while they ran requests of this process. An answer that
// breaks off says nothing of that: a link may be cut, one answer may be spoilt. Set the exported
// fields before Run and before the first call.
type Monitor struct {
	// IsTerminated tells whether nothing listens at an address any more.
	IsTerminated func(ctx context.Context, address string) bool
	// OnTermination hears that an endpoint ended, and which requests it cut off then, without those that an
	// endpoint answered lately: much that callers ask for is asked for by many of them.
	OnTermination func(endpoint string, suspects []Fingerprint)

	answered AnsweredRequests

	mu     sync.Mutex
	queue  chan interruption // made at its first use
	counts TerminationCounts
}

// TerminationCounts counts what one process saw of endpoints that ended.
type TerminationCounts struct {
	Endpoints int64 `json:"endpoints"` // that ended while they ran requests of this process
	Requests  int64 `json:"requests"`  // that were cut off then
	Alive     int64 `json:"alive"`     // answers that broke off while their endpoint lived on
	Dropped   int64 `json:"left_out"`  // requests that were not looked into, since too many waited
}

// instance is one life of an endpoint, and where it is.
type instance struct {
	endpoint string
	address  string
}

// interruption is a request whose answer broke off.
type interruption struct {
	instance instance
	request  Fingerprint
}

// probeResult is what a probeResult at an endpoint showed.
type probeResult struct {
	instance   instance
	terminated bool
}

// RecordResponse notes that an endpoint answered a request whole; now is a time of package clock.
func (w *Monitor) RecordResponse(c Fingerprint, now time.Time) { w.answered.Add(c, now) }

// RecordInterruption notes that an endpoint broke off the answer to a request.
func (w *Monitor) RecordInterruption(endpoint, address string, c Fingerprint) {
	select {
	case w.interruptions() <- interruption{instance: instance{endpoint: endpoint, address: address}, request: c}:
	default:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.counts.Dropped++
	}
}

// Counts returns what was seen so far.
func (w *Monitor) Counts() TerminationCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// interruptions returns the requests that were cut off and wait to be looked into.
func (w *Monitor) interruptions() chan interruption {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue == nil {
		w.queue = make(chan interruption, maxPendingInterruptions)
	}
	return w.queue
}

// Run looks at each endpoint that cut off requests, until ctx ends. What an endpoint cuts off
// during a look counts by it too.
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

// handleProbe notes what a look at an endpoint showed for the requests that it cut off.
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
