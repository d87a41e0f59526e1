// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// HoldFacts is what is known of a request whose adapter is ready.
type HoldFacts struct {
	MayWait time.Duration // of its class
	Waited  time.Duration // so far
	Running int           // requests in the batch
	Limit   int           // requests that the batch can take
	Patient int           // patient requests that wait at the endpoint and are ready, this one too
}

const (
	patientWait = time.Minute      // a class that may wait so long is patient
	holdPart    = 20               // of a class's longest wait, a request is held one part
	holdMost    = 30 * time.Second // and never longer
)

// Patient tells whether requests that may wait so long can be held back to fill
// batches.
func Patient(mayWait time.Duration) bool { return mayWait >= patientWait }

// Hold tells whether a patient request had better wait until it can run in a
// fuller batch: with those that run and those that wait like it, it would fill
// less than the weight of batch fullness asks.
func (w Weights) Hold(f HoldFacts) bool {
	if w.Batch <= 0 || !Patient(f.MayWait) {
		return false
	}
	longest := min(f.MayWait/holdPart, holdMost)
	if f.Waited >= time.Duration(w.Batch*float64(longest)) {
		return false
	}
	return float64(f.Running+f.Patient) < w.Batch*float64(f.Limit)
}
