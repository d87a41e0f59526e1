// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"cairnwick.example/clock"
)

// callerResponse is what the caller has got so far.
type callerResponse struct {
	writer       http.ResponseWriter
	isCallHeader func(header string) bool // whether it says what the call is
	started      bool                     // something was written
	firstByteAt  time.Time                // of the first byte
	callerGone   bool                     // a write failed: the caller is gone
	status       int
}

// writeHead writes an endpoint's status and headers; length below zero: not known.
func (a *callerResponse) writeHead(r *http.Response, length int) {
	h := a.writer.Header()
	leaving := h.Get("Connection")
	for n, values := range endToEnd(r.Header, a.isCallHeader) {
		h[n] = values
	}
	if leaving != "" {
		h.Set("Connection", leaving)
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	if h["Date"] == nil {
		h["Date"] = nil // keeps net/http from adding one
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // and from guessing
	}
	a.started, a.firstByteAt, a.status = true, clock.Now(), r.StatusCode
	a.writer.WriteHeader(r.StatusCode)
}

func (a *callerResponse) write(b []byte) {
	if _, err := a.writer.Write(b); err != nil {
		a.callerGone = true
	}
}

func (a *callerResponse) flush() {
	if err := http.NewResponseController(a.writer).Flush(); err != nil {
		a.callerGone = true
	}
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns the headers without those that concern one connection only: the usual
// ones, and those that the sender lists, unless they describe the call.
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
