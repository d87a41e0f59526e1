// SPDX-License-Identifier: Apache-2.0

package placement

import "time"

// promisedHalf is the half-life of the tokens of prompts that boxes were told where to
// send and of which they have not told yet: they do within some 25 ms.
const announcedHalfLife = 25 * time.Millisecond

// readsLocked is how long an endpoint takes to read the prompts that wait there, those on
// their way and those that wait for loads there too.
func (l *Loader) prefillDelayLocked(o *ownedEndpoint, now time.Time) time.Duration {
	return l.PrefillTime(l.inFlight.prefillTokens(o.endpoint.ID()) + int(o.announcedTokens.Count(now, announcedHalfLife)) + o.waitingTokens)
}

// waitAtLocked notes where a request waits for a load; nil: nowhere.
func (l *Loader) setWaitTargetLocked(w *waiter, o *ownedEndpoint) {
	if w.target != nil {
		w.target.waitingTokens -= w.Tokens
	}
	if w.target = o; o != nil {
		o.waitingTokens += w.Tokens
	}
}
