// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// acceptConns listens and calls serve for each connection; serve must close it.
func acceptConns(c *quicktest.C, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

func send(client *http.Client, address string, sendBy time.Time) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address, strings.NewReader("{}"))
	if err != nil {
		return err
	}
	req.Header.Set("Idempotency-Key", "k") // allows net/http to retry
	resp, err := Send(client, req, sendBy, ResponseID{})
	if err == nil {
		resp.Body.Close()
	}
	return err
}

func newClient() *http.Client {
	return &http.Client{Transport: NewTransport((&net.Dialer{}).DialContext, 4)}
}

func inOneMinute() time.Time { return time.Now().Add(time.Minute) }

func wasSent(c *quicktest.C, err error) bool {
	var lost *NoResponseError
	c.Assert(errors.As(err, &lost), quicktest.IsTrue, quicktest.Commentf("%v", err))
	return lost.Sent
}

func TestRefusedConnectionSendsNothing(t *testing.T) {
	c := quicktest.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	l.Close()
	c.Assert(wasSent(c, send(newClient(), l.Addr().String(), inOneMinute())), quicktest.IsFalse)
}

func TestSendAfterExpiryWritesNothing(t *testing.T) {
	c := quicktest.New(t)
	var bytes atomic.Int64
	address := acceptConns(c, func(conn net.Conn) {
		n, _ := conn.Read(make([]byte, 10))
		bytes.Add(int64(n))
		conn.Close()
	})
	err := send(newClient(), address, time.Now().Add(-time.Millisecond))
	c.Assert(errors.Is(err, ErrExpired), quicktest.IsTrue)
	c.Assert(wasSent(c, err), quicktest.IsFalse)
	c.Assert(bytes.Load(), quicktest.Equals, int64(0))
}

func TestConnectionClosedAfterWriteMayHaveExecuted(t *testing.T) {
	c := quicktest.New(t)
	address := acceptConns(c, func(conn net.Conn) {
		_, _ = bufio.NewReader(conn).ReadString('\n')
		conn.Close()
	})
	c.Assert(wasSent(c, send(newClient(), address, inOneMinute())), quicktest.IsTrue)
}

func TestRequestIsNotResentOnReusedConnection(t *testing.T) {
	c := quicktest.New(t)
	var requests atomic.Int64
	address := acceptConns(c, func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = in.Discard(int(r.ContentLength))
			if requests.Add(1) > 1 {
				return // closes a reused connection after the request was written
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	})
	client := newClient()
	c.Assert(send(client, address, inOneMinute()), quicktest.IsNil)
	c.Assert(wasSent(c, send(client, address, inOneMinute())), quicktest.IsTrue)
	c.Assert(requests.Load(), quicktest.Equals, int64(2))
}

// closedConn is a connection that the peer has closed after it took some bytes.
type closedConn struct {
	net.Conn

	taken int
	err   error
}

// Write implements net.Conn.
func (c closedConn) Write([]byte) (int, error) {
	return c.taken, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.err)}
}

// Guards against a request that counts as perhaps executed though its endpoint had ended before, and its connection with it.
func TestRequestOfWhichNoByteWasTakenIsNotSent(t *testing.T) {
	for name, k := range map[string]struct {
		conn closedConn
		sent bool
	}{
		"closed before":          {closedConn{err: syscall.EPIPE}, false},
		"reset before":           {closedConn{err: syscall.ECONNRESET}, false},
		"reset after some bytes": {closedConn{taken: 1, err: syscall.ECONNRESET}, true},
		"another error":          {closedConn{err: syscall.EIO}, true},
	} {
		c := &guardedConn{Conn: k.conn}
		a := &attempt{method: http.MethodPost}
		c.startRequest(a)
		_, err := c.Write([]byte("POST"))
		quicktest.New(t).Check(err, quicktest.IsNotNil)
		quicktest.New(t).Check(a.mayBeSent(), quicktest.Equals, k.sent, quicktest.Commentf("%s", name))
	}
	c := &guardedConn{Conn: closedConn{taken: 4}}
	a := &attempt{method: http.MethodPost}
	c.startRequest(a)
	_, _ = c.Write([]byte("POST"))
	c.Conn = closedConn{err: syscall.EPIPE}
	_, _ = c.Write([]byte("body"))
	quicktest.New(t).Check(a.mayBeSent(), quicktest.IsTrue)
}
