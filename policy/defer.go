// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// DeferralState describes a queued request whose adapter is ready, and the batch of its endpoint.
type DeferralState struct {
	MaxWait    time.Duration // of its class
	Waited     time.Duration // so far
	Running    int           // requests in the batch
	Limit      int           // capacity of the batch
	Deferrable int           // deferrable requests that are queued and ready at the endpoint, including this one
}

const (
	minDeferrableWait = time.Minute      // requests of classes with at least this maximum wait are deferrable
	deferralDivisor   = 20               // a request is deferred by at most this fraction of its maximum wait
	maxDeferral       = 30 * time.Second // upper bound of the deferral
)

// IsDeferrable reports whether requests with a maximum wait can be deferred to fill batches.
func IsDeferrable(maxWait time.Duration) bool { return maxWait >= minDeferrableWait }

// ShouldDefer reports whether a deferrable request should wait for a fuller batch: the running
// requests and the deferrable ones together would fill less of the batch than Fullness requires.
func (b BatchPolicy) ShouldDefer(s DeferralState) bool {
	if b.Fullness <= 0 || !IsDeferrable(s.MaxWait) {
		return false
	}
	longest := min(s.MaxWait/deferralDivisor, maxDeferral)
	if s.Waited >= time.Duration(b.Fullness*float64(longest)) {
		return false
	}
	return float64(s.Running+s.Deferrable) < b.Fullness*float64(s.Limit)
}
