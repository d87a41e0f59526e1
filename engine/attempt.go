// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"cairnwick.example/clock"
	"github.com/pkg/errors"
)

// errEnded means that Send had returned an error before the first write of its request.
var errEnded = errors.New("engine: the request has ended")

// attempt is what is known of the sending of one request. Connections keep it, so it does not hold the request or its context.
type attempt struct {
	method string
	sendBy time.Time // limit for the first write; zero: none
	id     ResponseID

	mu       sync.Mutex
	begun    bool  // some of the request may have been written
	ended    bool  // Send has returned an error; nothing may be written any more
	observed bool  // the transport says when it has a connection for the request
	refused  error // why a connection that cannot be observed was not used
}

// traced returns a context by which connections find the attempt.
func (a *attempt) traced(ctx context.Context) context.Context {
	trace := &httptrace.ClientTrace{GotConn: a.useConn}
	if !a.observed {
		trace.GetConn = a.observe
	}
	return httptrace.WithClientTrace(ctx, trace)
}

// observe records that the transport calls the trace.
func (a *attempt) observe(string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observed = true
}

// useConn prepares a connection that the transport has chosen. The writes of one that was not made by NewTransport cannot be
// observed: the request counts as sent from here on, and if it must not be sent the connection is closed.
func (a *attempt) useConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*guardedConn); ok {
		c.startRequest(a)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observed = true
	if _, err := a.mayBegin(); err != nil {
		a.refused = err
		_ = info.Conn.Close() // its writes fail then
		return
	}
	a.begun = true
}

// mayBegin reports whether nothing has been written for this attempt, or why nothing may be written.
func (a *attempt) mayBegin() (first bool, err error) {
	switch {
	case a.ended:
		return false, errEnded
	case a.begun:
		return false, nil
	case !a.sendBy.IsZero() && clock.Now().After(a.sendBy):
		return false, ErrExpired
	}
	return true, nil
}

// beginWrite records that a connection will be written to, and reports whether that is the first write. An error means that nothing may be
// written.
func (a *attempt) beginWrite() (first bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if first, err = a.mayBegin(); first {
		a.begun = true
	}
	return first, err
}

// undoWrite records that the first write passed no byte on.
func (a *attempt) undoWrite() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun = false
}

// mayBeSent reports whether some of the request may have been written.
func (a *attempt) mayBeSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.begun
}

// end ends the attempt with the error of the transport. It prevents later writes, so that a request that counts as not sent stays so.
func (a *attempt) end(cause error) *NoResponseError {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.refused != nil {
		cause = a.refused
	}
	return &NoResponseError{Sent: a.begun || !a.observed, Cause: cause}
}

// callsTraces reports whether a transport is known to call the trace of a request whenever it has a connection for it.
func callsTraces(t http.RoundTripper) bool {
	if t == nil {
		t = http.DefaultTransport
	}
	_, ok := t.(*http.Transport)
	return ok
}
