// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"net/http"
	"time"
)

// Code names the reason why a request got no response of an endpoint.
type Code string

// The codes of refusals.
const (
	CodeBadRequest        Code = "bad_request"
	CodeBodyTooLarge      Code = "body_too_large"
	CodeNoConfig          Code = "no_configuration"
	CodeNoRoute           Code = "no_route"
	CodeOverloaded        Code = "overloaded"
	CodeNoEndpoint        Code = "no_endpoint"
	CodeNotLoaded         Code = "adapter_not_loaded"
	CodeRefusedByEndpoint Code = "refused_by_endpoint"
	CodeNoAnswer          Code = "answer_lost"
	CodeInvalidResponse   Code = "answer_spoilt"
	CodeTruncated         Code = "answer_cut"
	CodeUnprovenRefusal   Code = "refusal_unproven" // an endpoint refused the request and did not prove that it was not executed
	CodeTimeout           Code = "timeout"
	CodeCallerGone        Code = "caller_gone"
	CodeBodyTimeout       Code = "body_too_late" // the body did not arrive before the request's deadline
	CodeShutdown          Code = "box_ends"      // the shutdown grace period is over
	CodeInternal          Code = "fault"         // a panic in this program
	CodeQuarantined       Code = "quarantined"   // endpoints ended while they ran such a request
	// CodeEndpointsBusy: prompts ahead or memory leave no room at the endpoints that could serve the request in time.
	CodeEndpointsBusy Code = "endpoints_busy"
	// CodeNoSlot: the endpoints' adapter slots are in use, or are kept for more urgent requests.
	CodeNoSlot Code = "adapter_slots_in_use"
	// CodeEndpointLimit: the endpoints that could serve the request have reached their limits.
	CodeEndpointLimit Code = "endpoint_limit"
	// CodeStreamUnknown: the caller resumes a stream of which no box knows what software began it.
	CodeStreamUnknown Code = "stream_not_known"
	// CodeStreamLost: the route has no endpoint with the software that began the stream.
	CodeStreamLost Code = "stream_software_gone"
	// CodeBackoff: the endpoints that could serve the request are in a back-off.
	CodeBackoff Code = "endpoint_backoff"

	CodeKeyUnknown    Code = "key_unknown"      // the caller sent no key of an organisation
	CodeKeysStale     Code = "keys_not_current" // this box's copy of the keys is too old
	CodeQuotaExceeded Code = "quota_used_up"
	CodeQuotaUnknown  Code = "quota_not_known" // no leader that counts the organisation's quota answers
)

// Refusal is the final response to a request that got none from an endpoint.
type Refusal struct {
	Code       Code
	MayHaveRun bool          // the request may have been executed
	Unsent     bool          // no byte of the request left this box
	RetryAfter time.Duration // for the caller; zero: minRetryAfter
	Final      bool          // no time is known at which the request would be served: RetryAfter is not sent
	NoRoom     bool          // the request isn't expected to be served before its deadline; RetryAfter is the time until then
	Detail     string
}

func (f *Refusal) Error() string {
	return fmt.Sprintf("forward: %s (may have run: %t): %s", f.Code, f.MayHaveRun, f.Detail)
}

// minRetryAfter is the shortest Retry-After that a refused caller gets.
const minRetryAfter = 50 * time.Millisecond

// status returns 503 only if the request has provably not been executed.
func (f *Refusal) status() int {
	switch f.Code {
	case CodeBadRequest:
		return http.StatusBadRequest
	case CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeNoRoute:
		return http.StatusNotFound
	case CodeKeyUnknown:
		if !f.MayHaveRun {
			return http.StatusUnauthorized
		}
	case CodeQuotaExceeded:
		if !f.MayHaveRun {
			return http.StatusTooManyRequests
		}
	case CodeBodyTimeout:
		return http.StatusRequestTimeout
	case CodeTimeout:
		return http.StatusGatewayTimeout
	}
	if f.MayHaveRun {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// refuse sends the refusal to the caller.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, f *Refusal) {
	g.recordFailure(q, f, false)
	status := f.status()
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if !f.Final && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		g.Protocol.SetRetryAfter(h, max(f.RetryAfter, minRetryAfter))
	}
	if f.Code == CodeKeysStale {
		h.Set("Connection", "close") // a box with a newer copy may answer
	}
	w.WriteHeader(status)
	text := string(f.Code)
	if f.NoRoom {
		text += ": no room before the request's deadline"
	}
	_, _ = fmt.Fprintln(w, text) // the caller may be gone
}
