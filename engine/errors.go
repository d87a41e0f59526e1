// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"fmt"
	"time"
)

// Code names why an endpoint refused.
type Code string

// The refusals that endpoints give before anything ran.
const (
	CodeStaleFence Code = "stale_fence" // the order's fence is below the highest
	CodeNotLoaded  Code = "not_loaded"  // the adapter is in no slot
	CodeNoSlot     Code = "no_slot"     // every slot is taken
	CodeLoadFailed Code = "load_failed" // the store did not give the adapter
	CodeStoreBusy  Code = "store_busy"  // the store's rate is used up
	CodeLeaving    Code = "leaving"     // the endpoint takes no new work
	CodeBusy       Code = "busy"        // the endpoint's own queue is full
	CodeBadRequest Code = "bad_request" // the request cannot be run anywhere
	CodeFailed     Code = "failed"      // it failed inside; it may have run
)

// RefusedError is a refusal in the endpoint's own words.
type RefusedError struct {
	Code         Code
	Message      string
	HighestFence Fence         // with CodeStaleFence: the fence that won
	RetryAfter   time.Duration // when to come back; zero when not said
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine: refused as %s: %s", e.Code, e.Message)
}

// NotExecuted tells whether the refusal proves that the request did not run.
func (e *RefusedError) NotExecuted() bool { return e.Code != CodeFailed }

// NoResponseError says that an endpoint gave no whole answer.
type NoResponseError struct {
	Sent  bool // at least one byte may have left
	Cause error
}

func (e *NoResponseError) Error() string {
	if e.Sent {
		return "engine: answer lost: " + e.Cause.Error()
	}
	return "engine: not reached: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }
