// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Code is the reason why a request failed. docs/ERRORS.md describes for each how callers should
// react.
type Code string

// The codes.
const (
	CodeBadRequest          Code = "bad_request"
	CodeBodyTooLarge        Code = "body_too_large"
	CodeUnknownAdapter      Code = "unknown_adapter"
	CodeUnknownVersion      Code = "unknown_version"
	CodeUnknownClass        Code = "unknown_class"
	CodeUnknownService      Code = "unknown_service"
	CodeDeadlinePast        Code = "deadline_past"
	CodeKeyMissing          Code = "key_missing"
	CodeKeyInvalid          Code = "key_invalid"
	CodeKeyInProgress       Code = "key_in_progress"
	CodeKeyRan              Code = "key_ran"
	CodeKeyUnknown          Code = "key_unknown"
	CodeKeyTooOld           Code = "key_too_old"
	CodeKeyHomeUnreachable  Code = "key_home_unreachable"
	CodeNoEndpoint          Code = "no_endpoint"
	CodeNoCapacity          Code = "no_place"
	CodeQueueFull           Code = "queue_full"
	CodeDeadlineUnreachable Code = "deadline_unreachable"
	CodeLoadFailed          Code = "load_failed"
	CodeLeaving             Code = "leaving"
	CodeNotReady            Code = "not_ready"
	CodeOverloaded          Code = "overloaded"
	CodeRefusedByEndpoint   Code = "refused_by_endpoint"
	CodeNoResponse          Code = "answer_lost"
	CodeTruncated           Code = "answer_cut"
	CodeQuarantined         Code = "quarantined"
)

// Ran says whether the request was executed.
type Ran string

// The values of Ran.
const (
	NotRun     Ran = "not_run"
	MayHaveRun Ran = "unknown"
	HasRun     Ran = "ran"
)

// Failure is the final response to a request that got none from an endpoint.
type Failure struct {
	Code       Code
	Ran        Ran
	Message    string
	RetryAfter time.Duration // Retry-After for the caller; zero: a retry does not help
}

func (f *Failure) Error() string {
	return fmt.Sprintf("gateway: %s (%s): %s", f.Code, f.Ran, f.Message)
}

// ran says whether the request was executed; nil: it was served.
func (f *Failure) ran() Ran {
	if f == nil {
		return HasRun
	}
	return f.Ran
}

// detail returns the failure in the form that decisions record.
func (f *Failure) detail() string { return string(f.Code) + " (" + string(f.Ran) + "): " + f.Message }

// status returns the HTTP status of a code.
func (c Code) status() int {
	switch c {
	case CodeBadRequest, CodeUnknownClass, CodeDeadlinePast, CodeKeyMissing, CodeKeyInvalid:
		return http.StatusBadRequest
	case CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeUnknownAdapter, CodeUnknownVersion, CodeUnknownService:
		return http.StatusNotFound
	case CodeKeyInProgress, CodeKeyRan, CodeKeyUnknown, CodeKeyTooOld:
		return http.StatusConflict
	case CodeQueueFull, CodeOverloaded:
		return http.StatusTooManyRequests
	case CodeNoResponse, CodeTruncated, CodeRefusedByEndpoint:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// failureBody is the JSON error format that engines use, with the gateway's fields added.
type failureBody struct {
	Error failureFields `json:"error"`
}

type failureFields struct {
	Message    string `json:"message"`
	Type       string `json:"type"`
	Code       Code   `json:"code"`
	Ran        Ran    `json:"ran"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
	Request    string `json:"request_id"`
}

func (f *Failure) body(request string) []byte {
	raw, err := json.Marshal(failureBody{Error: failureFields{
		Message:    f.Message,
		Type:       "cairnwick_error",
		Code:       f.Code,
		Ran:        f.Ran,
		RetryAfter: f.RetryAfter.Milliseconds(),
		Request:    request,
	}})
	if err != nil {
		return []byte(`{"error":{}}`) // strings and numbers always marshal
	}
	return raw
}

// write sends the failure as a complete response.
func (f *Failure) write(w http.ResponseWriter, request string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(RanHeader, string(f.Ran))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.WriteHeader(f.Code.status())
	_, _ = w.Write(f.body(request)) // fails only if the caller has disconnected
}

// writeEvent sends the failure as an event of a stream that has started.
func (f *Failure) writeEvent(w http.ResponseWriter, request string) {
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", f.body(request))
}

func noConfiguration() *Failure {
	return &Failure{Code: CodeNotReady, Ran: NotRun, Message: "no configuration received yet", RetryAfter: time.Second}
}

func badRequest(format string, values ...any) *Failure {
	return &Failure{Code: CodeBadRequest, Ran: NotRun, Message: fmt.Sprintf(format, values...)}
}
