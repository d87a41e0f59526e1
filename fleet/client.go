// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Request is a completion request.
type Request struct {
	Address      string // of the gateway
	Model        string // model name as sent to the gateway
	Expect       string // adapter@version that the request must run on; "" allows any
	Tokens       int
	Conversation int // conversation number; prompts of a conversation share a prefix
	Stream       bool
	Header       map[string]string
}

// Response is the response to a Request.
type Response struct {
	Status       int
	Header       http.Header
	Text         string // completion text
	Complete     bool   // the response is a complete completion
	Code         string // error code
	Execution    string // for errors: whether the request was executed, for example "not_run"
	RetryAfter   time.Duration
	RequestID    string
	TimeToHeader time.Duration // time to the response header
	Duration     time.Duration
}

// LoadStall returns how long the request waited for its adapter to load, according to
// the response header.
func (r Response) LoadStall() time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("Cairn-Load-Stall"))
	if err != nil {
		return 0 // rejected requests have no such header
	}
	return time.Duration(ms) * time.Millisecond
}

type responseBody struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code    string `json:"code"`
		Ran     string `json:"ran"`
		Retry   int64  `json:"retry_after_ms"`
		Request string `json:"request_id"`
	} `json:"error"`
}

// Client sends completion requests. The zero value is ready to use.
type Client struct{ HTTP http.Client }

// Do sends a request and reads its response. It returns an error if there is no valid
// response, but not if an event stream ends early, which leaves Complete false.
func (c *Client) Do(ctx context.Context, request Request) (Response, error) {
	body := map[string]any{"model": request.Model, "max_tokens": max(request.Tokens, 1), "stream": request.Stream, "prompt": "hello"}
	if request.Expect != "" {
		body["prompt"] = fmt.Sprintf("expect:%s conversation %d", request.Expect, request.Conversation)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return Response{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+request.Address+"/v1/completions", strings.NewReader(string(raw)))
	if err != nil {
		return Response{}, err
	}
	for n, v := range request.Header {
		req.Header.Set(n, v)
	}
	started := time.Now()
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	result := Response{Status: resp.StatusCode, Header: resp.Header, RequestID: resp.Header.Get("X-Request-Id"), TimeToHeader: time.Since(started)}
	err = result.read(resp)
	result.Duration = time.Since(started)
	return result, err
}

func (r *Response) read(resp *http.Response) error {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return r.readEvents(bufio.NewReader(resp.Body))
	}
	var b responseBody
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		return errors.Wrap(err, "fleet: decode response")
	}
	r.add(b)
	r.Complete = b.Error == nil && len(b.Choices) > 0
	return nil
}

func (r *Response) readEvents(in *bufio.Reader) error {
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil // connection lost: Complete stays false
		}
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			return nil
		}
		var b responseBody
		if err := json.Unmarshal([]byte(data), &b); err != nil {
			return errors.Wrap(err, "fleet: decode event")
		}
		r.add(b)
	}
}

func (r *Response) add(b responseBody) {
	for _, c := range b.Choices {
		r.Text += c.Text
	}
	if b.Error != nil {
		r.Code, r.Execution, r.RetryAfter = b.Error.Code, b.Error.Ran, time.Duration(b.Error.Retry)*time.Millisecond
	}
}

// Validate validates the text of a complete response: every token must name the given
// adapter@version, this request and its position.
func (r *Response) Validate(model string, tokens int) error {
	words := strings.Fields(r.Text)
	if len(words) != tokens {
		return errors.Errorf("fleet: response has %d tokens, expected %d", len(words), tokens)
	}
	for i, w := range words {
		parts := strings.Split(w, "/")
		if len(parts) != 3 {
			return errors.Errorf("fleet: malformed token %q", w)
		}
		if parts[0] != model || !strings.HasPrefix(parts[1], r.RequestID+".") || parts[2] != fmt.Sprint(i) {
			return errors.Errorf("fleet: token %d is %q, expected request %s on %s", i, w, r.RequestID, model)
		}
	}
	return nil
}
