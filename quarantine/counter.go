// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxTerminations is the number of endpoint terminations after which a request is quarantined. One
	// says little, since an endpoint runs some ten requests at a time and terminates under all of them.
	// Two happen to unrelated requests when callers retry while endpoints terminate for another reason:
	// in the simulation of the tests, 81 unrelated requests were quarantined with a threshold of two,
	// and 4 with three.
	MaxTerminations = 3

	// suspectTTL is how long a termination counts. Callers retry within seconds, or on a schedule of
	// minutes. Terminations under one request that are hours apart are more often coincidence than
	// caused by it.
	suspectTTL = time.Hour
	// maxSuspects bounds the requests of a generation, which are those that ran on terminated endpoints.
	// Two full generations with one termination per request take 2.4 MB of heap.
	maxSuspects = 8192
	// maxAttributed bounds the terminated endpoints of a generation whose cause is known.
	maxAttributed = 1024
)

// maxTerminationsKept bounds the endpoints that are stored per request: some whose termination is
// attributed to other requests, and those that count.
const maxTerminationsKept = 2 * MaxTerminations

// Counter counts the endpoints that terminated under each request, from the reports of all boxes, and
// finds the requests to quarantine. It is safe for concurrent use; the zero value is empty.
type Counter struct {
	mu       sync.Mutex
	suspects *generationMap // by fingerprint: endpoints that terminated under it, oldest first
	// attributed has, by endpoint, the endpoints that terminated under the request that caused this
	// termination. The list is empty if that request was already quarantined, but still in flight.
	attributed *generationMap
}

func (c *Counter) initLocked() {
	if c.suspects == nil {
		c.suspects = &generationMap{lifetime: suspectTTL, maxKeys: maxSuspects}
		c.attributed = &generationMap{lifetime: suspectTTL, maxKeys: maxAttributed}
	}
}

// RecordTermination records that an endpoint terminated while it ran these requests, as reported by
// one box. It returns the requests to quarantine as a result. isQuarantined reports whether a request
// is quarantined already: if one of those was running, the termination says nothing about the others.
func (c *Counter) RecordTermination(endpoint string, requests []Fingerprint, isQuarantined func(Fingerprint) bool, now time.Time) []Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initLocked()
	// A cause that is known stays: the report may be a repeated one of a termination before the quarantine.
	if _, known := c.attributed.get(endpoint, now); !known && slices.ContainsFunc(requests, isQuarantined) {
		c.attributed.put(endpoint, nil, now)
	}
	var found []Fingerprint
	for _, f := range requests {
		if !isQuarantined(f) && c.addTerminationLocked(f, endpoint, now) >= MaxTerminations {
			found = append(found, f)
		}
	}
	for _, f := range found {
		c.attributeLocked(f, now)
	}
	return found
}

// addTerminationLocked adds an endpoint to those that terminated under a request, and returns the number
// of those that count.
func (c *Counter) addTerminationLocked(f Fingerprint, endpoint string, now time.Time) int {
	key := string(f[:])
	endpoints, _ := c.suspects.get(key, now)
	if !slices.Contains(endpoints, endpoint) {
		endpoints = append(slices.Clone(endpoints), endpoint)
		endpoints = endpoints[max(len(endpoints)-maxTerminationsKept, 0):]
		c.suspects.put(key, endpoints, now)
	}
	count := 0
	for _, e := range endpoints {
		if !c.isAttributedLocked(e, endpoints, now) {
			count++
		}
	}
	return count
}

// isAttributedLocked reports whether the termination of an endpoint is attributed to another request than
// the one with these terminations. It is not if this request ran on every endpoint that terminated under
// the other one: the other may have run beside it by chance and have been reported first.
func (c *Counter) isAttributedLocked(endpoint string, endpoints []string, now time.Time) bool {
	cause, ok := c.attributed.get(endpoint, now)
	if !ok {
		return false
	}
	missing := func(e string) bool { return !slices.Contains(endpoints, e) }
	return len(cause) == 0 || slices.ContainsFunc(cause, missing)
}

// attributeLocked attributes the terminations of all endpoints that terminated under a request to it.
func (c *Counter) attributeLocked(f Fingerprint, now time.Time) {
	key := string(f[:])
	endpoints, _ := c.suspects.get(key, now)
	for _, e := range endpoints {
		c.attributed.put(e, endpoints, now)
	}
	c.suspects.remove(key)
}
