// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cairnwick.example/clock"
)

// callerResponse is the response to the caller, and its state.
type callerResponse struct {
	writer       http.ResponseWriter
	isCallHeader func(header string) bool // whether the header is part of the call's metadata
	started      bool                     // the head was written
	firstByteAt  time.Time
	callerGone   bool // a write failed
	status       int
	buffer       *responseBuffer // nil: writes wait for the caller
}

// writeHead writes an endpoint's status and headers; a negative length means that it is unknown.
func (a *callerResponse) writeHead(resp *http.Response, length int) {
	h := a.writer.Header()
	connection := h.Get("Connection")
	for n, values := range endToEnd(resp.Header, a.isCallHeader) {
		h[n] = values
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	if h["Date"] == nil {
		h["Date"] = nil // keeps net/http from adding it
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // and from guessing it
	}
	a.started, a.firstByteAt, a.status = true, clock.Now(), resp.StatusCode
	a.writer.WriteHeader(resp.StatusCode)
	if a.buffer != nil {
		a.buffer.start()
	}
}

func (a *callerResponse) write(b []byte) {
	if a.buffer != nil {
		a.callerGone = a.buffer.append(b) != nil
		return
	}
	if _, err := a.writer.Write(b); err != nil {
		a.callerGone = true
	}
}

func (a *callerResponse) flush() {
	if a.buffer != nil {
		a.buffer.flush()
		return
	}
	if err := http.NewResponseController(a.writer).Flush(); err != nil {
		a.callerGone = true
	}
}

// holdPartial counts the memory of an incomplete event, which is not written yet.
func (a *callerResponse) holdPartial(bytes int) {
	if a.buffer != nil && a.buffer.setPartial(int64(bytes)) != nil {
		a.callerGone = true
	}
}

// finish waits until the caller has taken everything. It returns a refusal if the box has disconnected the caller.
// Nothing is written by another goroutine after it returns.
func (a *callerResponse) finish(caller context.Context) *Refusal {
	if a.buffer == nil {
		return nil
	}
	end := a.buffer.finish
	if caller.Err() != nil && context.Cause(caller) != ErrShutdown {
		end = a.buffer.abandon
	}
	switch err := end(); err {
	case nil, errWriteLost, errAbandoned:
		return nil
	default:
		code := CodeCallerGone
		if !a.started {
			code = CodeOverloaded
		}
		return &Refusal{Code: code, MayHaveRun: true, Detail: err.Error()}
	}
}

// abandon ends the response after a panic; without one it has ended already.
func (a *callerResponse) abandon() {
	if a.buffer != nil {
		_ = a.buffer.abandon() // the panic is reported
	}
}

// hopByHop are the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns the headers without the hop-by-hop ones: the standard ones, and those that Connection
// lists, unless they are part of the call's metadata.
func endToEnd(from http.Header, describes func(name string) bool) http.Header {
	h := from.Clone()
	for _, line := range from["Connection"] {
		for _, n := range strings.Split(line, ",") {
			if n = http.CanonicalHeaderKey(strings.TrimSpace(n)); !describes(n) {
				h.Del(n)
			}
		}
	}
	for _, n := range hopByHop {
		h.Del(n)
	}
	return h
}
