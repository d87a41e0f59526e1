// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/quarantine"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// refusalScript is a site whose endpoints do what a line of testdata/refusals.txt says with the attempts of one request. It implements
// Placer, Limits and Quarantine; endpoints are selected through them.
type refusalScript struct {
	noLimits
	fakeQuarantine

	site      *testSite
	box       string // socket of the box
	endpoints string // socket of all endpoints
	attempts  []string
	end       string // carried out when the endpoint of the attempt after the last one is selected
	during    string // carried out when the last attempt is under way, if set
	shutDown  context.CancelCauseFunc
	leave     func() // has the caller close its side of the connection
	admits    *fakeAdmission

	mu    sync.Mutex
	begun int // attempts that have begun
	extra int // attempts beyond the script
}

// take returns what happens to the next attempt, and whether it is the last one of the script.
func (x *refusalScript) take() (attempt string, last bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.begun == len(x.attempts) {
		x.extra++
		return "rejected", false
	}
	x.begun++
	return x.attempts[x.begun-1], x.begun == len(x.attempts)
}

// taken returns the attempts that have been made, and how many more than the script has.
func (x *refusalScript) taken() (made []string, extra int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.attempts[:x.begun]), x.extra
}

func (x *refusalScript) exhausted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.begun == len(x.attempts)
}

// dial opens a connection for an attempt.
func (x *refusalScript) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	x.mu.Lock()
	next := ""
	if x.begun < len(x.attempts) {
		next = x.attempts[x.begun]
	}
	x.mu.Unlock()
	if next == "unreachable" {
		x.take()
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "unix", x.endpoints)
	if err == nil && next == "part-written" {
		x.take()
		return brokenConn{Conn: c, pass: half}, nil
	}
	return c, err
}

// serve is the handler of all endpoints.
func (x *refusalScript) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http watches the connection from then on
	attempt, last := x.take()
	h := w.Header()
	switch attempt {
	case "rejected":
		h.Set("Test-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "misdirected":
		h.Set("Test-Wrong-Endpoint", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case "not-loaded":
		h.Set("Test-Adapter-Not-Loaded", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case "foreign":
		h.Set("Id", "another")
		h.Set("Test-Not-Run", "1")
		h.Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "unsigned":
		h.Del("Signed")
	case "failed":
		w.WriteHeader(http.StatusInternalServerError)
	case "cut":
		h.Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		x.abort(w)
	case "stream-cut":
		h.Set("Content-Type", streamType)
		x.abort(w)
	case "event-cut":
		sendEvents(w, 1, 1, true)
	case "too-large":
		_, _ = io.WriteString(w, strings.Repeat("x", 256<<10)) // more than the box may hold
		x.abort(w)
	case "no-response":
		if last && x.during != "" {
			x.carryOut(x.during)
		}
		if x.during == "" || x.during == "endpoint-ends" {
			panic(http.ErrAbortHandler)
		}
		<-r.Context().Done()
	default:
		panic(http.ErrAbortHandler)
	}
}

// abort ends a response after what was written of it.
func (x *refusalScript) abort(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Place implements Placer. Every selection of an endpoint passes here.
func (x *refusalScript) Place(ctx context.Context, a AdapterRequest) (PlacementResult, error) {
	ready := PlacementResult{Ready: true, Endpoint: a.Endpoint.ID()}
	if !x.exhausted() {
		return ready, nil
	}
	switch x.end {
	case "owner-refuses":
		return PlacementResult{RetryAfter: time.Second, Reason: "refused"}, nil
	case "owner-has-no-slot":
		return PlacementResult{RetryAfter: time.Second, Code: CodeNoSlot, Reason: "no slot"}, nil
	case "owner-fails":
		return PlacementResult{}, errors.New("no leader answers")
	case "owner-names-none":
		return PlacementResult{OwnerChanging: true, RetryAfter: time.Minute, Reason: "changing"}, nil
	case "owner-names-unknown":
		return PlacementResult{Ready: true, Endpoint: "unknown"}, nil
	case "owner-panics":
		panic("a fault")
	}
	x.carryOut(x.end)
	switch x.end {
	case "shutdown", "caller-leaves", "deadline":
		<-ctx.Done()
	}
	return ready, nil
}

// HasLimit implements Limits.
func (x *refusalScript) HasLimit(string) bool { return strings.HasPrefix(x.end, "limit") }

// Acquire implements Limits.
func (x *refusalScript) Acquire(context.Context, *topology.Endpoint, ratelimit.Request) AcquireResult {
	if x.exhausted() {
		if x.end == "limit-panics" {
			panic("a fault")
		}
		return AcquireResult{Wait: time.Second}
	}
	return AcquireResult{OK: true}
}

// carryOut makes the change with which a request ends.
func (x *refusalScript) carryOut(end string) {
	g := x.site.gateway
	switch end {
	case "quarantined":
		x.hold(time.Minute)
	case "part-quarantined":
		bad := quarantine.NewParts("org", []string{"first", "bad", "own"})[1].Own()
		x.hold(time.Minute)
		g.CancelQuarantined(bad)
	case "key-revoked":
		x.site.setOrganisations(access.Spec{Name: "org"})
	case "keys-stale":
		x.admits.mu.Lock()
		x.admits.keysUnusable = true
		x.admits.mu.Unlock()
	case "shutdown":
		x.shutDown(ErrShutdown)
	case "caller-leaves":
		x.leave()
	}
	for _, e := range g.View.Endpoints("app") {
		switch end {
		case "endpoints-gone":
			g.View.RemoveEndpoint(e.ID())
		case "endpoints-back-off":
			g.notices.backoffs.Extend(e.ID(), time.Minute, time.Now())
		case "endpoints-drain":
			g.View.MarkDraining(e.ID())
		case "software-gone":
			g.View.RemoveEndpoint(e.ID())
			g.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
				ID: e.ID() + "-new", Service: "app", Address: e.Address(), DataCentre: "dc", Software: "v2", Slots: 4, Models: []string{"m"},
			}))
		}
	}
}

// newRefusalScript returns a site for one request of a route.
func newRefusalScript(t *testing.T, r topology.RouteSpec, attempts []string, held int64) *refusalScript {
	s, admits := newKeyedSite(t, r, access.Quota{Rate: 1})
	x := &refusalScript{site: s, admits: admits, attempts: attempts}
	old := s.gateway.View.Config()
	services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app", Engine: &topology.EngineSpec{AdapterSlots: 2}})}
	s.gateway.View.SetConfig(topology.NewConfig(old.Version()+1, []*topology.Route{old.Route("site.example", "/")}, services, old.Limits()).WithCallers(old.Callers()))
	x.endpoints = serveUnix(context.Background(), t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		x.serve(w, r)
	})
	for n := range len(attempts) + 2 {
		s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
			ID: fmt.Sprintf("e%d", n+1), Service: "app", Address: fmt.Sprintf("e%d:1", n+1), DataCentre: "dc", Software: "v1", Slots: 4, Models: []string{"m"},
		}))
	}
	s.gateway.Placer, s.gateway.Limits, s.gateway.Quarantine, s.gateway.Protocol = x, x, x, partsProtocol{}
	s.gateway.Dial, s.gateway.MaxHeldBytes = x.dial, held
	base, end := context.WithCancelCause(context.Background())
	t.Cleanup(func() { end(nil) })
	x.shutDown, x.box = end, serveUnix(base, t, s.gateway.ServeHTTP)
	return x
}

// serveUnix serves HTTP on a Unix socket, and returns its name. Thousands of short cases would leave as many TCP ports in TIME_WAIT.
func serveUnix(base context.Context, t *testing.T, h http.HandlerFunc) string {
	l, err := net.Listen("unix", filepath.Join(t.TempDir(), "s"))
	quicktest.Assert(t, err, quicktest.IsNil)
	server := httptest.NewUnstartedServer(h)
	quicktest.Assert(t, server.Listener.Close(), quicktest.IsNil)
	server.Listener = l
	server.Config.BaseContext = func(net.Listener) context.Context { return base }
	server.Start()
	t.Cleanup(server.Close)
	return l.Addr().String()
}

// ask sends the request with more lines in its head, and returns the response; nil if the connection was closed without one.
func (x *refusalScript) ask(t *testing.T, lines string) *http.Response {
	conn, err := net.Dial("unix", x.box)
	x.site.c.Assert(err, quicktest.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	x.site.c.Assert(conn.SetDeadline(time.Now().Add(testTimeout)), quicktest.IsNil)
	x.leave = func() { _ = conn.(*net.UnixConn).CloseWrite() }
	_, err = io.WriteString(conn, rawHead+lines+"Key: good\r\nAdapter: m/a\r\nContent-Length: 8\r\n\r\nthe body")
	x.site.c.Assert(err, quicktest.IsNil)
	return readHead(conn)
}
