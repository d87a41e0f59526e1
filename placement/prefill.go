// SPDX-License-Identifier: Apache-2.0

package placement

import "time"

// announcedHalfLife is the half-life of the prompt tokens that boxes were assigned at an
// endpoint and have not reported yet: boxes report within some 25 ms.
const announcedHalfLife = 25 * time.Millisecond

// prefillDelayLocked returns how long an endpoint takes to prefill the prompts that wait there,
// including those in transit and those that wait for loads there.
func (l *Loader) prefillDelayLocked(o *ownedEndpoint, now time.Time) time.Duration {
	if l.engineSpec(o.endpoint).IsMemoryBound() {
		return l.queueTimeLocked(o, now)
	}
	return l.PrefillTime(l.inFlight.prefillTokens(o.endpoint.ID()) + int(o.announcedTokens.Count(now, announcedHalfLife)) + o.waitingTokens)
}

// setWaitTargetLocked records at which endpoint a request waits for a load; nil: none.
func (l *Loader) setWaitTargetLocked(w *waiter, o *ownedEndpoint) {
	if w.target != nil {
		w.target.waitingTokens -= w.PromptTokens
	}
	if w.target = o; o != nil {
		o.waitingTokens += w.PromptTokens
	}
}
