// SPDX-License-Identifier: Apache-2.0

package quarantine

import "time"

// Tracker is what one process knows of requests under which endpoints end: those that it counts, and
// those that are kept away. It is safe for concurrent use; the zero value knows of none.
type Tracker struct {
	list    List
	counter Counter
}

// List returns the requests that are kept from endpoints.
func (t *Tracker) List() *List { return &t.list }

// RecordTermination takes in that an endpoint ended while it ran requests, as one process saw it, and returns
// those that have to be kept from endpoints from now on.
func (t *Tracker) RecordTermination(endpoint string, requests []Fingerprint, now time.Time) []Fingerprint {
	isQuarantined := func(c Fingerprint) bool {
		_, listed := t.list.Remaining(c, now)
		return listed
	}
	return t.counter.RecordTermination(endpoint, requests, isQuarantined, now)
}
