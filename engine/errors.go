// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"fmt"
	"time"
)

// Code is the reason for which an endpoint refused a call.
type Code string

// The reasons for a refusal. All except CodeFailed prove that nothing was executed.
const (
	CodeStaleFence Code = "stale_fence" // the order's fence is lower than the highest seen
	CodeNotLoaded  Code = "not_loaded"  // the adapter is not loaded
	CodeNoSlot     Code = "no_slot"     // all slots are in use
	CodeLoadFailed Code = "load_failed" // the adapter store did not deliver the adapter
	CodeStoreBusy  Code = "store_busy"  // the adapter store's rate limit is reached
	CodeLeaving    Code = "leaving"     // the endpoint drains and accepts no new work
	CodeBusy       Code = "busy"        // the endpoint's own queue is full
	CodeBadRequest Code = "bad_request" // the request is invalid at every endpoint
	CodeFailed     Code = "failed"      // internal failure; the request may have been executed
)

// RefusedError is an error response of an endpoint.
type RefusedError struct {
	Code         Code
	Message      string
	HighestFence Fence         // with CodeStaleFence: the fence that superseded the order's
	RetryAfter   time.Duration // zero if the endpoint named none
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine: endpoint refused the call: %s: %s", e.Code, e.Message)
}

// NotExecuted reports whether the refusal proves that the request was not executed.
func (e *RefusedError) NotExecuted() bool { return e.Code != CodeFailed }

// NoResponseError means that an endpoint sent no complete response.
type NoResponseError struct {
	Sent  bool // at least one byte of the request may have been sent
	Cause error
}

func (e *NoResponseError) Error() string {
	if e.Sent {
		return "engine: no complete response: " + e.Cause.Error()
	}
	return "engine: request not sent: " + e.Cause.Error()
}

// Unwrap lets errors.Is and errors.As inspect the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }
