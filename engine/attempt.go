// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"cairnwick.example/clock"
	"github.com/pkg/errors"
)

// ErrConnectionLost means that a connection ended after some of the request may have been written. It stands in the place of a
// second try of net/http.
var ErrConnectionLost = errors.New("engine: the connection ended after some of the request may have been written")

// errEnded means that Send had returned an error before the first write of its request.
var errEnded = errors.New("engine: the request has ended")

// attempt is what is known of the sending of one request. Connections keep it, so it does not hold the request or its context.
type attempt struct {
	method string
	sendBy time.Time // limit for the first write; zero: none
	id     ResponseID

	mu       sync.Mutex
	begun    bool         // some of the request may have been written
	writer   *guardedConn // the connection that it was written to; nil if that cannot be observed
	ended    bool         // Send has returned an error; nothing may be written any more
	observed bool         // the transport says when it has a connection for the request
	unusable error        // why a connection that cannot be observed was not used
	isFirst  bool         // no request was sent before on its connection
}

// attemptKey is the key of the attempt in the context of its request.
type attemptKey struct{}

// traced returns a context by which connections and the transport find the attempt.
func (a *attempt) traced(ctx context.Context) context.Context {
	trace := &httptrace.ClientTrace{GotConn: a.useConn}
	if !a.observed {
		trace.GetConn = a.observe
	}
	return httptrace.WithClientTrace(context.WithValue(ctx, attemptKey{}, a), trace)
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
		a.setFirst(c.startRequest(a))
		return
	}
	a.setFirst(!info.Reused)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observed = true
	if _, err := a.mayBegin(nil); err != nil {
		a.unusable = err
		_ = info.Conn.Close() // its writes fail then
		return
	}
	a.begun = true
}

// setFirst records whether no request was sent before on the connection. net/http calls one reused that was idle, though the
// request for which it was opened may have ended before.
func (a *attempt) setFirst(first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isFirst = first
}

// isFirstOnConn reports whether no request was sent before on the connection.
func (a *attempt) isFirstOnConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isFirst
}

// mayBegin reports whether a write to c is the first one for this attempt, or why nothing may be written. c is nil for a
// connection that cannot be observed.
func (a *attempt) mayBegin(c *guardedConn) (first bool, err error) {
	switch {
	case a.ended:
		return false, errEnded
	case a.begun && c != nil && a.writer == c:
		return false, nil
	case a.begun:
		return false, ErrConnectionLost
	case !a.sendBy.IsZero() && clock.Now().After(a.sendBy):
		return false, ErrExpired
	}
	return true, nil
}

// beginWrite records that c will be written to, and reports whether that is the first write. An error means that nothing may
// be written.
func (a *attempt) beginWrite(c *guardedConn) (first bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if first, err = a.mayBegin(c); first {
		a.begun, a.writer = true, c
	}
	return first, err
}

// undoWrite records that the first write passed no byte on.
func (a *attempt) undoWrite() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun, a.writer = false, nil
}

// mayBeSent reports whether some of the request may have been written.
func (a *attempt) mayBeSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.begun
}

// end ends the attempt with the error of the transport. It prevents later writes, so that a request that counts as not sent
// stays so.
func (a *attempt) end(cause error) *NoResponseError {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.unusable != nil {
		cause = a.unusable
	}
	return &NoResponseError{Sent: a.begun || !a.observed, Cause: cause}
}

// refuseSecondTry ends a request that net/http is about to send again by itself. As the Proxy of a transport it is called before
// each try, and its error ends the request.
func refuseSecondTry(r *http.Request) (*url.URL, error) {
	if a, ok := r.Context().Value(attemptKey{}).(*attempt); ok && a.mayBeSent() {
		return nil, ErrConnectionLost
	}
	return nil, nil
}

// callsTraces reports whether a transport is known to call the trace of a request whenever it has a connection for it.
func callsTraces(t http.RoundTripper) bool {
	if t == nil {
		t = http.DefaultTransport
	}
	_, ok := t.(*http.Transport)
	return ok
}
