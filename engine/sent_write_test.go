// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairnwick.example/clock"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// brokenConn is a connection whose writes fail as if the peer had closed it, from a moment on.
type brokenConn struct {
	net.Conn

	broken <-chan struct{}
	taken  int   // bytes that are written before the failure
	err    error // of writes; nil: EPIPE
}

// Write implements net.Conn.
func (b brokenConn) Write(p []byte) (int, error) {
	select {
	case <-b.broken:
	default:
		return b.Conn.Write(p)
	}
	err := b.err
	if err == nil {
		err = syscall.EPIPE
	}
	n, _ := b.Conn.Write(p[:min(b.taken, len(p))])
	return n, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", err)}
}

// clientOver returns a client whose connections wrap makes of those that are dialled.
func clientOver(wrap func(net.Conn) net.Conn) *http.Client {
	return &http.Client{Transport: NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wrap(conn), nil
	}, 4)}
}

// Guards against a request that counts as not sent after a part of it was written, and the reverse.
func TestFailedFirstWriteIsNotSentOnlyIfNothingWasTaken(t *testing.T) {
	c := quicktest.New(t)
	broken := make(chan struct{})
	close(broken)
	for _, k := range []struct {
		taken int
		err   error
		sent  bool
	}{
		{0, syscall.EPIPE, false}, {0, syscall.ECONNRESET, false}, {0, syscall.ETIMEDOUT, true}, {0, io.ErrClosedPipe, true},
		{1, syscall.EPIPE, true}, {1, syscall.ECONNRESET, true}, {1 << 20, syscall.ECONNRESET, true},
	} {
		for _, body := range []string{"", "{}", strings.Repeat("x", 14<<10)} {
			s := newRecorder(c, respondEmpty)
			client := clientOver(func(conn net.Conn) net.Conn {
				return brokenConn{Conn: conn, broken: broken, taken: k.taken, err: k.err}
			})
			err := sendRequest(client, newRequest(context.Background(), c, http.MethodPost, s.address, strings.NewReader(body)), time.Time{})
			c.Check(wasSent(c, err), quicktest.Equals, k.sent, quicktest.Commentf("%d bytes, %v, body of %d bytes", k.taken, k.err, len(body)))
		}
	}
}

// Guards against a second try of net/http after a write that failed otherwise than by a closed connection: bytes may have gone out,
// as through another box.
func TestRequestIsNotResentAfterWriteOfUnknownOutcome(t *testing.T) {
	c := quicktest.New(t)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		s := newRecorder(c, respondEmpty)
		broken := make(chan struct{})
		var dials atomic.Int32
		client := clientOver(func(conn net.Conn) net.Conn {
			if dials.Add(1) == 1 {
				return brokenConn{Conn: conn, broken: broken, err: syscall.EIO}
			}
			return conn
		})
		c.Assert(sendRequest(client, newRequest(context.Background(), c, method, s.address+"/first", nil), time.Time{}), quicktest.IsNil)
		close(broken)
		err := sendRequest(client, newRequest(context.Background(), c, method, s.address+"/second", nil), time.Time{})
		c.Check(err, quicktest.IsNotNil, quicktest.Commentf(method))
		c.Check(s.requests(), quicktest.DeepEquals, []string{method + " /first"})
		c.Check(dials.Load(), quicktest.Equals, int32(1)) // no connection is opened for a second try
		if err != nil {
			c.Check(wasSent(c, err), quicktest.IsTrue)
		}
	}
}

// blockingConn is a connection whose writes block until it is closed.
type blockingConn struct {
	net.Conn

	writes chan struct{} // receives one for each write
	closed chan struct{}
	once   *atomic.Bool
}

// Write implements net.Conn.
func (b blockingConn) Write([]byte) (int, error) {
	b.writes <- struct{}{}
	<-b.closed
	return 0, net.ErrClosed
}

// Close implements net.Conn.
func (b blockingConn) Close() error {
	if b.once.CompareAndSwap(false, true) {
		close(b.closed)
	}
	return b.Conn.Close()
}

// Guards against a conclusion from a cancel that is drawn before the write has ended: bytes may have been passed by then.
func TestCancelDuringWriteLeavesRequestSent(t *testing.T) {
	c := quicktest.New(t)
	s := newRecorder(c, respondEmpty)
	writes := make(chan struct{}, 1)
	client := clientOver(func(conn net.Conn) net.Conn {
		return blockingConn{Conn: conn, writes: writes, closed: make(chan struct{}), once: new(atomic.Bool)}
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-writes
		cancel()
	}()
	err := sendRequest(client, newRequest(ctx, c, http.MethodPost, s.address, strings.NewReader("{}")), time.Time{})
	c.Check(errors.Is(err, context.Canceled), quicktest.IsTrue)
	c.Check(wasSent(c, err), quicktest.IsTrue)
}

// Guards against a request of which something is written after Send has said that nothing was: it is cancelled when it has its
// connection. Whichever comes first, the write or the cancel, Send and the server must agree.
func TestCancelBeforeWriteAgreesWithServer(t *testing.T) {
	c := quicktest.New(t)
	s := newRecorder(c, respondEmpty)
	client := newClient()
	var unsent []string
	for i := range 500 {
		ctx, cancel := context.WithCancel(context.Background())
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { go cancel() }})
		path := "/" + strconv.Itoa(i)
		err := sendRequest(client, newRequest(ctx, c, http.MethodPost, s.address+path, strings.NewReader("{}")), time.Time{})
		if err != nil && !wasSent(c, err) {
			unsent = append(unsent, "POST "+path)
		}
		cancel()
	}
	client.CloseIdleConnections()
	s.drain(c)
	for _, r := range s.requests() {
		c.Check(slices.Contains(unsent, r), quicktest.IsFalse, quicktest.Commentf(r))
	}
}

// lateTransport sends its request after it has returned an error.
type lateTransport struct {
	base     http.RoundTripper
	returned <-chan struct{}
	result   chan error
}

// RoundTrip implements http.RoundTripper.
func (l lateTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	held := make(chan struct{})
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		close(held)
		<-l.returned
	}})
	go func() {
		resp, err := l.base.RoundTrip(r.WithContext(ctx))
		if err == nil {
			resp.Body.Close()
		}
		l.result <- err
	}()
	<-held
	return nil, errors.New("gave up")
}

// Guards against bytes that are written after Send has said that nothing was, by a transport that still works on the request.
func TestNothingIsWrittenAfterRequestCountsAsNotSent(t *testing.T) {
	c := quicktest.New(t)
	s := newRecorder(c, respondEmpty)
	returned, result := make(chan struct{}), make(chan error, 1)
	client := &http.Client{Transport: lateTransport{base: newClient().Transport, returned: returned, result: result}}
	err := sendRequest(client, newRequest(context.Background(), c, http.MethodPost, s.address, strings.NewReader("{}")), time.Time{})
	c.Check(wasSent(c, err), quicktest.IsFalse)
	close(returned)
	c.Check(<-result, quicktest.IsNotNil)
	c.Check(s.requests(), quicktest.HasLen, 0)
}

// Guards against a request that is written after its time, on new and on reused connections: the machine is suspended
// between the choice of the connection and the write.
func TestSendAfterExpiryBetweenConnectionAndWriteWritesNothing(t *testing.T) {
	c := quicktest.New(t)
	for _, newSender := range []func() *http.Client{newClient, newPlainClient} {
		for _, reused := range []bool{false, true} {
			s := newRecorder(c, respondEmpty)
			client := newSender()
			if reused {
				c.Assert(sendRequest(client, newRequest(context.Background(), c, http.MethodPost, s.address+"/first", nil), time.Time{}), quicktest.IsNil)
			}
			before := len(s.requests())
			ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GetConn: func(string) { clock.SimulateSuspend(time.Minute) }})
			err := sendRequest(client, newRequest(ctx, c, http.MethodPost, s.address+"/", strings.NewReader("{}")), clock.Now().Add(10*time.Second))
			clock.SimulateSuspend(-time.Minute)
			c.Check(errors.Is(err, ErrExpired), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Check(wasSent(c, err), quicktest.IsFalse)
			c.Check(s.requests(), quicktest.HasLen, before)
		}
	}
}

// failingBody is a body whose reader fails after its content.
type failingBody struct{ io.Reader }

var errBody = errors.New("body failed")

// Read implements io.Reader.
func (b failingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = errBody
	}
	return n, err
}

// Guards against conclusions from the failure of a body. net/http writes the head of a request before it reads its body, unless the
// body is known to be in memory: then the head and what came of a short body are still in the buffer.
func TestRequestWithFailingBodyIsSentOnceItsBufferWasWritten(t *testing.T) {
	c := quicktest.New(t)
	for _, k := range []struct {
		content int
		length  int64 // announced; -1: chunked
		failing bool  // otherwise the body ends before its length
		sent    bool
	}{
		{0, 100, true, true}, {10, 100, true, true}, {10, -1, true, true}, {14 << 10, 15 << 10, true, true}, {14 << 10, -1, true, true},
		{10, 100, false, false}, {14 << 10, 15 << 10, false, true},
	} {
		var received atomic.Int64
		ended := make(chan struct{})
		address := acceptConns(c, func(conn net.Conn) {
			defer close(ended)
			defer conn.Close()
			n, _ := io.Copy(io.Discard, conn)
			received.Add(n)
		})
		var body io.Reader = strings.NewReader(strings.Repeat("x", k.content))
		if k.failing {
			body = failingBody{body}
		}
		r := newRequest(context.Background(), c, http.MethodPost, address, body)
		r.ContentLength = k.length
		err := sendRequest(newClient(), r, time.Time{})
		<-ended
		comment := quicktest.Commentf("%d bytes of %d, failing %v: %v", k.content, k.length, k.failing, err)
		c.Check(errors.Is(err, errBody), quicktest.Equals, k.failing, comment)
		c.Check(wasSent(c, err), quicktest.Equals, k.sent, comment)
		c.Check(received.Load() > 0, quicktest.Equals, k.sent, comment)
	}
}

// Guards against a connection that is used again while a part of the last request's body may still be written to it.
func TestConnectionOfUnfinishedRequestIsNotReused(t *testing.T) {
	c := quicktest.New(t)
	for name, response := range map[string]string{
		"response":         emptyResponse,
		"invalid response": "HTTP/1.1 nonsense\r\n\r\n",
	} {
		comment := quicktest.Commentf("%s", name)
		content := make(chan []byte, 1)
		s := newRecorder(c, func(conn net.Conn, in *bufio.Reader, r *http.Request, n int) bool {
			if n > 1 {
				return respondEmpty(conn, in, r, n)
			}
			_, err := io.WriteString(conn, response) // before the body has come
			all, readErr := io.ReadAll(r.Body)
			content <- all
			return err == nil && readErr == nil
		})
		client := newClient()
		body, writer := io.Pipe()
		first := newRequest(context.Background(), c, http.MethodPost, s.address+"/first", body)
		first.ContentLength = 14 << 10
		go func() { _, _ = io.WriteString(writer, strings.Repeat("x", 8<<10)) }() // more than the write buffer
		result := make(chan error, 1)
		go func() { result <- sendRequest(client, first, time.Time{}) }()
		if response == emptyResponse {
			c.Check(<-result, quicktest.IsNil, comment)
			result <- nil
		}
		for len(s.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		for range 3 {
			next := newRequest(context.Background(), c, http.MethodPost, s.address+"/next", strings.NewReader("{}"))
			c.Check(sendRequest(client, next, time.Time{}), quicktest.IsNil, comment)
		}
		writer.Close()
		<-result
		c.Check(strings.Trim(string(<-content), "x"), quicktest.Equals, "", comment)
		client.CloseIdleConnections()
		s.drain(c)
		c.Check(s.requests(), quicktest.DeepEquals, []string{"POST /first", "POST /next", "POST /next", "POST /next", "GET /last"}, comment)
	}
}
