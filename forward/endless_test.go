// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// endlessForm is a response without end: how it begins, and what follows again and again.
type endlessForm struct {
	start, rest string
	restCount   int // how often the rest is repeated before the endpoint falls silent; zero: without end
}

// responseStart is the head of a response to the request with an ID, without its last line.
const responseStart = "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\n"

var piece = strings.Repeat("x", 8<<10)

var endlessForms = map[string]endlessForm{
	"lines of a head":        {start: responseStart, rest: "X-Line: " + piece[:1000] + "\r\n"},
	"a head that stops":      {start: responseStart, rest: "X-Line: " + piece[:1000] + "\r\n", restCount: 60},
	"a line of a head":       {start: responseStart + "X-Line: ", rest: piece},
	"informational":          {start: "", rest: "HTTP/1.1 103 Early Hints\r\nLink: " + piece[:1000] + "\r\n\r\n"},
	"a body without length":  {start: responseStart + "\r\n", rest: piece},
	"a body with a length":   {start: responseStart + "Content-Length: 1099511627776\r\n\r\n", rest: piece},
	"chunks":                 {start: responseStart + "Transfer-Encoding: chunked\r\n\r\n", rest: "2000\r\n" + piece + "\r\n"},
	"a chunk's extension":    {start: responseStart + "Transfer-Encoding: chunked\r\n\r\n5;", rest: piece},
	"trailers":               {start: responseStart + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", rest: "X-Line: " + piece[:1000] + "\r\n"},
	"a line of an event":     {start: responseStart + "Content-Type: text/event-stream\r\n\r\ndata: ", rest: piece},
	"lines of an event":      {start: responseStart + "Content-Type: text/event-stream\r\n\r\n", rest: "data: " + piece[:1000] + "\n"},
	"responses to others":    {start: "", rest: "HTTP/1.1 200 OK\r\nId: another\r\nSigned: yes\r\nContent-Length: 8192\r\n\r\n" + piece},
	"after a whole response": {start: responseStart + "Content-Length: 2\r\n\r\nok", rest: piece},
	"no response at all":     {start: "", rest: piece},
	"a failure":              {start: "HTTP/1.1 500 Failed\r\nId: %s\r\n\r\n", rest: piece},
}

// endlessEndpoint adds an endpoint to a service that responds to each request without end. It returns how many bytes were written.
func (s *testSite) endlessEndpoint(t *testing.T, id, service string, f endlessForm) *atomic.Int64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, quicktest.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	var written atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f.respond(c, &written)
			}()
		}
	}()
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: service, Address: l.Addr().String(), DataCentre: "dc", Software: "v1", Slots: 4}))
	return &written
}

// respond reads a request and responds until the connection is closed.
func (f endlessForm) respond(c net.Conn, written *atomic.Int64) {
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	if _, err = io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	start := f.start
	if strings.Contains(start, "%s") {
		start = fmt.Sprintf(start, r.Header.Get("Id"))
	}
	_, err = io.WriteString(c, start)
	for i := 0; err == nil && (f.restCount == 0 || i < f.restCount); i++ {
		var n int
		n, err = io.WriteString(c, f.rest)
		written.Add(int64(n))
	}
	_, _ = in.ReadByte() // until the connection is closed
}

const (
	boxMemory    = 284 << 20 // of a box, in bytes
	boxInFlight  = 400       // requests at the same time
	heldMemory   = boxMemory / 4
	collectAbove = boxMemory * 7 / 10
)

// peakMemory returns the most memory that the process uses until stop is called, less what it used before.
func peakMemory() (stop func() int64) {
	used := func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapInuse + m.StackInuse)
	}
	runtime.GC()
	before, most := used(), int64(0)
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			most = max(most, used()-before)
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() int64 {
		close(ended)
		<-done
		return most
	}
}

// Guards against a box that keeps what faulty endpoints send without end, and runs out of memory with the requests of all other callers.
func TestEndlessResponsesDoNotFillTheMemory(t *testing.T) {
	siteBound = heldMemory
	defer func() { siteBound = 0 }()
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(collectAbove))
	for name, form := range endlessForms {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.gateway.MaxInFlight = 2 * boxInFlight
			route := func(prefix, service string) *topology.Route {
				return topology.NewRoute(topology.RouteSpec{Name: service, Host: "site.example", Prefix: prefix, Kind: topology.Streaming, Timeout: 2 * time.Second,
					LatencyTarget: time.Second, MaxAttempts: 2, Services: []topology.WeightedService{{Name: service, Weight: 1}}})
			}
			services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app"}), topology.NewService(topology.ServiceSpec{Name: "faulty"})}
			s.gateway.View.SetConfig(topology.NewConfig(1, []*topology.Route{route("/", "app"), route("/faulty/", "faulty")}, services, topology.RequestLimits{MaxBodyBytes: 1 << 10}))
			s.endpoint(t, answerOK)
			s.endlessEndpoint(t, "f1", "faulty", form)
			s.endlessEndpoint(t, "f2", "faulty", form)
			stop := peakMemory()
			var callers sync.WaitGroup
			for range boxInFlight {
				callers.Go(s.askFaulty)
			}
			served := 0
			for range 50 {
				begun := time.Now()
				resp, text, err := s.ask("/")
				if err == nil && resp.StatusCode == http.StatusOK && text == "fine" {
					served++
				} else {
					t.Logf("after %v: %q, error %v", time.Since(begun), text, err)
				}
				time.Sleep(20 * time.Millisecond)
			}
			callers.Wait()
			most := stop()
			t.Logf("at most %d MB, %d of 50 others served", most>>20, served)
			s.c.Check(most < boxMemory, quicktest.IsTrue, quicktest.Commentf("%d MB", most>>20)) // with the callers and the endpoints of the test
			s.c.Check(served, quicktest.Equals, 50)
		})
	}
}

// askFaulty sends one request to the faulty service and discards the response.
func (s *testSite) askFaulty() {
	r, err := http.NewRequest(http.MethodPost, s.server.URL+"/faulty/", nil)
	s.c.Check(err, quicktest.IsNil)
	r.Host = "site.example"
	r.Header.Set("Id", "faulty")
	if resp, err := http.DefaultClient.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body) // cut off
		_ = resp.Body.Close()
	}
}
