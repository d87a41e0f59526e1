// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Code is the reason for which an endpoint refused a call.
type Code string

// The reasons for a refusal. All except CodeFailed prove that nothing was executed, if the endpoint states them and the status
// fits.
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

// reasonStatuses are the statuses that fit each reason. A reason with another status contradicts it, and proves nothing.
var reasonStatuses = map[Code][]int{
	CodeStaleFence: {http.StatusConflict},
	CodeNotLoaded:  {http.StatusNotFound},
	CodeNoSlot:     {http.StatusConflict},
	CodeLoadFailed: {http.StatusServiceUnavailable},
	CodeStoreBusy:  {http.StatusTooManyRequests, http.StatusServiceUnavailable},
	CodeLeaving:    {http.StatusServiceUnavailable},
	CodeBusy:       {http.StatusTooManyRequests, http.StatusServiceUnavailable},
	CodeBadRequest: {http.StatusBadRequest, http.StatusConflict, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity},
}

// statedReason returns the documented reason in a response's header, spelt as documented; false if there is none, or more than
// one. proven reports whether it fits the status.
func statedReason(resp *http.Response) (code Code, proven, ok bool) {
	values := resp.Header.Values(ReasonHeader)
	if len(values) != 1 {
		return "", false, false
	}
	code = Code(values[0])
	statuses, ok := reasonStatuses[code]
	return code, slices.Contains(statuses, resp.StatusCode), ok
}

// RefusedError is an error response of an endpoint.
type RefusedError struct {
	Code         Code
	Message      string
	HighestFence Fence         // with CodeStaleFence: the fence that superseded the order's
	RetryAfter   time.Duration // zero if the endpoint named none

	proven bool // the response proves that the request was not executed
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine: endpoint refused the call: %s: %s", e.Code, e.Message)
}

// NotExecuted reports whether the refusal proves that the request was not executed. Only a documented reason does, with a status
// that fits it.
func (e *RefusedError) NotExecuted() bool { return e.proven }

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
