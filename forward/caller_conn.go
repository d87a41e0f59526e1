// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
)

// ErrShutdown is the cause with which a server's base context ends the requests still in flight at the end
// of the shutdown grace period: they get a response instead of a closed connection.
var ErrShutdown = errors.New("forward: box is shutting down")

const (
	// unadmittedTimeout limits reading the body of, and responding to, a request that is refused before its
	// deadline is known.
	unadmittedTimeout = 5 * time.Second
	// writeGrace is how long after the deadline a response may still be written. Callers are some ms away,
	// so one that takes longer no longer reads.
	writeGrace = time.Second
)

// callerConn sets the deadlines of a caller's connection, which may go silent without a reset. Errors of
// writers that don't support deadlines are ignored: they are no network
// connections.
type callerConn struct{ controller *http.ResponseController }

func newCallerConn(w http.ResponseWriter) callerConn {
	return callerConn{http.NewResponseController(w)}
}

// limitUnadmitted sets the deadlines until the request is admitted.
func (c callerConn) limitUnadmitted(now time.Time) {
	_ = c.controller.SetReadDeadline(now.Add(unadmittedTimeout))
	_ = c.controller.SetWriteDeadline(now.Add(unadmittedTimeout))
}

// limitBodyRead sets the deadline for the body, and leaves time for the response if the body is late.
func (c callerConn) limitBodyRead(deadline time.Time) {
	_ = c.controller.SetReadDeadline(deadline)
	c.limitWrite(deadline)
}

// limitResponse sets the deadline for the response and removes that for reads. From here on reads only
// detect that the caller left, and an expired deadline would look the same.
func (c callerConn) limitResponse(deadline time.Time) {
	_ = c.controller.SetReadDeadline(time.Time{})
	c.limitWrite(deadline)
}

// limitWrite sets the deadline for writes. A request that was read after its deadline still gets a response.
func (c callerConn) limitWrite(deadline time.Time) {
	if now := time.Now(); deadline.Before(now) {
		deadline = now
	}
	_ = c.controller.SetWriteDeadline(deadline.Add(writeGrace))
}

// recoverPanic responds to a request whose handler panicked; net/http would only close the
// connection.
func (g *Gateway) recoverPanic(out *callerResponse, q *request) {
	value := recover()
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler || out.started {
		panic(value) // a truncated response must not look complete
	}
	g.Log.Info("Handler panicked", "request", q.call.ID, "fault", value, "stack", string(debug.Stack()))
	g.refuse(out.writer, q, &Refusal{Code: CodeInternal, MayHaveRun: q.attempts > 0, RetryAfter: unavailableRetryAfter})
}
