// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxTerminations is how many endpoints may end under one request before it is kept from the rest. One
	// says nothing: an endpoint runs some ten requests at a time, and ends under all of them. Two
	// happen to requests that only ran beside, where callers send them again while endpoints end for
	// another cause: by the model of the tests 81 such requests would be refused, with three 4.
	MaxTerminations = 3

	// suspectTTL is how long an end counts. Callers come back within seconds or by a schedule of
	// minutes; endpoints that end hours apart under one request do so by chance more often than by it.
	suspectTTL = time.Hour
	// maxSuspects bounds what is counted: requests that ran at endpoints that ended. Two full
	// generations with one end each take 2.4 MB of heap.
	maxSuspects = 8192
	// maxAttributed bounds the endpoints of which it is known under what they ended.
	maxAttributed = 1024
)

// maxTerminationsKept bounds the endpoints that are remembered for one request: some that others explain, and
// those that count.
const maxTerminationsKept = 2 * MaxTerminations

// Counter counts the endpoints that ended under each request, by the word of many boxes, and finds
// the requests to keep away. It is safe for concurrent use; the zero value has counted nothing.
type Counter struct {
	mu       sync.Mutex
	suspects *generationMap // by content: endpoints that ended under it, oldest first
	// attributed has, by endpoint, the ends for which a request was found that explains them; none
	// where that one was kept away already, and was still on its way.
	attributed *generationMap
}

func (k *Counter) initLocked() {
	if k.suspects == nil {
		k.suspects = &generationMap{lifetime: suspectTTL, maxKeys: maxSuspects}
		k.attributed = &generationMap{lifetime: suspectTTL, maxKeys: maxAttributed}
	}
}

// RecordTermination takes in that an endpoint ended while it ran the requests of these contents, as one box saw
// it. It returns those that have to be kept from endpoints from now on. kept tells which ones are
// already: what ended under one of them says nothing of the others that ran there.
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

// addTerminationLocked adds an endpoint to those that ended under a content, and returns how many count.
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

// isAttributedLocked tells whether the end of an endpoint is explained by another request than one
// under which those of ends ended. A request that was there each time explains it as well: the one
// that was found may have run beside it, and have been told first.
func (k *Counter) isAttributedLocked(endpoint string, ends []string, now time.Time) bool {
	by, ok := k.attributed.get(endpoint, now)
	if !ok {
		return false
	}
	missing := func(e string) bool { return !slices.Contains(ends, e) }
	return len(by) == 0 || slices.ContainsFunc(by, missing)
}

// attributeLocked notes that a content explains the ends of all endpoints that ended under it.
func (k *Counter) attributeLocked(c Fingerprint, now time.Time) {
	key := string(c[:])
	ends, _ := k.suspects.get(key, now)
	for _, e := range ends {
		k.attributed.put(e, ends, now)
	}
	k.suspects.remove(key)
}
