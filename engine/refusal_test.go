// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// refusalCase is an error response to a call.
type refusalCase struct {
	status  int
	headers string // each line with its end; OWN stands for the ID of the call
	body    string
	proven  bool
}

func (k refusalCase) response(id string) string {
	headers := strings.ReplaceAll(k.headers, "OWN", id)
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", k.status, headers, len(k.body), k.body)
}

// serveResponses responds to each request on a connection with what next returns.
func serveResponses(next func(id string) string) func(net.Conn) {
	return func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if _, err := io.WriteString(conn, next(r.Header.Get(RequestIDHeader))); err != nil {
				return
			}
		}
	}
}

// refusalOf returns the refusal of a call that gets this response on a new connection.
func refusalOf(c *quicktest.C, k refusalCase) *RefusedError {
	address := acceptConns(c, serveResponses(k.response))
	client := &Client{Address: address, HTTP: newClient()}
	var refused *RefusedError
	c.Assert(errors.As(client.Cancel(context.Background(), "run"), &refused), quicktest.IsTrue)
	return refused
}

const ownID = "X-Request-Id: OWN\r\n"

// Guards against a request that may have run and counts as not run, by a reason that the protocol does not name, or names for
// other responses.
func TestOnlyDocumentedReasonsProveThatNothingRan(t *testing.T) {
	c := quicktest.New(t)
	for _, k := range []refusalCase{
		{status: 404, headers: ownID + "Cairn-Reason: not_loaded\r\n", proven: true},
		{status: 409, headers: ownID + "Cairn-Reason: no_slot\r\n", proven: true},
		{status: 409, headers: ownID + "Cairn-Reason: stale_fence\r\n", proven: true},
		{status: 429, headers: ownID + "Cairn-Reason: store_busy\r\n", proven: true},
		{status: 503, headers: ownID + "Cairn-Reason: load_failed\r\n", proven: true},
		{status: 503, headers: ownID + "Cairn-Reason: leaving\r\n", proven: true},
		{status: 503, headers: ownID + "Cairn-Reason: busy\r\n", proven: true},
		{status: 429, headers: ownID + "Cairn-Reason: busy\r\n", proven: true},
		{status: 400, headers: ownID + "cairn-reason:  bad_request \r\n", proven: true},

		{status: 503, headers: ownID + "Cairn-Reason: failed\r\n"},
		{status: 503, headers: ownID + "Cairn-Reason: preempted\r\n"},
		{status: 429, headers: ownID + "Cairn-Reason: overloaded\r\n"},
		{status: 503, headers: ownID + "Cairn-Reason: Busy\r\n"},
		{status: 503, headers: ownID + "Cairn-Reason: busy, failed\r\n"},
		{status: 503, headers: ownID + "Cairn-Reason: busy\r\nCairn-Reason: failed\r\n"},
		{status: 503, headers: ownID + "Cairn-Reason: busy\r\nCairn-Reason: busy\r\n"},
		{status: 500, headers: ownID + "Cairn-Reason: busy\r\n"},
		{status: 504, headers: ownID + "Cairn-Reason: leaving\r\n"},
		{status: 500, headers: ownID + "Cairn-Reason: bad_request\r\n"},
		{status: 503, headers: ownID + "Cairn-Reason: not_loaded\r\n"},
		{status: 503, headers: ownID},
		{status: 429, headers: ownID},
		{status: 408, headers: ownID},
		{status: 421, headers: ownID},
	} {
		c.Check(refusalOf(c, k).NotExecuted(), quicktest.Equals, k.proven, quicktest.Commentf("%d %q", k.status, k.headers))
	}
}

// Guards against the refusal of another request, or one that its sender did not mean for any, that proves that this one did not
// run: without the ID of this request.
func TestRefusalProvesNothingWithoutTheIDOfItsRequest(t *testing.T) {
	c := quicktest.New(t)
	busy := refusalCase{status: 503, headers: "Cairn-Reason: busy\r\n"}
	for _, k := range []struct {
		before  string // headers of the response to an earlier request on the connection; empty: there was none
		headers string
		proven  bool
	}{
		{headers: ownID, proven: true},
		{before: ownID, headers: ownID, proven: true},
		{headers: "", proven: true}, // an engine that returns no IDs; it gets one request on each connection
		{before: ownID, headers: ""},
		{before: ownID, headers: "X-Request-Id: \r\n"},
	} {
		responses := []string{busy.headers + k.headers}
		if k.before != "" {
			responses = append([]string{k.before}, responses...)
		}
		var conns atomic.Int64
		serve := func(conn net.Conn) {
			conns.Add(1)
			n := 0
			serveResponses(func(id string) string {
				n++
				return refusalCase{status: 503, headers: responses[n-1]}.response(id)
			})(conn)
		}
		client := &Client{Address: acceptConns(c, serve), HTTP: newClient()}
		var refused *RefusedError
		for range responses {
			c.Assert(errors.As(client.Cancel(context.Background(), "run"), &refused), quicktest.IsTrue)
		}
		c.Check(refused.NotExecuted(), quicktest.Equals, k.proven, quicktest.Commentf("%q after %q", k.headers, k.before))
		c.Check(refused.Code, quicktest.Equals, CodeBusy)
		c.Check(conns.Load(), quicktest.Equals, int64(1))
	}
}

// Guards against a response that may be for another request and counts as a refusal, since one of its IDs is this request's.
func TestRefusalWithTwoIDsIsNone(t *testing.T) {
	c := quicktest.New(t)
	const other = "X-Request-Id: other\r\n"
	for _, ids := range []string{other + ownID, ownID + other, ownID + ownID} {
		k := refusalCase{status: 503, headers: "Cairn-Reason: busy\r\n" + ids}
		client := &Client{Address: acceptConns(c, serveResponses(k.response)), HTTP: newClient()}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		c.Check(wasSent(c, client.Cancel(ctx, "run")), quicktest.IsTrue, quicktest.Commentf("%q", ids))
	}
}

// Guards against a request that ran and counts as not run since its engine, which states no reasons, responded with a status that
// engines also use for what goes wrong after the request began.
func TestStatusWithoutAReasonProvesNothing(t *testing.T) {
	c := quicktest.New(t)
	const notFound, invalid = `{"error":{"type":"NotFoundError"}}`, `{"error":{"type":"BadRequestError"}}`
	for _, k := range []struct {
		refusalCase

		code Code
	}{
		{refusalCase{status: 404, headers: ownID, body: notFound}, CodeNotLoaded},
		{refusalCase{status: 400, headers: ownID, body: invalid}, CodeBadRequest},
		{refusalCase{status: 422, headers: ownID, body: invalid}, CodeBadRequest},
		{refusalCase{status: 404, headers: ownID + "Cairn-Reason: evicted\r\n", body: notFound}, CodeFailed},
		{refusalCase{status: 400, headers: ownID + "Cairn-Reason: aborted\r\n", body: invalid}, CodeFailed},
	} {
		refused := refusalOf(c, k.refusalCase)
		c.Check(refused.NotExecuted(), quicktest.IsFalse, quicktest.Commentf("%d %q", k.status, k.headers))
		c.Check(refused.Code, quicktest.Equals, k.code)
	}
}
