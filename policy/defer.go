// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// DeferralState is what is known of a request whose adapter is ready.
type DeferralState struct {
	MaxWait    time.Duration // of its class
	Waited     time.Duration // so far
	Running    int           // requests in the batch
	Limit      int           // requests that the batch can take
	Deferrable int           // patient requests that wait at the endpoint and are ready, this one too
}

const (
	minDeferrableWait = time.Minute      // a class that may wait so long is patient
	deferralDivisor   = 20               // of a class's longest wait, a request is held one part
	maxDeferral       = 30 * time.Second // and never longer
)

// IsDeferrable tells whether requests that may wait so long can be held back to fill
// batches.
func IsDeferrable(maxWait time.Duration) bool { return maxWait >= minDeferrableWait }

// ShouldDefer tells whether a patient request had better wait until it can run in a
// fuller batch: with those that run and those that wait like it, it would fill
// less than the weight of batch fullness asks.
func (w BatchPolicy) ShouldDefer(f DeferralState) bool {
	if w.Fullness <= 0 || !IsDeferrable(f.MaxWait) {
		return false
	}
	longest := min(f.MaxWait/deferralDivisor, maxDeferral)
	if f.Waited >= time.Duration(w.Fullness*float64(longest)) {
		return false
	}
	return float64(f.Running+f.Deferrable) < w.Fullness*float64(f.Limit)
}
