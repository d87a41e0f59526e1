// SPDX-License-Identifier: Apache-2.0

package quarantine

import "time"

// Tracker combines the counter of suspects and the list of quarantined requests of one process. It is
// safe for concurrent use; the zero value is empty.
type Tracker struct {
	list    List
	counter Counter
}

// List returns the quarantined requests.
func (t *Tracker) List() *List { return &t.list }

// RecordTermination records that an endpoint terminated while it ran requests, as reported by one
// process. It returns the requests that the caller must add to the list.
func (t *Tracker) RecordTermination(endpoint string, requests []Fingerprint, now time.Time) []Fingerprint {
	isQuarantined := func(f Fingerprint) bool {
		_, listed := t.list.Remaining(f, now)
		return listed
	}
	return t.counter.RecordTermination(endpoint, requests, isQuarantined, now)
}
