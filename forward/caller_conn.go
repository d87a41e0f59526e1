// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
)

// ErrShutdown is the cause with which a server's base context ends the requests that are still
// held when the time to stop is over: they get their answers instead of a closed connection.
var ErrShutdown = errors.New("forward: the box ends")

const (
	// unadmittedTimeout bounds what a request that is refused before its deadline is known may
	// still hold: its body is read, and its answer written, or the caller is silent.
	unadmittedTimeout = 5 * time.Second
	// writeGrace is how long after its deadline the last of a request's answer may still
	// be written: a caller some ms away that takes longer reads no more.
	writeGrace = time.Second
)

// callerConn is the connection of one request's caller. It may fall silent without a reset, so
// reads and writes on it end by themselves. A writer that knows no deadlines is no
// connection: what it returns then is passed over.
type callerConn struct{ controller *http.ResponseController }

func newCallerConn(w http.ResponseWriter) callerConn {
	return callerConn{http.NewResponseController(w)}
}

// limitUnadmitted bounds a request of which nothing is known yet.
func (c callerConn) limitUnadmitted(now time.Time) {
	_ = c.controller.SetReadDeadline(now.Add(unadmittedTimeout))
	_ = c.controller.SetWriteDeadline(now.Add(unadmittedTimeout))
}

// limitBodyRead bounds the reading of the body, and leaves time for the answer where it is late.
func (c callerConn) limitBodyRead(deadline time.Time) {
	_ = c.controller.SetReadDeadline(deadline)
	_ = c.controller.SetWriteDeadline(deadline.Add(writeGrace))
}

// limitResponse bounds the answer. What is read from now on only tells that the caller leaves,
// and a deadline would look like that.
func (c callerConn) limitResponse(deadline time.Time) {
	_ = c.controller.SetReadDeadline(time.Time{})
	_ = c.controller.SetWriteDeadline(deadline.Add(writeGrace))
}

// recoverPanic gives a request its answer whose handler panicked; net/http would close the
// connection without one.
func (g *Gateway) recoverPanic(out *callerResponse, q *request) {
	fault := recover()
	if fault == nil {
		return
	}
	if fault == http.ErrAbortHandler || out.started {
		panic(fault) // an answer that ends early must not look whole
	}
	g.Log.Info("Handler panicked", "request", q.call.ID, "fault", fault, "stack", string(debug.Stack()))
	g.refuse(out.writer, q, &Refusal{Code: CodeInternal, MayHaveRun: q.attempts > 0, RetryAfter: unavailableRetryAfter})
}
