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
	// refusedTime bounds what a request that is refused before its deadline is known may
	// still hold: its body is read, and its answer written, or the caller is silent.
	refusedTime = 5 * time.Second
	// answerSlack is how long after its deadline the last of a request's answer may still
	// be written: a caller some ms away that takes longer reads no more.
	answerSlack = time.Second
)

// caller is the connection of one request's caller. It may fall silent without a reset, so
// reads and writes on it end by themselves. A writer that knows no deadlines is no
// connection: what it returns then is passed over.
type caller struct{ connection *http.ResponseController }

func newCaller(w http.ResponseWriter) caller { return caller{http.NewResponseController(w)} }

// begin bounds a request of which nothing is known yet.
func (c caller) begin(now time.Time) {
	_ = c.connection.SetReadDeadline(now.Add(refusedTime))
	_ = c.connection.SetWriteDeadline(now.Add(refusedTime))
}

// bodyBy bounds the reading of the body, and leaves time for the answer where it is late.
func (c caller) bodyBy(deadline time.Time) {
	_ = c.connection.SetReadDeadline(deadline)
	_ = c.connection.SetWriteDeadline(deadline.Add(answerSlack))
}

// admitted bounds the answer. What is read from now on only tells that the caller leaves,
// and a deadline would look like that.
func (c caller) admitted(deadline time.Time) {
	_ = c.connection.SetReadDeadline(time.Time{})
	_ = c.connection.SetWriteDeadline(deadline.Add(answerSlack))
}

// recovered gives a request its answer whose handler panicked; net/http would close the
// connection without one.
func (g *Gateway) recovered(out *answer, q *request) {
	fault := recover()
	if fault == nil {
		return
	}
	if fault == http.ErrAbortHandler || out.begun {
		panic(fault) // an answer that ends early must not look whole
	}
	g.Log.Info("Handler panicked", "request", q.call.ID, "fault", fault, "stack", string(debug.Stack()))
	g.refuse(out.writer, q, &Refusal{Code: CodeInternal, MayHaveRun: q.attempts > 0, RetryAfter: noneRetry})
}
