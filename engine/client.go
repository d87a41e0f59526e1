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

	"github.com/pkg/errors"
)

// The headers that the protocol adds.
const (
	FenceHeader    = "Cairn-Fence"   // on orders: the order's; on answers: the highest seen
	BootHeader     = "Cairn-Boot"    // on answers: changes when the endpoint restarts empty
	RequestHeader  = "X-Request-Id"  // names the run, for cancel and resume
	KeyHeader      = "Cairn-Key"     // of a request that is not repeatable
	ReasonHeader   = "Cairn-Reason"  // on refusals: the Code
	EventsHeader   = "Cairn-Events"  // on a resumed stream: the event it begins with
	LeavingHeader  = "Cairn-Leaving" // on answers: 1 while the endpoint leaves
	LimitHeader    = "Cairn-Limit"   // on answers to requests: how many a second the endpoint takes from all gateways together
	maxOrderAnswer = 1 << 20         // bytes read of an order's answer
)

// Endpoint is what the scheduler needs of one model server. Every method
// returns a *RefusedError for the endpoint's own refusal and a *LostError when
// there was no answer.
type Endpoint interface {
	// Look reads the highest fence and the boot; it is the cheapest call.
	Look(ctx context.Context) (Sight, error)
	// Claim raises the highest fence to f.
	Claim(ctx context.Context, f Fence) (Sight, error)
	// Load puts an adapter into a slot, under the name that requests will use.
	Load(ctx context.Context, a Authority, name, path string) error
	// Unload empties the adapter's slot.
	Unload(ctx context.Context, a Authority, name string) error
	// Models lists the adapters in the slots.
	Models(ctx context.Context) ([]string, error)
	// Report reads the endpoint's load, as old as its published lag.
	Report(ctx context.Context) (Report, error)
}

// Authority is what an order is given under. An order that could not be written by
// its end is not given: whoever gave it may not own the endpoint any more, and an
// endpoint that checks no fences would carry it out.
type Authority struct {
	Fence Fence
	Until time.Time // zero: for ever
}

// Sight is what every answer of an endpoint shows.
type Sight struct {
	fence Fence
	boot  string
}

// NewSight returns what an answer with this fence and boot shows.
func NewSight(f Fence, boot string) Sight { return Sight{fence: f, boot: boot} }

// Fence returns the highest fence that the endpoint has seen.
func (s Sight) Fence() Fence { return s.fence }

// Boot returns what changes when the endpoint restarts empty.
func (s Sight) Boot() string { return s.boot }

// SightOf reads the headers of an answer.
func SightOf(h http.Header) Sight {
	f, err := ParseFence(h.Get(FenceHeader))
	if err != nil {
		f = Fence{} // a header we cannot read shows nothing
	}
	return Sight{fence: f, boot: h.Get(BootHeader)}
}

// Client is an Endpoint over HTTP. Set the exported fields before use; it is
// safe for concurrent use.
type Client struct {
	Address string // IP:port
	HTTP    *http.Client
}

// Look implements Endpoint.
func (c *Client) Look(ctx context.Context) (Sight, error) {
	a, _, err := c.call(ctx, http.MethodGet, "/cairn/fence", Authority{}, nil)
	if err != nil {
		return Sight{}, err
	}
	return SightOf(a.Header), nil
}

// Claim implements Endpoint.
func (c *Client) Claim(ctx context.Context, f Fence) (Sight, error) {
	a, _, err := c.call(ctx, http.MethodPut, "/cairn/fence", Authority{Fence: f}, nil)
	if err != nil {
		return Sight{}, err
	}
	return SightOf(a.Header), nil
}

type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Load implements Endpoint.
func (c *Client) Load(ctx context.Context, a Authority, name, path string) error {
	_, _, err := c.call(ctx, http.MethodPost, "/v1/load_lora_adapter", a, adapterOrder{Name: name, Path: path})
	return err
}

// Unload implements Endpoint.
func (c *Client) Unload(ctx context.Context, a Authority, name string) error {
	_, _, err := c.call(ctx, http.MethodPost, "/v1/unload_lora_adapter", a, adapterOrder{Name: name})
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
	_, body, err := c.call(ctx, http.MethodGet, "/v1/models", Authority{}, nil)
	if err != nil {
		return nil, err
	}
	var l modelList
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, &LostError{Sent: true, Cause: errors.Wrap(err, "list of models")}
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
	a, body, err := c.call(ctx, http.MethodGet, "/metrics", Authority{}, nil)
	if err != nil {
		return Report{}, err
	}
	r, err := parseReport(bytes.NewReader(body))
	if err != nil {
		return Report{}, &LostError{Sent: true, Cause: err}
	}
	r.sight = SightOf(a.Header)
	return r, nil
}

// Cancel ends the run of a request, if it is still running.
func (c *Client) Cancel(ctx context.Context, request string) error {
	_, _, err := c.call(ctx, http.MethodDelete, "/cairn/streams/"+url.PathEscape(request), Authority{}, nil)
	return err
}

func (c *Client) call(ctx context.Context, method, path string, u Authority, body any) (*http.Response, []byte, error) {
	r, err := c.request(ctx, method, path, u.Fence, body)
	if err != nil {
		return nil, nil, &LostError{Cause: err}
	}
	a, err := Send(c.HTTP, r, u.Until)
	if err != nil {
		return nil, nil, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, maxOrderAnswer))
	if err != nil {
		return nil, nil, &LostError{Sent: true, Cause: err}
	}
	if a.StatusCode >= http.StatusBadRequest {
		return nil, nil, Refusal(a, text)
	}
	return a, text, nil
}

func (c *Client) request(ctx context.Context, method, path string, f Fence, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(raw)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, reader)
	if err != nil {
		return nil, err
	}
	r.Header["User-Agent"] = nil // saves bytes on every look
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if s := f.String(); s != "" {
		r.Header.Set(FenceHeader, s)
	}
	return r, nil
}

type errorAnswer struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

// Refusal reads an endpoint's answer of status 400 and above. An answer
// without a reason that we know counts as a failure that may have run.
func Refusal(a *http.Response, text []byte) *RefusedError {
	var e errorAnswer
	if json.Unmarshal(text, &e) != nil {
		e.Error.Message = a.Status
	}
	return &RefusedError{
		Code:    codeOf(a, e.Error.Type),
		Message: e.Error.Message,
		Highest: SightOf(a.Header).fence,
		Retry:   retryOf(a),
	}
}

// codeOf takes the reason header, or what today's engines say by status and
// type.
func codeOf(a *http.Response, kind string) Code {
	if c := a.Header.Get(ReasonHeader); c != "" {
		return Code(c)
	}
	if a.StatusCode == http.StatusNotFound && kind == "NotFoundError" {
		return CodeNotLoaded
	}
	if a.StatusCode == http.StatusBadRequest || a.StatusCode == http.StatusUnprocessableEntity {
		return CodeBadRequest
	}
	return CodeFailed
}

// mostRetry bounds the seconds after which an engine may ask to come back: nobody waits a day.
const mostRetry = 24 * 60 * 60

func retryOf(a *http.Response) time.Duration {
	n, err := strconv.Atoi(a.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(min(max(n, 0), mostRetry)) * time.Second
}
