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

// Response is the response to an Ask.
type Response struct {
	Status       int
	Header       http.Header
	Text         string // completion text
	Complete     bool   // the response is a complete completion
	Code         string // error code
	Execution    string // whether the failed request was executed
	RetryAfter   time.Duration
	RequestID    string
	TimeToHeader time.Duration // time to the response header
	Duration     time.Duration
}

// LoadStall returns how long the request waited for its adapter to load, according to
// the response header.
func (p Response) LoadStall() time.Duration {
	ms, err := strconv.Atoi(p.Header.Get("Cairn-Load-Stall"))
	if err != nil {
		return 0 // rejected requests have no such header
	}
	return time.Duration(ms) * time.Millisecond
}

type replyBody struct {
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
// response, but not if an event stream ends early, which leaves Whole false.
func (c *Client) Do(ctx context.Context, a Request) (Response, error) {
	body := map[string]any{"model": a.Model, "max_tokens": max(a.Tokens, 1), "stream": a.Stream, "prompt": "hello"}
	if a.Expect != "" {
		body["prompt"] = fmt.Sprintf("expect:%s conversation %d", a.Expect, a.Conversation)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return Response{}, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+"/v1/completions", strings.NewReader(string(raw)))
	if err != nil {
		return Response{}, err
	}
	for n, v := range a.Header {
		r.Header.Set(n, v)
	}
	begun := time.Now()
	w, err := c.HTTP.Do(r)
	if err != nil {
		return Response{}, err
	}
	defer w.Body.Close()
	p := Response{Status: w.StatusCode, Header: w.Header, RequestID: w.Header.Get("X-Request-Id"), TimeToHeader: time.Since(begun)}
	err = p.read(w)
	p.Duration = time.Since(begun)
	return p, err
}

func (p *Response) read(w *http.Response) error {
	if strings.HasPrefix(w.Header.Get("Content-Type"), "text/event-stream") {
		return p.readEvents(bufio.NewReader(w.Body))
	}
	var b replyBody
	if err := json.NewDecoder(w.Body).Decode(&b); err != nil {
		return errors.Wrap(err, "fleet: decode response")
	}
	p.take(b)
	p.Complete = b.Error == nil && len(b.Choices) > 0
	return nil
}

func (p *Response) readEvents(in *bufio.Reader) error {
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil // connection lost: Whole stays false
		}
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			p.Complete = true
			return nil
		}
		var b replyBody
		if err := json.Unmarshal([]byte(data), &b); err != nil {
			return errors.Wrap(err, "fleet: decode event")
		}
		p.take(b)
	}
}

func (p *Response) take(b replyBody) {
	for _, c := range b.Choices {
		p.Text += c.Text
	}
	if b.Error != nil {
		p.Code, p.Execution, p.RetryAfter = b.Error.Code, b.Error.Ran, time.Duration(b.Error.Retry)*time.Millisecond
	}
}

// Validate validates the text of a complete response: every token must name the given
// adapter@version, this request and its position.
func (p *Response) Validate(model string, tokens int) error {
	words := strings.Fields(p.Text)
	if len(words) != tokens {
		return errors.Errorf("fleet: response has %d tokens, expected %d", len(words), tokens)
	}
	for i, w := range words {
		parts := strings.Split(w, "/")
		if len(parts) != 3 {
			return errors.Errorf("fleet: malformed token %q", w)
		}
		if parts[0] != model || !strings.HasPrefix(parts[1], p.RequestID+".") || parts[2] != fmt.Sprint(i) {
			return errors.Errorf("fleet: token %d is %q, expected request %s on %s", i, w, p.RequestID, model)
		}
	}
	return nil
}
