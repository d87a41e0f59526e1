// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/decision"
	"cairnwick.example/engine"
	"cairnwick.example/member"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"google.golang.org/grpc"
)

// newSendingGateway returns a gateway that sends requests to endpoints on the transport of the daemons.
func newSendingGateway(c *quicktest.C) *Gateway {
	g := newGateway(c, ScopeDataCentre)
	g.EngineClient = &http.Client{Transport: engine.NewTransport((&net.Dialer{}).DialContext, 4)}
	g.DialEngine = (&net.Dialer{}).DialContext
	g.Log = logr.Discard()
	g.Timeouts = Timeouts{Failover: time.Second, KeyClaim: time.Minute, Resume: time.Second, Idle: 5 * time.Second}
	g.RetryBudget = policy.NewRetryBudget(1, 100)
	placement, err := policy.NewPlacement(policy.PlacementHash)
	c.Assert(err, quicktest.IsNil)
	g.Placement = placement
	g.Decisions = decision.NewHistory(16)
	g.MaxInFlight = 16
	g.MaxBody = 1 << 20
	return g
}

// fakeScheduler owns all endpoints and is the home of all keys. It is the only scheduler of all data centres.
type fakeScheduler struct {
	wire.SchedulerClient // calls of other methods panic

	// acquire replies to the n-th call of Acquire, from 0; nil: the call fails.
	acquire func(n int, endpoint string) *wire.AcquireReply

	lostBegins int  // replies to BeginKey that are lost
	losesEnds  bool // no EndKey arrives

	mu       sync.Mutex
	acquired int
	released []*wire.ReleaseRequest
	claims   map[string]bool // keys that are claimed
	ended    []wire.KeyState
}

// Acquire implements wire.SchedulerClient.
func (s *fakeScheduler) Acquire(_ context.Context, q *wire.AcquireRequest, _ ...grpc.CallOption) (*wire.AcquireReply, error) {
	s.mu.Lock()
	n := s.acquired
	s.acquired++
	s.mu.Unlock()
	if reply := s.acquire(n, q.GetEndpoint()); reply != nil {
		return reply, nil
	}
	return nil, context.DeadlineExceeded
}

// Release implements wire.SchedulerClient.
func (s *fakeScheduler) Release(_ context.Context, q *wire.ReleaseRequest, _ ...grpc.CallOption) (*wire.ReleaseReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = append(s.released, q)
	return &wire.ReleaseReply{}, nil
}

// BeginKey implements wire.SchedulerClient.
func (s *fakeScheduler) BeginKey(_ context.Context, q *wire.BeginKeyRequest, _ ...grpc.CallOption) (*wire.BeginKeyReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lostBegins > 0 {
		s.lostBegins--
		s.claims[q.GetKey()] = true
		return nil, context.DeadlineExceeded
	}
	if s.claims[q.GetKey()] {
		return &wire.BeginKeyReply{State: wire.KeyState_KEY_STATE_IN_PROGRESS}, nil
	}
	s.claims[q.GetKey()] = true
	return &wire.BeginKeyReply{State: wire.KeyState_KEY_STATE_CLAIMED}, nil
}

// EndKey implements wire.SchedulerClient.
func (s *fakeScheduler) EndKey(_ context.Context, q *wire.EndKeyRequest, _ ...grpc.CallOption) (*wire.EndKeyReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.losesEnds {
		return nil, context.DeadlineExceeded
	}
	s.ended = append(s.ended, q.GetState())
	return &wire.EndKeyReply{}, nil
}

// Scheduler implements SchedulerClients.
func (s *fakeScheduler) Scheduler(string) wire.SchedulerClient { return s }

// Schedulers implements Directory.
func (s *fakeScheduler) Schedulers(string) []member.Member { return []member.Member{s.member()} }

func (*fakeScheduler) member() member.Member {
	return member.New("box/scheduler", "127.0.0.1:1", member.Scheduler, "here", 1)
}

// schedule makes s the scheduler of a gateway.
func (g *Gateway) schedule(s *fakeScheduler) {
	s.claims = make(map[string]bool)
	g.Schedulers, g.Directory, g.Probe = s, s, func(string) {}
	g.Members = member.NewTable(s.member(), member.TableOptions{SuspectTimeout: time.Minute, DeadRetention: time.Minute, FreshFor: time.Minute})
}

// grantAt returns a grant for an endpoint at an address.
func grantAt(address string) *wire.AcquireReply {
	return &wire.AcquireReply{Grant: &wire.Grant{Id: 1, Address: address, Fence: "1.box", SendMicros: time.Minute.Microseconds()}}
}

func refusalFor(reason wire.Reason) *wire.AcquireReply {
	return &wire.AcquireReply{Refusal: &wire.Refusal{Reason: reason, RetryMicros: 1000}}
}

// useServices replaces the configuration of a gateway by one with a plain service, s, at addresses. Calls of /once are not
// repeatable.
func (g *Gateway) useServices(c *quicktest.C, addresses ...string) {
	service, err := json.Marshal(addresses)
	c.Assert(err, quicktest.IsNil)
	config := strings.TrimSuffix(testConfig, "}") + `, "services": [{"name": "s", "addresses": ` + string(service) + `, "not_repeatable": ["GET /once", "POST /once"]}]}`
	shards := map[string][]byte{"all": []byte(config)}
	h, err := catalog.NewHead(catalog.Head{}, shards)
	c.Assert(err, quicktest.IsNil)
	k, err := catalog.Build(h, shards, nil)
	c.Assert(err, quicktest.IsNil)
	g.Catalog = func() *catalog.Catalog { return k }
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// serveOnce serves one request of a caller. One that is not repeatable gets a key.
func (g *Gateway) serveOnce(method, path, body string, repeatable bool) *httptest.ResponseRecorder {
	key := ""
	if !repeatable {
		key = newKey()
	}
	return g.serveWithKey(method, path, body, key)
}

// serveWithKey serves one request of a caller; without a key it is repeatable.
func (g *Gateway) serveWithKey(method, path, body, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set(RepeatableHeader, "no")
		r.Header.Set(KeyHeader, key)
	}
	w := httptest.NewRecorder()
	g.Handler().ServeHTTP(w, r)
	return w
}

// failureOf returns the fields of an error response of the gateway.
func failureOf(c *quicktest.C, w *httptest.ResponseRecorder) failureFields {
	var body failureBody
	c.Assert(json.Unmarshal(w.Body.Bytes(), &body), quicktest.IsNil, quicktest.Commentf("%s", w.Body.String()))
	return body.Error
}
