// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"net/http"
	"time"
)

// Code names why a request got no answer of an endpoint.
type Code string

// The codes.
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
	CodeTimeout           Code = "timeout"
	CodeCallerGone        Code = "caller_gone"
	CodeBodyTimeout       Code = "body_too_late" // the body was not there by the request's deadline
	CodeShutdown          Code = "box_ends"      // the time that the box had to stop is over
	CodeInternal          Code = "fault"         // of this program
	CodeQuarantined       Code = "quarantined"   // endpoints ended while they ran such a request
	// CodeEndpointLimit: the endpoints that could serve it name limits, and take no more.
	CodeEndpointLimit Code = "endpoint_limit"
	// CodeBackoff: the endpoints that could serve it asked this box to send nothing for a while.
	CodeBackoff Code = "endpoint_backoff"

	CodeKeyUnknown    Code = "key_unknown"      // the caller shows no key that stands for an organisation
	CodeKeysStale     Code = "keys_not_current" // what this box knows of keys is too old to go by
	CodeQuotaExceeded Code = "quota_used_up"    // of the caller's organisation
	CodeQuotaUnknown  Code = "quota_not_known"  // nobody who counts the organisation's quota answers
)

// Refusal is the final answer to a request that got none of an endpoint.
type Refusal struct {
	Code       Code
	MayHaveRun bool          // it may have run
	Unsent     bool          // no byte of it left this box
	RetryAfter time.Duration // when to come back; zero: nothing better is known than soon
	Detail     string
}

func (f *Refusal) Error() string {
	return fmt.Sprintf("forward: %s (may have run: %t): %s", f.Code, f.MayHaveRun, f.Detail)
}

// minRetryAfter is the shortest time that a refused caller is told.
const minRetryAfter = 50 * time.Millisecond

// status is 503 only where the request has provably not run.
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

// refuse answers at once.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, f *Refusal) {
	g.recordFailure(q, f, false)
	status := f.status()
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		g.Protocol.SetRetryAfter(h, max(f.RetryAfter, minRetryAfter))
	}
	if f.Code == CodeKeysStale {
		h.Set("Connection", "close") // another box may know more
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s\n", f.Code) // the caller may be gone
}
