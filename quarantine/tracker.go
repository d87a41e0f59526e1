// SPDX-License-Identifier: Apache-2.0

package quarantine

import "time"

// Tracker is what one process knows of requests under which endpoints end: those that it counts, and
// those that are kept away. It is safe for concurrent use; the zero value knows of none.
type Tracker struct {
	list    List
	counter Counter
}

// Kept returns the requests that are kept from endpoints.
func (t *Tracker) Kept() *List { return &t.list }

// Note takes in that an endpoint ended while it ran requests, as one process saw it, and returns
// those that have to be kept from endpoints from now on.
func (t *Tracker) Note(endpoint string, contents []Content, now time.Time) []Content {
	kept := func(c Content) bool {
		_, held := t.list.Left(c, now)
		return held
	}
	return t.counter.Note(endpoint, contents, kept, now)
}
