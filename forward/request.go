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
	caller        caller
	call          Call
	received      time.Time
	deadline      time.Time // of the caller or of the route, whichever is first
	route         *topology.Route
	config        *topology.Config
	service       *topology.Service
	organisation  *access.Organisation // nil: the route asks for no key
	spent         float64              // of the organisation's quota, for a run that has not begun
	body          []byte
	content       quarantine.Content // zero: the body has not been read
	attempts      int                // requests sent to endpoints
	unreached     int                // of these, those that reached nobody
	ran           int                // of these, those that may have run
	tried         map[string]bool    // endpoints that failed it
	refused       map[string]bool    // of these, those that turned it away or were not there: nobody is to bring it there again
	full          map[string]noRoom  // endpoints that name a limit and had no room for it
	mayHaveRun    bool               // an attempt may have run
	noOwnerLogged bool               // a line tells that nobody answered for an endpoint that should load its adapter
	budgeted      bool               // the next attempt has been taken from the budget of retries already
	withheld      bool               // the budget kept it from another attempt
	denied        string             // the endpoint that said it does not hold the adapter
	sentAt        time.Time          // of the last attempt
	sentTo        *topology.Endpoint
	version       int64         // of the adapter at the last attempt; zero: any
	queued        time.Duration // of waited, until the load began
	waited        time.Duration // until its adapter was ready somewhere, or was found not to be
	// predicted is how long the endpoint of the last attempt was expected to take to its
	// first token.
	predicted time.Duration
	pause     time.Duration // the longest between two events of its stream
	firstAt   time.Time     // when the endpoint of the last attempt began to answer; zero: it has not
}

func (q *request) left(now time.Time) time.Duration { return q.deadline.Sub(now) }

// hasAttempts tells whether the request may be sent once more.
func (q *request) hasAttempts() bool {
	return q.attempts-q.unreached < mostAttempts && q.unreached < mostUnreached
}

// usedBefore is how much less time than the route gives a caller must have left to
// have come back: more than clocks and the way here explain.
const usedBefore = 40 * time.Millisecond

// returned tells whether the caller spent some of its time before this try.
func (q *request) returned() bool {
	return q.call.Deadline > 0 && q.call.Deadline+usedBefore < q.route.Timeout()
}

// useful is how much longer the first part of an answer is of use to the caller: it leaves
// when it has heard nothing for some time, long before its deadline.
func (q *request) useful(now time.Time) time.Duration {
	left := q.left(now)
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
	if f := g.identify(q, clock.Now()); f != nil {
		return f
	}
	q.deadline = q.received.Add(q.route.Timeout())
	if d := q.call.Deadline; d > 0 && d < q.route.Timeout() {
		q.deadline = q.received.Add(d)
	}
	q.service = q.config.Service(q.route.Split(share(q.call.ID)))
	if q.service == nil {
		return &Refusal{Code: CodeNoEndpoint, RetryAfter: time.Second, Detail: "the route's service is not configured"}
	}
	if f := g.readBody(w, q); f != nil {
		return f
	}
	return g.quarantined(q, clock.Now())
}

// maySend tells whether a request may be given to an endpoint now: a configuration, or the word of
// another box, may have come while it waited. Its context does not end while the machine is suspended,
// so its time is looked at too.
func (g *Gateway) maySend(q *request, now time.Time) *Refusal {
	if q.left(now) <= 0 {
		return &Refusal{Code: CodeTimeout, Detail: "its time was over before it could be sent"}
	}
	if f := g.quarantined(q, now); f != nil {
		return f
	}
	return g.identify(q, now)
}

// quarantined refuses a request under which endpoints ended. The next endpoint would end too, with
// the requests of others that it runs.
func (g *Gateway) quarantined(q *request, now time.Time) *Refusal {
	left, kept := g.Quarantine.Remaining(q.content, now)
	if !kept {
		return nil
	}
	return &Refusal{Code: CodeQuarantined, RetryAfter: left, Detail: "endpoints ended while they ran such a request"}
}

// readBody takes the body whole, so that it can be sent again.
func (g *Gateway) readBody(w http.ResponseWriter, q *request) *Refusal {
	q.caller.bodyBy(clock.Timer(q.deadline))
	limit := q.config.Limits().BodyBytes
	var buffer bytes.Buffer
	if n := q.inbound.ContentLength; n > 0 && n <= limit {
		buffer.Grow(int(n))
	}
	_, err := buffer.ReadFrom(http.MaxBytesReader(w, q.inbound.Body, limit))
	if err == nil {
		q.body = buffer.Bytes()
		q.content = quarantine.ContentOf(q.inbound.Method, hostOf(q.inbound), q.inbound.RequestURI, q.payer(), q.body)
		return nil
	}
	if tooLong(err) {
		return &Refusal{Code: CodeBodyTooLarge}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &Refusal{Code: CodeBodyTimeout, Detail: err.Error()}
	}
	return &Refusal{Code: CodeInvalidAnswer, Detail: err.Error()}
}

func tooLong(err error) bool {
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

// share turns an ID into a number in [0, 1).
func share(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// onceReader is a body that net/http cannot send a second time by itself.
type onceReader struct{ io.Reader }

// Close implements io.Closer.
func (onceReader) Close() error { return nil }
