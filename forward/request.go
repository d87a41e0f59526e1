// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/clock"
	"cairnwick.example/forward/origin"
	"cairnwick.example/quarantine"
	"cairnwick.example/topology"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// request is one attempt of a caller, until its final response.
type request struct {
	inbound       *http.Request
	connection    callerConn
	call          Call
	received      time.Time
	deadline      time.Time // the earlier of the caller's and the route's
	route         *topology.Route
	config        *topology.Config
	service       *topology.Service
	organisation  *access.Organisation // nil: the route is public
	charged       float64              // units of the organisation's quota for an execution that has not begun
	body          []byte
	heldBody      int64                  // bytes of body that count towards MaxHeldBytes
	content       quarantine.Fingerprint // zero: the body has not been read
	parts         []quarantine.Part      // of its prompt, those that other requests may share
	responseBegan bool                   // the endpoint of the last attempt sent a part of a response that is no error
	attempts      int                    // requests sent to endpoints
	unsent        int                    // of these, those of which no byte was sent
	executions    int                    // of these, those that may have been executed
	tried         map[string]bool        // endpoints that failed it
	excluded      map[string]bool        // of these, those that rejected it or refused the connection: placement must not choose them again
	misplaced     int                    // endpoints that owners chose for it and this box could not use
	limitDenials  map[string]limitDenial // by endpoint with a rate limit
	mayHaveRun    bool                   // an attempt may have been executed
	proofs        []proof                // of the failed attempts, in order
	noOwnerLogged bool                   // logNoOwner has logged
	declined      bool                   // the owner of a data centre could not serve it in time
	retryReserved bool                   // the next attempt has already been taken from the retry budget
	retryWithheld bool                   // the retry budget denied another attempt
	sentAnyTo     map[string]bool        // endpoints to which any attempt was sent by this box's own link
	notLoadedAt   string                 // endpoint that reported that it does not hold the adapter
	sentAt        time.Time              // of the last attempt
	sentTo        *topology.Endpoint
	origin        *origin.Origin // of the stream that the response continues: no other endpoints are used; nil: none has begun
	version       int64          // of the adapter at the last attempt; zero: any
	queueTime     time.Duration  // part of placementTime before the load began
	placementTime time.Duration  // from receipt until the adapter was ready, or was found not to be
	// predictedFirstToken is the predicted time to the first token of the last attempt.
	predictedFirstToken time.Duration
	maxEventGap         time.Duration // the longest time between two events of its stream
	firstTokenAt        time.Time     // of the last attempt; zero: no response yet
}

func (q *request) remaining(now time.Time) time.Duration { return q.deadline.Sub(now) }

// noteSentTo records that an attempt goes to an endpoint by this box's own link.
func (q *request) noteSentTo(e *topology.Endpoint) {
	if q.sentAnyTo == nil {
		q.sentAnyTo = make(map[string]bool)
	}
	q.sentAnyTo[e.ID()] = true
}

// hasAttempts reports whether the request may be sent once more.
func (q *request) hasAttempts() bool {
	return q.attempts-q.unsent < maxAttempts && q.unsent < maxUnsent
}

// retryMargin is how much shorter than the route's timeout a caller's deadline must be to
// indicate a retry: more than network delay explains.
const retryMargin = 40 * time.Millisecond

// isRetry reports whether the caller has used up some of its time in earlier attempts.
func (q *request) isRetry() bool {
	return q.call.Deadline > 0 && q.call.Deadline+retryMargin < q.route.Timeout()
}

// usefulTime is how much longer the first byte of a response is of use to the caller, which
// gives up after the route's patience, long before its deadline.
func (q *request) usefulTime(now time.Time) time.Duration {
	left := q.remaining(now)
	if p := q.route.ClientTimeout(); p > 0 {
		left = min(left, q.received.Add(p).Sub(now))
	}
	return left
}

// admit routes a request and reads its body; malformed is the error in its headers.
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
	q.service = q.config.Service(q.route.SelectService(hashFraction(q.call.ID)))
	if q.service == nil {
		return &Refusal{Code: CodeNoEndpoint, RetryAfter: time.Second, Detail: "the route's service is not configured"}
	}
	if f := g.readBody(w, q); f != nil {
		return f
	}
	return g.checkQuarantine(q, clock.Now())
}

// maySend checks whether a request may be sent now: the configuration or the quarantine may have
// changed while it waited. The deadline is checked too, since the request's context does not expire
// while the machine is suspended.
func (g *Gateway) maySend(q *request, now time.Time) *Refusal {
	if q.remaining(now) <= 0 {
		return &Refusal{Code: CodeTimeout, Detail: "deadline passed before the request could be sent"}
	}
	if f := g.checkQuarantine(q, now); f != nil {
		return f
	}
	return g.authenticate(q, now)
}

// checkQuarantine refuses a request under which endpoints ended, or under a part of whose prompt they did. The next
// endpoint would end too, and with it the other requests that it runs.
func (g *Gateway) checkQuarantine(q *request, now time.Time) *Refusal {
	if left, kept := g.Quarantine.Remaining(q.content, now); kept {
		return &Refusal{Code: CodeQuarantined, RetryAfter: left, Detail: "endpoints ended while they ran requests with this content"}
	}
	for _, p := range q.parts {
		left, kept := g.Quarantine.Remaining(p.Own(), now)
		if !kept {
			left, kept = g.Quarantine.Remaining(p.Common(), now)
		}
		if kept {
			return &Refusal{Code: CodeQuarantined, RetryAfter: left, Detail: "endpoints ended while they ran requests with part " + p.ID() + " in their prompts"}
		}
	}
	return nil
}

// readBody buffers the body, so that it can be sent again.
func (g *Gateway) readBody(w http.ResponseWriter, q *request) *Refusal {
	q.connection.limitBodyRead(clock.SystemTime(q.deadline))
	limit := q.config.Limits().MaxBodyBytes
	body, err := g.bufferBody(q, http.MaxBytesReader(w, q.inbound.Body, limit), limit)
	if err == nil {
		q.body = body
		q.content = quarantine.NewFingerprint(q.inbound.Method, hostOf(q.inbound), q.inbound.RequestURI, q.organisationName(), q.body)
		q.parts = quarantine.NewParts(q.organisationName(), q.call.PromptParts)
		return nil
	}
	if err == errBodyRefused {
		w.Header().Set("Connection", "close") // net/http reads the rest of the body before it responds otherwise
		return &Refusal{Code: CodeOverloaded, RetryAfter: overloadRetryAfter, Detail: err.Error()}
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

// hostOf returns the host of the request, without a port.
func hostOf(r *http.Request) string {
	if h, _, err := net.SplitHostPort(r.Host); err == nil {
		return h
	}
	return r.Host
}

// pathOf returns the path as the caller sent it.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// hashFraction maps an ID to a number in [0, 1).
func hashFraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}
