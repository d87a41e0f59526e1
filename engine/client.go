// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// The headers that the protocol adds to those of the engines.
const (
	FenceHeader      = "Cairn-Fence"      // on orders: the fence of the order; on responses: the highest fence seen
	BootHeader       = "Cairn-Boot"       // on responses: changes when the endpoint restarts without adapters
	RequestIDHeader  = "X-Request-Id"     // identifies the execution, to cancel or resume it, and the response, if the endpoint returns it
	KeyHeader        = "Cairn-Key"        // idempotency key of a request that must not be executed twice
	ReasonHeader     = "Cairn-Reason"     // on error responses: the Code
	EventsHeader     = "Cairn-Events"     // on a resumed stream: the number of its first event
	LeavingHeader    = "Cairn-Leaving"    // on responses: 1 while the endpoint drains
	RateLimitHeader  = "Cairn-Limit"      // on responses to requests: requests per second that the endpoint accepts from all gateways together
	RejectionsHeader = "Cairn-Rejections" // on responses: rejections per second that the endpoint survives
	maxResponseBytes = 1 << 20            // of a response to any call except a completion
)

// Endpoint is the scheduler's interface to one model server. Every method
// returns a *RefusedError when the endpoint refused the call, and a
// *NoResponseError when there was no complete response.
type Endpoint interface {
	// ReadState reads the highest fence and the boot ID; it is the cheapest call.
	ReadState(ctx context.Context) (State, error)
	// Claim raises the highest fence to f.
	Claim(ctx context.Context, f Fence) (State, error)
	// Load loads the adapter at path into a slot, under the name that requests use.
	Load(ctx context.Context, lease Lease, name, path string) error
	// Unload frees the adapter's slot.
	Unload(ctx context.Context, lease Lease, name string) error
	// Models lists the loaded adapters.
	Models(ctx context.Context) ([]string, error)
	// Report reads the endpoint's load metrics, which are as old as the endpoint's
	// published reporting lag.
	Report(ctx context.Context) (Report, error)
}

// Lease is the right to give orders to an endpoint. An order that could not be
// written before the lease expires is not sent: its sender may not own the endpoint
// any more, and an endpoint that does not check fences would carry the order out.
type Lease struct {
	Fence     Fence
	ExpiresAt time.Time // zero: never
}

// State is what the headers of every response say about the endpoint.
type State struct {
	fence  Fence // the highest seen
	bootID string
}

// NewState returns the state with a highest fence and a boot ID.
func NewState(f Fence, boot string) State { return State{fence: f, bootID: boot} }

// Fence returns the highest fence that the endpoint has seen.
func (s State) Fence() Fence { return s.fence }

// BootID returns an identifier that changes when the endpoint restarts without adapters.
func (s State) BootID() string { return s.bootID }

// ParseState reads the headers of a response.
func ParseState(h http.Header) State {
	f, err := ParseFence(h.Get(FenceHeader))
	if err != nil {
		f = Fence{} // an invalid header counts as a missing one
	}
	return State{fence: f, bootID: h.Get(BootHeader)}
}

// Client is an Endpoint over HTTP. Set the exported fields before use; it is
// safe for concurrent use.
type Client struct {
	Address string // IP:port
	HTTP    *http.Client
}

// ReadState implements Endpoint.
func (c *Client) ReadState(ctx context.Context) (State, error) {
	resp, _, err := c.do(ctx, http.MethodGet, "/cairn/fence", Lease{}, nil)
	if err != nil {
		return State{}, err
	}
	return ParseState(resp.Header), nil
}

// Claim implements Endpoint.
func (c *Client) Claim(ctx context.Context, f Fence) (State, error) {
	resp, _, err := c.do(ctx, http.MethodPut, "/cairn/fence", Lease{Fence: f}, nil)
	if err != nil {
		return State{}, err
	}
	return ParseState(resp.Header), nil
}

type adapterRequest struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Load implements Endpoint.
func (c *Client) Load(ctx context.Context, lease Lease, name, path string) error {
	_, _, err := c.do(ctx, http.MethodPost, "/v1/load_lora_adapter", lease, adapterRequest{Name: name, Path: path})
	return err
}

// Unload implements Endpoint.
func (c *Client) Unload(ctx context.Context, lease Lease, name string) error {
	_, _, err := c.do(ctx, http.MethodPost, "/v1/unload_lora_adapter", lease, adapterRequest{Name: name})
	return err
}

type modelList struct {
	Data []struct {
		ID     string `json:"id"`
		Parent string `json:"parent"`
	} `json:"data"`
}

// Models implements Endpoint.
func (c *Client) Models(ctx context.Context) ([]string, error) {
	_, body, err := c.do(ctx, http.MethodGet, "/v1/models", Lease{}, nil)
	if err != nil {
		return nil, err
	}
	var l modelList
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, &NoResponseError{Sent: true, Cause: errors.Wrap(err, "parse the list of models")}
	}
	var names []string
	for _, m := range l.Data {
		if m.Parent != "" { // a base model has no parent
			names = append(names, m.ID)
		}
	}
	return names, nil
}

// Report implements Endpoint.
func (c *Client) Report(ctx context.Context) (Report, error) {
	resp, body, err := c.do(ctx, http.MethodGet, "/metrics", Lease{}, nil)
	if err != nil {
		return Report{}, err
	}
	r, err := parseReport(bytes.NewReader(body))
	if err != nil {
		return Report{}, &NoResponseError{Sent: true, Cause: err}
	}
	r.state = ParseState(resp.Header)
	return r, nil
}

// Cancel cancels the execution of a request if it is still running.
func (c *Client) Cancel(ctx context.Context, request string) error {
	_, _, err := c.do(ctx, http.MethodDelete, "/cairn/streams/"+url.PathEscape(request), Lease{}, nil)
	return err
}

func (c *Client) do(ctx context.Context, method, path string, lease Lease, body any) (*http.Response, []byte, error) {
	r, err := c.newRequest(ctx, method, path, lease.Fence, body)
	if err != nil {
		return nil, nil, &NoResponseError{Cause: err}
	}
	resp, err := Call(c.HTTP, r, lease.ExpiresAt)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, &NoResponseError{Sent: true, Cause: err}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, nil, resp.Refusal(content)
	}
	if !resp.IsIdentified() { // it may confirm another call
		return nil, nil, &NoResponseError{Sent: true, Cause: ErrForeignResponse}
	}
	return resp.Response, content, nil
}

// Response is the response to a request that was sent with Call.
type Response struct {
	*http.Response

	// identified says that the response is for the request: it has the request's ID, and no other. An endpoint that returns no IDs gets
	// one request on each connection, so a response without one is for the request if no other was sent on its connection.
	identified bool
}

// IsIdentified reports whether the response is known to be for the request. What another one says must not be believed of an
// engine; plain services may return IDs with some of their responses only.
func (r *Response) IsIdentified() bool { return r.identified }

// Refusal reads a response that is no success, as ParseRefusal does. It proves that the request was not executed only if it
// is for this request.
func (r *Response) Refusal(body []byte) *RefusedError {
	refused := ParseRefusal(r.Response, body)
	refused.proven = refused.proven && r.identified
	return refused
}

// Call sends a request as Send does, under the ID in its RequestIDHeader or a new one. A response with the ID of another
// request is a *NoResponseError.
func Call(client *http.Client, req *http.Request, sendBy time.Time) (*Response, error) {
	if req.Header.Get(RequestIDHeader) == "" {
		req.Header.Set(RequestIDHeader, uuid.NewString())
	}
	id := ResponseID{Header: RequestIDHeader, Value: req.Header.Get(RequestIDHeader)}
	resp, a, err := sendAttempt(client, req, sendBy, id)
	if err != nil {
		return nil, err
	}
	if !id.matches(resp.Header) {
		surplusResponses.Add(1)
		_ = resp.Body.Close() // nothing that it says is meant for this request
		return nil, &NoResponseError{Sent: true, Cause: ErrForeignResponse}
	}
	value := resp.Header.Get(RequestIDHeader) // the only one
	return &Response{Response: resp, identified: value == id.Value || (value == "" && a.isFirstOnConn())}, nil
}

func (c *Client) newRequest(ctx context.Context, method, path string, f Fence, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, reader)
	if err != nil {
		return nil, err
	}
	req.Header["User-Agent"] = nil // saves bytes on calls that are made all the time
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if s := f.String(); s != "" {
		req.Header.Set(FenceHeader, s)
	}
	return req, nil
}

type errorResponse struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

// ParseRefusal reads an endpoint's response of status 300 or above. A response
// without a known reason counts as a failure after which the request may have been
// executed. The response must be for the request; see Response.Refusal.
func ParseRefusal(resp *http.Response, body []byte) *RefusedError {
	var e errorResponse
	if json.Unmarshal(body, &e) != nil {
		e.Error.Message = resp.Status
	}
	code, proven := refusalCode(resp, e.Error.Type)
	return &RefusedError{
		Code:         code,
		Message:      e.Error.Message,
		HighestFence: ParseState(resp.Header).fence,
		RetryAfter:   parseRetryAfter(resp),
		proven:       proven,
	}
}

// refusalCode returns the code in the reason header, and whether it proves that the request was not executed. For engines
// that do not send the header it derives the code from the status and the error type. That proves nothing: engines give the same
// statuses when a request fails after it began.
func refusalCode(resp *http.Response, errorType string) (code Code, proven bool) {
	if code, proven, ok := statedReason(resp); ok {
		return code, proven
	}
	if len(resp.Header.Values(ReasonHeader)) > 0 {
		return CodeFailed, false
	}
	if resp.StatusCode == http.StatusNotFound && errorType == "NotFoundError" {
		return CodeNotLoaded, false
	}
	if resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusUnprocessableEntity {
		return CodeBadRequest, false
	}
	return CodeFailed, false
}

// maxRetryAfterSeconds limits an engine's Retry-After to one day; no caller waits longer.
const maxRetryAfterSeconds = 24 * 60 * 60

func parseRetryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(min(max(seconds, 0), maxRetryAfterSeconds)) * time.Second
}
