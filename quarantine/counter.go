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

func (k *Counter) initLocked() {
	if k.suspects == nil {
		k.suspects = &generationMap{lifetime: suspectTTL, maxKeys: maxSuspects}
		k.attributed = &generationMap{lifetime: suspectTTL, maxKeys: maxAttributed}
	}
}

// RecordTermination records that an endpoint terminated while it ran these requests, as reported by
// one box. It returns the requests to quarantine as a result. isQuarantined reports whether a request
// is quarantined already: if one of those was running, the termination says nothing about the others.
func (k *Counter) RecordTermination(endpoint string, requests []Fingerprint, isQuarantined func(Fingerprint) bool, now time.Time) []Fingerprint {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.initLocked()
	if slices.ContainsFunc(requests, isQuarantined) {
		k.attributed.put(endpoint, nil, now)
	}
	var found []Fingerprint
	for _, c := range requests {
		if !isQuarantined(c) && k.addTerminationLocked(c, endpoint, now) >= MaxTerminations {
			found = append(found, c)
		}
	}
	for _, c := range found {
		k.attributeLocked(c, now)
	}
	return found
}

// addTerminationLocked adds an endpoint to those that terminated under a request, and returns the number
// of those that count.
func (k *Counter) addTerminationLocked(c Fingerprint, endpoint string, now time.Time) int {
	key := string(c[:])
	ends, _ := k.suspects.get(key, now)
	if !slices.Contains(ends, endpoint) {
		ends = append(slices.Clone(ends), endpoint)
		ends = ends[max(len(ends)-maxTerminationsKept, 0):]
		k.suspects.put(key, ends, now)
	}
	count := 0
	for _, e := range ends {
		if !k.isAttributedLocked(e, ends, now) {
			count++
		}
	}
	return count
}

// isAttributedLocked reports whether the termination of an endpoint is attributed to another request than
// the one with these terminations. It is not if this request ran on every endpoint that terminated under
// the other one: the other may have run beside it by chance and have been reported first.
func (k *Counter) isAttributedLocked(endpoint string, ends []string, now time.Time) bool {
	by, ok := k.attributed.get(endpoint, now)
	if !ok {
		return false
	}
	missing := func(e string) bool { return !slices.Contains(ends, e) }
	return len(by) == 0 || slices.ContainsFunc(by, missing)
}

// attributeLocked attributes the terminations of all endpoints that terminated under a request to it.
func (k *Counter) attributeLocked(c Fingerprint, now time.Time) {
	key := string(c[:])
	ends, _ := k.suspects.get(key, now)
	for _, e := range ends {
		k.attributed.put(e, ends, now)
	}
	k.suspects.remove(key)
}
