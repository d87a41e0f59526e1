// SPDX-License-Identifier: Apache-2.0

package placement

import "time"

// promisedHalf is the half-life of the tokens of prompts that boxes were told where to
// send and of which they have not told yet: they do within some 25 ms.
const promisedHalf = 25 * time.Millisecond

// readsLocked is how long an endpoint takes to read the prompts that wait there, those on
// their way and those that wait for loads there too.
func (l *Loader) readsLocked(o *owned, now time.Time) time.Duration {
	return l.Reads(l.runs.reading(o.endpoint.ID()) + int(o.promised.Count(now, promisedHalf)) + o.pending)
}

// waitAtLocked notes where a request waits for a load; nil: nowhere.
func (l *Loader) waitAtLocked(w *waiter, o *owned) {
	if w.at != nil {
		w.at.pending -= w.PromptTokens
	}
	if w.at = o; o != nil {
		o.pending += w.PromptTokens
	}
}
