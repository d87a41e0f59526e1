// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cairnwick.example/standin"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// uploadSize is more than the buffers of a connection hold, so that a request of this size is being written until it is read.
const uploadSize = 12 << 20

// rawSite is a gateway with one endpoint that sends the bytes of a test.
func rawSite(t *testing.T, route topology.RouteSpec, server *standin.RawServer) *testSite {
	s := newSite(t, route)
	route.Host, route.Services = "site.example", []topology.WeightedService{{Name: "app", Weight: 1}}
	services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app"})}
	s.gateway.View.SetConfig(topology.NewConfig(2, []*topology.Route{topology.NewRoute(route)}, services, topology.RequestLimits{MaxBodyBytes: 2 * uploadSize}))
	address, err := server.Start()
	s.c.Assert(err, quicktest.IsNil)
	t.Cleanup(server.Close)
	t.Cleanup(func() { s.gateway.upstreams.prune(func(string) bool { return false }) })
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: "raw", Service: "app", Address: address, DataCentre: "dc", Software: "v1", Slots: 4}))
	return s
}

// upload sends a request with a body of a size, and returns the response and what was received of its body.
func (s *testSite) upload(size int) (*http.Response, string, error) {
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/", strings.NewReader(strings.Repeat("u", size)))
	s.c.Assert(err, quicktest.IsNil)
	r.Host = "site.example"
	r.Header.Set("Id", "call-1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// unframedHead is the head of a response without a length or chunks.
func unframedHead(status int, contentType string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Type: %s\r\nId: call-1\r\nSigned: 1\r\nConnection: close\r\n\r\n", status, contentType)
}

// Guards against a part of a response without a length that is taken for a whole one: its endpoint reset the connection, and the
// write of the request consumed that error, so that reads return a plain end.
func TestResponseThatIsResetDuringTheUploadIsTruncated(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	for name, response := range map[string]string{
		"text":               unframedHead(http.StatusOK, "text/plain") + "part",
		"long text":          unframedHead(http.StatusOK, "text/plain") + strings.Repeat("part", 100_000),
		"JSON":               unframedHead(http.StatusOK, "application/json") + "{}",
		"events":             unframedHead(http.StatusOK, streamType) + event,
		"in an event":        unframedHead(http.StatusOK, streamType) + event + "id: 2\nda",
		"no body":            unframedHead(http.StatusOK, "text/plain"),
		"failure":            unframedHead(http.StatusInternalServerError, "text/plain") + "part",
		"unproven rejection": unframedHead(http.StatusTooManyRequests, "text/plain") + "part",
		"HTTP/1.0":           strings.Replace(unframedHead(http.StatusOK, "text/plain"), "HTTP/1.1", "HTTP/1.0", 1) + "part",
	} {
		for _, route := range []topology.RouteSpec{onceRoute(5 * time.Second), repeatableRoute(5 * time.Second)} {
			for _, bound := range []int64{0, 64 << 20} {
				t.Run(fmt.Sprintf("%s, %v, bound %d", name, route.Kind, bound), func(t *testing.T) {
					siteBound = bound
					defer func() { siteBound = 0 }()
					server := &standin.RawServer{Respond: func(*http.Request) string { return response }, End: standin.EndReset}
					s := rawSite(t, route, server)
					s.gateway.Dial = standin.DialWriterFirst
					resp, body, err := s.upload(uploadSize)
					if strings.Contains(response, event) { // a part of it was relayed, so the caller's connection ends
						s.c.Check(err, quicktest.IsNotNil, quicktest.Commentf("%q", body))
						return
					}
					s.c.Assert(err, quicktest.IsNil)
					s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusBadGateway, quicktest.Commentf("%q", body))
					s.c.Check(resp.Header.Get("Signed"), quicktest.Equals, "")
					if route.Kind == topology.NonIdempotent {
						s.c.Check(server.Requests(), quicktest.Equals, int64(1))
					}
				})
			}
		}
	}
}

// An endpoint may respond before it has read the request: its response is whole if it ends in order.
func TestResponseThatEndsInOrderDuringTheUploadIsRelayed(t *testing.T) {
	const body = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	length := fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", len(body))
	for _, contentType := range []string{"text/plain", streamType} {
		unframed := unframedHead(http.StatusOK, contentType)
		framed := strings.TrimSuffix(unframed, "\r\n\r\n") + length
		chunked := strings.TrimSuffix(unframed, "\r\n\r\n") + fmt.Sprintf("\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		for name, k := range map[string]struct {
			response string
			end      func(*net.TCPConn, io.Reader)
		}{
			"no length, read":                {unframed + body, standin.EndRead},
			"no length, early":               {unframed + body, standin.EndEarly},
			"no length, early, then a reset": {unframed + body, standin.EndEarlyThenReset},
			"length, early":                  {framed + body, standin.EndEarly},
			"length, reset":                  {framed + body, standin.EndReset},
			"length, unread":                 {framed + body, standin.EndUnread},
			"chunks, reset":                  {chunked, standin.EndReset},
		} {
			for _, size := range []int{8, uploadSize} {
				for _, bound := range []int64{0, 64 << 20} {
					t.Run(fmt.Sprintf("%s, %s, %d bytes, bound %d", contentType, name, size, bound), func(t *testing.T) {
						siteBound = bound
						defer func() { siteBound = 0 }()
						server := &standin.RawServer{Respond: func(*http.Request) string { return k.response }, End: k.end}
						s := rawSite(t, onceRoute(5*time.Second), server)
						for n := range 5 {
							if isReset := strings.HasSuffix(name, "reset"); isReset && size == uploadSize && n > 0 {
								s.gateway.Dial = standin.DialWriterFirst
							}
							resp, got, err := s.upload(size)
							s.c.Assert(err, quicktest.IsNil)
							s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
							s.c.Check(got, quicktest.Equals, body)
						}
					})
				}
			}
		}
	}
}

// checkFailure sends a request to a site whose endpoint sends a broken response, and checks that the caller gets a failure that
// says that the request may have run, once, and that the connection to the endpoint ends.
func checkFailure(t *testing.T, name, response string, end func(*net.TCPConn, io.Reader), relay bool) {
	t.Run(name, func(t *testing.T) {
		server := &standin.RawServer{Respond: func(*http.Request) string { return response }, End: end}
		s := rawSite(t, onceRoute(5*time.Second), server)
		if relay {
			s.throughAnotherBox()
		}
		resp, body, err := s.upload(8)
		s.c.Assert(err, quicktest.IsNil)
		s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusBadGateway)
		s.c.Check(body, quicktest.Equals, "answer_lost\n")
		s.c.Check(resp.Header.Get("Signed"), quicktest.Equals, "")
		s.c.Check(server.Requests(), quicktest.Equals, int64(1))
		s.eventually(func() bool { return server.Open() == 0 })
	})
}

// throughAnotherBox has the gateway send its requests through another box, which connects to endpoints as this process does.
func (s *testSite) throughAnotherBox() {
	s.gateway.Relay = funcRelay(dialTCP)
	s.gateway.Dial = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.EHOSTUNREACH}
	}
	s.probe()
	s.c.Assert(s.gateway.links.isCutOff("app"), quicktest.IsTrue)
}

// Guards against a response with a head that HTTP does not allow that is relayed, though net/http accepts it: with a status that is
// none, with a malformed line, or with another body.
func TestResponseWithAnInvalidHeadIsNoResponse(t *testing.T) {
	const lines = "Id: call-1\r\nSigned: 1\r\n"
	for _, contentType := range []string{"text/plain", streamType} {
		body := "id: 1\ndata: x\n\n"
		heads := standin.InvalidHeads(lines+"Content-Type: "+contentType+"\r\n", body)
		for name, response := range heads {
			checkFailure(t, contentType+" "+name, response, standin.KeepOpen, false)
			checkFailure(t, contentType+" "+name+", closed", response, standin.EndRead, false)
			checkFailure(t, contentType+" "+name+", through a box", response, standin.KeepOpen, true)
		}
	}
}

// Guards against a head that breaks off and is taken for a whole one.
func TestResponseThatBreaksOffInItsHeadIsNoResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: call-1\r\nSigned: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nSigned: 1\r\nId: call-1\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nId: call-1\r\n\r\n",
	} {
		for _, response := range standin.CutHeads(head) {
			checkFailure(t, fmt.Sprintf("%q", response), response, standin.EndRead, false)
		}
	}
	const surplus = "HTTP/1.1 200 OK\r\nId: call-0\r\nContent-Length: 2\r\n\r\nok"
	for _, response := range standin.CutHeads("HTTP/1.1 200 OK\r\nId: call-1\r\nSigned: 1\r\n\r\n") {
		checkFailure(t, fmt.Sprintf("reset %q", response), response, standin.EndReset, false)
		checkFailure(t, fmt.Sprintf("box %q", response), response, standin.EndRead, true)
		checkFailure(t, fmt.Sprintf("surplus %q", response), surplus+response, standin.EndRead, false)
	}
}

// Guards against a stream that ends after a part of it, though its route allows another endpoint to go on.
func TestStreamThatIsResetDuringTheUploadIsResumed(t *testing.T) {
	const first, rest = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	var s *testSite
	server := &standin.RawServer{End: standin.EndReset, Respond: func(*http.Request) string {
		s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
			s.c.Check(r.Header.Get("Test-Last-Event-Id"), quicktest.Equals, "1")
			w.Header().Set("Content-Type", streamType)
			_, _ = io.WriteString(w, rest)
		})
		return unframedHead(http.StatusOK, streamType) + first
	}}
	s = rawSite(t, resumableRoute(5*time.Second), server)
	raw := s.gateway.View.Endpoint("raw").Address()
	s.gateway.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == raw {
			return standin.DialWriterFirst(ctx, network, address)
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	resp, body, err := s.upload(uploadSize)
	s.c.Assert(err, quicktest.IsNil)
	s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
	s.c.Check(body, quicktest.Equals, first+rest)
}

// A trailer says nothing that is believed or relayed, so what its lines are does not matter while the body is whole.
func TestTrailersAreNotRelayed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: call-1\r\nSigned: 1\r\nTrailer: Other\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	for trailer, valid := range map[string]bool{
		"": true, "Other: x\r\n": true, "Id: call-0\r\n": true, "Test-Not-Run: 1\r\n": true, "Bad Name: x\r\n": true, "Bad\x01Name: x\r\n": false, "HTTP/1.1 200 OK\r\n": false,
	} {
		t.Run(fmt.Sprintf("%q", trailer), func(t *testing.T) {
			server := &standin.RawServer{Respond: func(*http.Request) string { return head + trailer + "\r\n" }, End: standin.EndRead}
			s := rawSite(t, onceRoute(5*time.Second), server)
			resp, body, err := s.upload(8)
			s.c.Assert(err, quicktest.IsNil)
			s.c.Check(resp.Trailer, quicktest.HasLen, 0)
			s.c.Check(resp.Header.Get("Test-Not-Run"), quicktest.Equals, "")
			if valid {
				s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
				s.c.Check(body, quicktest.Equals, "body")
				return
			}
			s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusBadGateway)
		})
	}
}
