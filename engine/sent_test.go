// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnwick.example/clock"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

const emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// recorder is a server that records the requests whose head it has read, and lets a function handle each.
type recorder struct {
	address string
	handle  func(conn net.Conn, in *bufio.Reader, r *http.Request, n int) bool // n counts from 1; false closes the connection

	open sync.WaitGroup // connections

	mu      sync.Mutex
	arrived []string // methods and paths
}

func newRecorder(c *quicktest.C, handle func(net.Conn, *bufio.Reader, *http.Request, int) bool) *recorder {
	s := &recorder{handle: handle}
	l := newListener(c)
	s.address = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.open.Add(1)
			go s.serve(conn)
		}
	}()
	return s
}

func (s *recorder) serve(conn net.Conn) {
	defer s.open.Done()
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.arrived = append(s.arrived, r.Method+" "+r.URL.Path)
		n := len(s.arrived)
		s.mu.Unlock()
		if !s.handle(conn, in, r, n) {
			return
		}
	}
}

// requests returns the requests that arrived.
func (s *recorder) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.arrived...)
}

// drain waits until the server has read what clients wrote; all other connections must have been closed.
func (s *recorder) drain(c *quicktest.C) { drain(c, s.address, &s.open) }

// drain waits until a server has accepted all connections and ended those that are open.
func drain(c *quicktest.C, address string, open *sync.WaitGroup) {
	last, err := net.Dial("tcp", address) // accepted after all others
	c.Assert(err, quicktest.IsNil)
	defer last.Close()
	_, err = io.WriteString(last, "GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	c.Assert(err, quicktest.IsNil)
	_, err = io.Copy(io.Discard, last)
	c.Assert(err, quicktest.IsNil)
	open.Wait()
}

// respondEmpty reads the body and responds without one.
func respondEmpty(conn net.Conn, _ *bufio.Reader, r *http.Request, _ int) bool {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	_, err := io.WriteString(conn, emptyResponse)
	return err == nil && !r.Close
}

// respondFirst responds to the first request alone, and closes the connection when it has read another.
func respondFirst(conn net.Conn, in *bufio.Reader, r *http.Request, n int) bool {
	return n == 1 && respondEmpty(conn, in, r, n)
}

// sendRequest sends a request, closes its response and returns the error of Send.
func sendRequest(client *http.Client, r *http.Request, sendBy time.Time) error {
	resp, err := Send(client, r, sendBy, ResponseID{})
	if err == nil {
		resp.Body.Close()
	}
	return err
}

func newRequest(ctx context.Context, c *quicktest.C, method, address string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address, body)
	c.Assert(err, quicktest.IsNil)
	return r
}

// Guards against a request that counts as not sent because the next one on its connection has not been written. The connection
// is idle when the response is read, and the first Send has not returned then.
func TestNextRequestOnConnectionDoesNotMakeRequestUnsent(t *testing.T) {
	c := quicktest.New(t)
	s := newRecorder(c, respondEmpty)
	client := newClient()
	idle, firstFailed, taken := make(chan struct{}), make(chan struct{}), make(chan struct{})

	ctx, cancel := context.WithCancel(context.Background())
	first := newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{PutIdleConn: func(error) {
		close(idle)
		<-firstFailed // keeps net/http from delivering the response
	}}), c, http.MethodPost, s.address+"/first", strings.NewReader("{}"))
	firstResult := make(chan error, 1)
	go func() { firstResult <- sendRequest(client, first, time.Time{}) }()
	<-idle

	second := newRequest(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c.Check(info.Reused, quicktest.IsTrue)
		close(taken)
		<-firstFailed // nothing of the second request is written until then
	}}), c, http.MethodPost, s.address+"/second", strings.NewReader("{}"))
	secondResult := make(chan error, 1)
	go func() { secondResult <- sendRequest(client, second, time.Time{}) }()
	<-taken
	cancel()
	err := <-firstResult
	close(firstFailed)
	c.Check(errors.Is(err, context.Canceled), quicktest.IsTrue)
	c.Check(wasSent(c, err), quicktest.IsTrue)
	c.Check(wasSent(c, <-secondResult), quicktest.IsFalse) // its connection ended with the first request
	c.Check(s.requests(), quicktest.DeepEquals, []string{"POST /first"})
}

// Guards against a request that counts as not sent since its connection is one that cannot be observed.
func TestRequestOnUnobservedConnectionMayHaveBeenSent(t *testing.T) {
	closing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	})
	plain, secure := httptest.NewServer(closing), httptest.NewTLSServer(closing)
	defer plain.Close()
	defer secure.Close()
	for name, k := range map[string]struct {
		client *http.Client
		url    string
	}{
		"transport of others": {plain.Client(), plain.URL},
		"default transport":   {&http.Client{}, plain.URL},
		"TLS":                 {secure.Client(), secure.URL},
		"wrapped transport":   {&http.Client{Transport: wrappedTransport{plain.Client().Transport}}, plain.URL},
		"untraced transport":  {&http.Client{Transport: untracedTransport{newClient().Transport}}, plain.URL},
	} {
		c := quicktest.New(t)
		r, err := http.NewRequest(http.MethodPost, k.url, strings.NewReader("{}"))
		c.Assert(err, quicktest.IsNil)
		c.Check(wasSent(c, sendRequest(k.client, r, time.Time{})), quicktest.IsTrue, quicktest.Commentf("%s", name))
	}
}

// wrappedTransport is a transport of another type.
type wrappedTransport struct{ http.RoundTripper }

// untracedTransport is a transport that calls no trace.
type untracedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t untracedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.RoundTripper.RoundTrip(r.WithContext(context.Background()))
}

// Guards against failures before a connection was had that count as perhaps sent, with any transport.
func TestRequestWithoutConnectionIsNotSent(t *testing.T) {
	c := quicktest.New(t)
	_, port, err := net.SplitHostPort(newListener(c).Addr().String())
	c.Assert(err, quicktest.IsNil)
	unused := net.JoinHostPort("127.0.0.2", port) // no other process can listen on it for all addresses
	silent := newListener(c)                      // does not take part in a TLS handshake
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for name, client := range map[string]*http.Client{
		"NewTransport": newClient(),
		"default":      {},
		"wrapped":      {Transport: wrappedTransport{newClient().Transport}},
	} {
		comment := quicktest.Commentf("%s", name)
		r := newRequest(context.Background(), c, http.MethodPost, unused, strings.NewReader("{}"))
		c.Check(wasSent(c, sendRequest(client, r, time.Time{})), quicktest.IsFalse, comment)
		r = newRequest(ended, c, http.MethodPost, silent.Addr().String(), strings.NewReader("{}"))
		err := sendRequest(client, r, time.Time{})
		c.Check(errors.Is(err, context.Canceled), quicktest.IsTrue, comment)
		c.Check(wasSent(c, err), quicktest.IsFalse, comment)
		soon, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer stop()
		r = newRequest(soon, c, http.MethodPost, silent.Addr().String(), strings.NewReader("{}"))
		r.URL.Scheme = "https"
		c.Check(wasSent(c, sendRequest(client, r, time.Time{})), quicktest.IsFalse, comment)
	}
}

// replayable returns requests that net/http sends again by itself.
func replayable(c *quicktest.C, address string) []*http.Request {
	var list []*http.Request
	for _, m := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace} {
		list = append(list, newRequest(context.Background(), c, m, address+"/second", nil))
	}
	for _, key := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		for _, m := range []string{http.MethodPost, http.MethodDelete} {
			r := newRequest(context.Background(), c, m, address+"/second", nil)
			r.Header.Set(key, "k")
			list = append(list, r)
		}
		r := newRequest(context.Background(), c, http.MethodPost, address+"/second", strings.NewReader(""))
		r.Header.Set(key, "k")
		list = append(list, r)
	}
	return list
}

// Guards against a second try of net/http, which sends requests without a body again after a reused connection was closed.
func TestRequestWithoutBodyIsNotResentOnReusedConnection(t *testing.T) {
	c := quicktest.New(t)
	for _, newSender := range []func() *http.Client{newClient, newPlainClient} {
		for i := range replayable(c, "unused") {
			s := newRecorder(c, respondFirst)
			client := newSender()
			r := replayable(c, s.address)[i]
			comment := quicktest.Commentf("%s %v", r.Method, r.Header)
			c.Check(sendRequest(client, newRequest(context.Background(), c, http.MethodGet, s.address+"/first", nil), time.Time{}), quicktest.IsNil)
			err := sendRequest(client, r, time.Time{})
			c.Check(err, quicktest.IsNotNil, comment)
			c.Check(s.requests(), quicktest.DeepEquals, []string{"GET /first", r.Method + " /second"}, comment)
			if err != nil {
				c.Check(wasSent(c, err), quicktest.IsTrue, comment)
			}
		}
	}
}

// newPlainClient returns a client whose transport is not one of NewTransport.
func newPlainClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }

// Guards against a request that counts as not sent because a second try of net/http wrote nothing: it came too late, after the
// machine was suspended, or found no connection.
func TestSecondTryThatWroteNothingLeavesRequestSent(t *testing.T) {
	for name, failSecond := range map[string]func(*quicktest.C) error{
		"expired": func(c *quicktest.C) error {
			clock.SimulateSuspend(time.Minute)
			c.Cleanup(func() { clock.SimulateSuspend(-time.Minute) })
			return nil
		},
		"no connection": func(*quicktest.C) error { return errors.New("no connection") },
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newRecorder(c, respondFirst)
			dials := 0
			client := &http.Client{Transport: NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
				if dials++; dials == 2 {
					if err := failSecond(c); err != nil {
						return nil, err
					}
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}, 4)}
			sendBy := clock.Now().Add(30 * time.Second)
			c.Assert(sendRequest(client, newRequest(context.Background(), c, http.MethodGet, s.address+"/first", nil), sendBy), quicktest.IsNil)
			err := sendRequest(client, newRequest(context.Background(), c, http.MethodGet, s.address+"/second", nil), sendBy)
			c.Check(wasSent(c, err), quicktest.IsTrue)
			c.Check(s.requests(), quicktest.HasLen, 2)
		})
	}
}

// Guards against a failure of requests that net/http may try again: nothing was written, since the endpoint had closed the idle
// connection.
func TestRequestIsTriedAgainIfNothingWasWritten(t *testing.T) {
	c := quicktest.New(t)
	s := newRecorder(c, respondEmpty)
	broken := make(chan struct{})
	dials := 0
	client := &http.Client{Transport: NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if dials++; dials == 1 {
			conn = brokenConn{Conn: conn, broken: broken}
		}
		return conn, err
	}, 4)}
	c.Assert(sendRequest(client, newRequest(context.Background(), c, http.MethodGet, s.address+"/first", nil), time.Time{}), quicktest.IsNil)
	close(broken)
	c.Check(sendRequest(client, newRequest(context.Background(), c, http.MethodGet, s.address+"/second", nil), time.Time{}), quicktest.IsNil)
	c.Check(s.requests(), quicktest.DeepEquals, []string{"GET /first", "GET /second"})
}

// Guards against redirects that are followed: each is another request to an endpoint.
func TestRedirectIsNotFollowed(t *testing.T) {
	c := quicktest.New(t)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, status := range []string{"302 Found", "307 Temporary Redirect"} {
			s := newRecorder(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request, _ int) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 "+status+"\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			})
			resp, err := Send(newClient(), newRequest(context.Background(), c, method, s.address+"/", nil), time.Time{}, ResponseID{})
			c.Assert(err, quicktest.IsNil)
			resp.Body.Close()
			c.Check(resp.Status, quicktest.Equals, status)
			c.Check(s.requests(), quicktest.DeepEquals, []string{method + " /"})
		}
	}
}
