// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// rawEndpoint records the request line of each request that it gets.
func rawEndpoint(c *quicktest.C, s *testSite) chan string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	lines := make(chan string, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				line, _ := bufio.NewReader(conn).ReadString('\n')
				lines <- strings.TrimSpace(line)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: call-1\r\nSigned: yes\r\nContent-Length: 4\r\nConnection: close\r\n\r\nfine")
			}()
		}
	}()
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: "e1", Service: "app", Address: l.Addr().String(), DataCentre: "dc", Software: "v1", Slots: 4}))
	return lines
}

// askTarget sends a request with the target as written, and returns the status.
func askTarget(c *quicktest.C, address, target string) int {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: site.example\r\nId: call-1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", target)
	c.Assert(err, quicktest.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, quicktest.IsNil)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against a request whose target changes on its way, such as one that begins with two slashes.
func TestTargetReachesTheEndpointAsWritten(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	lines := rawEndpoint(s.c, s)
	for _, target := range []string{"/", "/a/b?x=1", "//a/b?x=1", "///", "//", "/a//b", "/%2f%2F", "/a?", "/a??b", "/a;b=c", "/a%20b", "//user@host:80/x", "/:80", "/a?b#c"} {
		s.c.Check(askTarget(s.c, s.server.Listener.Addr().String(), target), quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", target))
		select {
		case line := <-lines:
			s.c.Check(line, quicktest.Equals, "POST "+target+" HTTP/1.1")
		case <-time.After(5 * time.Second):
			s.c.Errorf("%s: nothing was sent", target)
		}
	}
}

// A target is sent as it came or not at all.
func FuzzTargetReachesTheEndpointAsWritten(f *testing.F) {
	for _, target := range []string{"/", "//a/b?x=1", "/%2f", "/a?", "*", "http://a/b", "/a?b#c", "///", "/\x80"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST " + target + " HTTP/1.1\r\nHost: site.example\r\n\r\n")))
		if err != nil || !strings.HasPrefix(r.RequestURI, "/") {
			return
		}
		s := newSite(t, onceRoute(time.Second))
		lines := rawEndpoint(s.c, s)
		s.gateway.ServeHTTP(httptest.NewRecorder(), r)
		select {
		case line := <-lines:
			s.c.Check(line, quicktest.Equals, "POST "+r.RequestURI+" HTTP/1.1")
		default: // refused
		}
	})
}
