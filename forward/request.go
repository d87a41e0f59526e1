// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/clock"
	"cairnwick.example/quarantine"
	"cairnwick.example/topology"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// request is one try of a caller, held until its final answer.
type request struct {
	inbound       *http.Request
	connection    callerConn
	call          Call
	received      time.Time
	deadline      time.Time // of the caller or of the route, whichever is first
	route         *topology.Route
	config        *topology.Config
	service       *topology.Service
	organisation  *access.Organisation // nil: the route asks for no key
	charged       float64              // of the organisation's quota, for a run that has not begun
	body          []byte
	content       quarantine.Content     // zero: the body has not been read
	attempts      int                    // requests sent to endpoints
	unsent        int                    // of these, those that reached nobody
	executions    int                    // of these, those that may have run
	tried         map[string]bool        // endpoints that failed it
	excluded      map[string]bool        // of these, those that turned it away or were not there: nobody is to bring it there again
	limitDenials  map[string]limitDenial // endpoints that name a limit and had no room for it
	mayHaveRun    bool                   // an attempt may have run
	noOwnerLogged bool                   // a line tells that nobody answered for an endpoint that should load its adapter
	retryReserved bool                   // the next attempt has been taken from the budget of retries already
	retryWithheld bool                   // the budget kept it from another attempt
	notLoadedAt   string                 // the endpoint that said it does not hold the adapter
	sentAt        time.Time              // of the last attempt
	sentTo        *topology.Endpoint
	version       int64         // of the adapter at the last attempt; zero: any
	queueTime     time.Duration // of waited, until the load began
	placementTime time.Duration // until its adapter was ready somewhere, or was found not to be
	// predictedFirstToken is how long the endpoint of the last attempt was expected to take to its
	// first token.
	predictedFirstToken time.Duration
	maxEventGap         time.Duration // the longest between two events of its stream
	firstTokenAt        time.Time     // when the endpoint of the last attempt began to answer; zero: it has not
}

func (q *request) remaining(now time.Time) time.Duration { return q.deadline.Sub(now) }

// hasAttempts tells whether the request may be sent once more.
func (q *request) hasAttempts() bool {
	return q.attempts-q.unsent < maxAttempts && q.unsent < maxUnsent
}

// retryMargin is how much less time than the route gives a caller must have left to
// have come back: more than clocks and the way here explain.
const retryMargin = 40 * time.Millisecond

// isRetry tells whether the caller spent some of its time before this try.
func (q *request) isRetry() bool {
	return q.call.Deadline > 0 && q.call.Deadline+retryMargin < q.route.Timeout()
}

// usefulTime is how much longer the first part of an answer is of use to the caller: it leaves
// when it has heard nothing for some time, long before its deadline.
func (q *request) usefulTime(now time.Time) time.Duration {
	left := q.remaining(now)
	if p := q.route.Patience(); p > 0 {
		left = min(left, q.received.Add(p).Sub(now))
	}
	return left
}

// admit finds a request's route and reads its body; malformed is what is wrong with its head.
func (g *Gateway) admit(w http.ResponseWriter, q *request, malformed error) *Refusal {
	q.config = g.View.Config()
	if q.config == nil {
		return &Refusal{Code: CodeNoConfig, RetryAfter: time.Second}
	}
	if malformed != nil {
		return &Refusal{Code: CodeBadRequest, Detail: malformed.Error()}
	}
	q.route = q.config.Route(hostOf(q.inbound), pathOf(q.inbound))
	if q.route == nil {
		return &Refusal{Code: CodeNoRoute, Detail: q.inbound.Host + q.inbound.RequestURI}
	}
	if f := g.authenticate(q, clock.Now()); f != nil {
		return f
	}
	q.deadline = q.received.Add(q.route.Timeout())
	if d := q.call.Deadline; d > 0 && d < q.route.Timeout() {
		q.deadline = q.received.Add(d)
	}
	q.service = q.config.Service(q.route.Split(hashFraction(q.call.ID)))
	if q.service == nil {
		return &Refusal{Code: CodeNoEndpoint, RetryAfter: time.Second, Detail: "the route's service is not configured"}
	}
	if f := g.readBody(w, q); f != nil {
		return f
	}
	return g.checkQuarantine(q, clock.Now())
}

// maySend tells whether a request may be given to an endpoint now: a configuration, or the word of
// another box, may have come while it waited. Its context does not end while the machine is suspended,
// so its time is looked at too.
func (g *Gateway) maySend(q *request, now time.Time) *Refusal {
	if q.remaining(now) <= 0 {
		return &Refusal{Code: CodeTimeout, Detail: "its time was over before it could be sent"}
	}
	if f := g.checkQuarantine(q, now); f != nil {
		return f
	}
	return g.authenticate(q, now)
}

// checkQuarantine refuses a request under which endpoints ended. The next endpoint would end too, with
// the requests of others that it runs.
func (g *Gateway) checkQuarantine(q *request, now time.Time) *Refusal {
	left, kept := g.Quarantine.Remaining(q.content, now)
	if !kept {
		return nil
	}
	return &Refusal{Code: CodeQuarantined, RetryAfter: left, Detail: "endpoints ended while they ran such a request"}
}

// readBody takes the body whole, so that it can be sent again.
func (g *Gateway) readBody(w http.ResponseWriter, q *request) *Refusal {
	q.connection.limitBodyRead(clock.Timer(q.deadline))
	limit := q.config.Limits().BodyBytes
	var buffer bytes.Buffer
	if n := q.inbound.ContentLength; n > 0 && n <= limit {
		buffer.Grow(int(n))
	}
	_, err := buffer.ReadFrom(http.MaxBytesReader(w, q.inbound.Body, limit))
	if err == nil {
		q.body = buffer.Bytes()
		q.content = quarantine.ContentOf(q.inbound.Method, hostOf(q.inbound), q.inbound.RequestURI, q.organisationName(), q.body)
		return nil
	}
	if isBodyTooLarge(err) {
		return &Refusal{Code: CodeBodyTooLarge}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &Refusal{Code: CodeBodyTimeout, Detail: err.Error()}
	}
	return &Refusal{Code: CodeCallerGone, Detail: err.Error()}
}

func isBodyTooLarge(err error) bool {
	_, ok := err.(*http.MaxBytesError)
	return ok
}

// hostOf returns the host that the caller named, without a port.
func hostOf(r *http.Request) string {
	if h, _, err := net.SplitHostPort(r.Host); err == nil {
		return h
	}
	return r.Host
}

// pathOf returns the path as the caller wrote it.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// hashFraction turns an ID into a number in [0, 1).
func hashFraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// singleUseBody is a body that net/http cannot send a second time by itself.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }
