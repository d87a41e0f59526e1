// SPDX-License-Identifier: Apache-2.0

package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"cairnwick.example/engine"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// unsentCase is a way in which a request through a box fails.
type unsentCase struct {
	name    string
	prepare func(b *box, thawed <-chan struct{}) // sets up the box
	gotConn func(b *box)                         // called when the request has a connection, if set
	reset   bool                                 // the endpoint resets the connection once it has the request
	timeout time.Duration                        // of the request; zero: testTimeout
	sent    bool                                 // the box got bytes of it: it must not count as unsent
	either  bool                                 // it may count as sent though the box got none: the write and the end of the box race
	arrives bool                                 // the endpoint gets all of it, at once or later
}

// declines has the box end tunnels with a code before it connects to the endpoint.
func declines(code codes.Code) func(*box, <-chan struct{}) {
	return func(b *box, _ <-chan struct{}) { b.refuse = func() error { return status.Error(code, "declined") } }
}

// kill ends the box as SIGKILL does: all its connections are closed.
func kill(b *box) { go b.server.Stop() } // it waits for the handlers, one of which may be the caller

var errKilled = errors.New("killed")

var unsentCases = []unsentCase{
	{name: "declined, failed precondition", prepare: declines(codes.FailedPrecondition)},
	{name: "declined, aborted", prepare: declines(codes.Aborted)},
	{name: "declined, unavailable", prepare: declines(codes.Unavailable)},
	{name: "declined, no room", prepare: declines(codes.ResourceExhausted)},
	{name: "declined, not found", prepare: declines(codes.NotFound)},
	{name: "declined, unknown box", prepare: declines(codes.PermissionDenied)},
	{name: "killed before it connects", prepare: func(b *box, _ <-chan struct{}) {
		b.refuse = func() error { kill(b); return errKilled }
	}},
	{name: "frozen before it connects", timeout: 200 * time.Millisecond, prepare: func(b *box, thawed <-chan struct{}) {
		b.refuse = func() error { <-thawed; return nil }
	}},
	{name: "killed before the first write", either: true, gotConn: func(b *box) { b.server.Stop() }},
	{name: "killed before it writes", sent: true, prepare: func(b *box, _ <-chan struct{}) {
		b.write = func(net.Conn, []byte) (int, error) { kill(b); return 0, errKilled }
	}},
	{name: "killed after it wrote a part", sent: true, prepare: func(b *box, _ <-chan struct{}) {
		b.write = func(c net.Conn, p []byte) (int, error) {
			n, _ := c.Write(p[:len(p)/2])
			kill(b)
			return n, errKilled
		}
	}},
	{name: "killed after it wrote", sent: true, arrives: true, prepare: func(b *box, _ <-chan struct{}) {
		b.write = func(c net.Conn, p []byte) (int, error) {
			defer kill(b)
			return c.Write(p)
		}
	}},
	{name: "frozen before it writes", sent: true, arrives: true, timeout: 200 * time.Millisecond, prepare: func(b *box, thawed <-chan struct{}) {
		b.write = func(c net.Conn, p []byte) (int, error) {
			<-thawed
			return c.Write(p)
		}
	}},
	{name: "frozen after it wrote", sent: true, arrives: true, timeout: 200 * time.Millisecond, prepare: func(b *box, thawed <-chan struct{}) {
		b.write = func(c net.Conn, p []byte) (int, error) {
			n, err := c.Write(p)
			<-thawed
			return n, err
		}
	}},
	{name: "reset by the endpoint", sent: true, arrives: true, reset: true},
}

// Guards against a request that counts as unsent although the box that carries it got bytes of it. Such a box may deliver them after
// the request has failed.
func TestOnlyRequestsOfWhichTheOtherBoxGotNothingAreUnsent(t *testing.T) {
	const request = "the whole request"
	for _, x := range unsentCases {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			thawed, thaw := context.WithCancel(context.Background())
			c.Cleanup(thaw)
			e := newEndpoint(c)
			e.resetAfter = request
			if !x.reset {
				e.resetAfter = ""
			}
			b := &box{endpoint: e.listener.Addr().String()}
			dial := dialer(c, b.start(c))
			if x.prepare != nil {
				x.prepare(b, thawed.Done())
			}
			timeout := testTimeout
			if x.timeout > 0 {
				timeout = x.timeout
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			if x.gotConn != nil {
				ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.gotConn(b) }})
			}
			err := sendThrough(ctx, dial, request)
			var lost *engine.NoResponseError
			c.Assert(errors.As(err, &lost), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Check(lost.Sent == x.sent || x.either, quicktest.IsTrue, quicktest.Commentf("%v", err))
			thaw()
			b.server.GracefulStop() // ends when all tunnels have
			for range b.dialled() {
				e.next(c)
			}
			c.Check(strings.HasSuffix(e.all(), request), quicktest.Equals, x.arrives)
			if !x.sent {
				c.Check(e.all(), quicktest.Equals, "")
			}
		})
	}
}

// sendThrough sends one request over connections that dial opens.
func sendThrough(ctx context.Context, dial engine.DialFunc, body string) error {
	transport := engine.NewTransport(dial, 0)
	transport.DisableKeepAlives = true
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://e/", strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := engine.Send(&http.Client{Transport: transport}, r, time.Time{}, engine.ResponseID{})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}
