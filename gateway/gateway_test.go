// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

const testConfig = `{
	"bases": [{"name": "b"}],
	"classes": [{"name": "counter", "may_wait": "2s", "deadline": "5s", "default": true}],
	"data_centres": [{"name": "far", "region": "south"}],
	"endpoints": [
		{"name": "e1", "data_centre": "here", "base": "b", "address": "127.0.0.1:1", "slots": 2, "running": 2},
		{"name": "e2", "data_centre": "near", "base": "b", "address": "127.0.0.1:2", "slots": 2, "running": 2},
		{"name": "e3", "data_centre": "far", "base": "b", "address": "127.0.0.1:3", "slots": 2, "running": 2},
		{"name": "e4", "data_centre": "here", "base": "b", "address": "127.0.0.1:4", "slots": 2, "running": 2, "state": "draining"}],
	"adapters": [{"name": "a", "base": "b", "versions": {"1": "p"}, "aliases": {"live": "1"}}]}`

func newCatalog(c *quicktest.C) *catalog.Catalog {
	shards := map[string][]byte{"all": []byte(testConfig)}
	h, err := catalog.NewHead(catalog.Head{}, shards)
	c.Assert(err, quicktest.IsNil)
	k, err := catalog.Build(h, shards, nil)
	c.Assert(err, quicktest.IsNil)
	return k
}

func newGateway(c *quicktest.C, scope string) *Gateway {
	k := newCatalog(c)
	g := &Gateway{DataCentre: "here", Scope: scope, Catalog: func() *catalog.Catalog { return k }, MaxBody: 1 << 10}
	g.Init()
	return g
}

func parseTestRequest(g *Gateway, body string) (*request, *Failure) {
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	return g.parseRequest(httptest.NewRecorder(), r, "id")
}

func TestEngineBodyContainsResolvedModel(t *testing.T) {
	c := quicktest.New(t)
	q, f := parseTestRequest(newGateway(c, ScopeDataCentre), `{"model": "a", "prompt": "x", "temperature": 0.5}`)
	c.Assert(f == nil, quicktest.IsTrue)
	raw, err := q.engineBody(7)
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(raw), quicktest.Equals, `{"model":"a@1","priority":7,"prompt":"x","temperature":0.5}`)
}

func TestStageOrder(t *testing.T) {
	c := quicktest.New(t)
	for scope, want := range map[string][][]string{
		ScopeDataCentre: {{"e1"}, {"e2"}},
		ScopeRegion:     {{"e1", "e2"}, {"e1"}, {"e2"}},
	} {
		g := newGateway(c, scope)
		g.reachability.extend("near", time.Now().Add(time.Minute))
		q, f := parseTestRequest(g, `{"model": "a"}`)
		c.Assert(f == nil, quicktest.IsTrue)
		c.Assert(g.stages(q), quicktest.DeepEquals, want)
	}
}

func TestStagesOmitUnreachableDataCentres(t *testing.T) {
	c := quicktest.New(t)
	g := newGateway(c, ScopeRegion)
	g.reachability.extend("near", time.Now().Add(-time.Millisecond))
	q, f := parseTestRequest(g, `{"model": "a"}`)
	c.Assert(f == nil, quicktest.IsTrue)
	c.Assert(g.stages(q), quicktest.DeepEquals, [][]string{{"e1"}, {"e1"}})
}

func TestCopyEventsDropsTruncatedEvent(t *testing.T) {
	c := quicktest.New(t)
	w := httptest.NewRecorder()
	out := &callerResponse{writer: w}
	events, done := copyEvents(out, strings.NewReader("data: one\n\ndata: two\n\ndata: thr"), 0, func([]byte) {})
	c.Assert(events, quicktest.Equals, 2)
	c.Assert(done, quicktest.IsFalse)
	events, done = copyEvents(out, strings.NewReader("data: three\n\ndata: [DONE]\n\n"), events, func([]byte) {})
	c.Assert(events, quicktest.Equals, 3)
	c.Assert(done, quicktest.IsTrue)
	c.Assert(w.Body.String(), quicktest.Equals, "data: one\n\ndata: two\n\ndata: three\n\ndata: [DONE]\n\n")
}

func TestStreamFailureAbortsConnection(t *testing.T) {
	c := quicktest.New(t)
	w := httptest.NewRecorder()
	out := &callerResponse{writer: w, id: "id", firstByteAt: time.Now()}
	c.Assert(func() { out.writeFailure(&Failure{Code: CodeTruncated, Ran: MayHaveRun}) }, quicktest.PanicMatches, "net/http: abort Handler")
	c.Assert(w.Body.String(), quicktest.Matches, `(?s)event: error\ndata: .*"ran":"unknown".*`)
}

func TestFailureSetsRetryAfter(t *testing.T) {
	c := quicktest.New(t)
	w := httptest.NewRecorder()
	(&Failure{Code: CodeQueueFull, Ran: NotRun, RetryAfter: 1200 * time.Millisecond}).write(w, "id")
	c.Assert(w.Code, quicktest.Equals, http.StatusTooManyRequests)
	c.Assert(w.Header().Get("Retry-After"), quicktest.Equals, "2")
	c.Assert(w.Body.String(), quicktest.Contains, `"retry_after_ms":1200`)
}

func TestStateCacheIsBoundedAndExpires(t *testing.T) {
	c := quicktest.New(t)
	cache, now := newStateCache(), time.Now()
	for i := range maxAdapterStates + 100 {
		cache.update("e1", fmt.Sprint(i), &wire.EndpointFacts{Running: 3, Limit: 8, Width: 2, Loaded: true}, now)
	}
	c.Assert(cache.adapters, quicktest.HasLen, maxAdapterStates)
	last := fmt.Sprint(maxAdapterStates + 99)
	facts, width := cache.get(last, []string{"e1"}, now)
	c.Assert(facts[0].Loaded, quicktest.IsTrue)
	c.Assert(width, quicktest.Equals, 2)
	facts, width = cache.get(last, []string{"e1"}, now.Add(stateTTL+time.Second))
	c.Assert(facts[0].Loaded, quicktest.IsFalse)
	c.Assert(width, quicktest.Equals, 1)
}

func TestOwnGrantsRaiseReportedRunning(t *testing.T) {
	c := quicktest.New(t)
	cache, now := newStateCache(), time.Now()
	cache.update("e1", "a@1", &wire.EndpointFacts{Running: 1, Limit: 8}, now)
	for range 5 {
		cache.addGrants("e1", 1)
	}
	facts, _ := cache.get("a@1", []string{"e1"}, now)
	c.Assert(facts[0].Running, quicktest.Equals, 5)
}

func TestLateKeyClaimIsNotUsed(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(keyFailure(wire.KeyState_KEY_STATE_CLAIMED, false, time.Second) == nil, quicktest.IsTrue)
	f := keyFailure(wire.KeyState_KEY_STATE_CLAIMED, true, time.Second)
	c.Assert(f.Code, quicktest.Equals, CodeKeyHomeUnreachable)
	c.Assert(f.Ran, quicktest.Equals, NotRun)
}

func TestIdempotencyKeyIsNotForwarded(t *testing.T) {
	c := quicktest.New(t)
	to := make(http.Header)
	copyEndToEndHeaders(to, http.Header{KeyHeader: {"k"}, "Accept": {"x"}, "Connection": {"close"}})
	c.Assert(to, quicktest.DeepEquals, http.Header{"Accept": {"x"}})
}

func TestInvalidBodyMessages(t *testing.T) {
	c := quicktest.New(t)
	for body, message := range map[string]string{
		`[]`:                                     "body: not a JSON object.*",
		`{"model": "a", "stream": 3}`:            "stream: must be true or false",
		`{"model": 3}`:                           "model: write adapter.*",
		string(bytes.Repeat([]byte(" "), 2<<10)): "body: larger than 1024 bytes",
	} {
		_, f := parseTestRequest(newGateway(c, ScopeDataCentre), body)
		c.Assert(f.Message, quicktest.Matches, message)
		c.Assert(f.Ran, quicktest.Equals, NotRun)
	}
}

func TestPrefixTableIsBoundedAndExpires(t *testing.T) {
	c := quicktest.New(t)
	p, now := newPrefixTable(4), time.Now()
	for i := range 10 {
		p.record(uint64(i), "e1", now)
	}
	c.Assert(p.entries, quicktest.HasLen, 4)
	c.Assert(p.lastEndpoint(9, now), quicktest.Equals, "e1")
	c.Assert(p.lastEndpoint(9, now.Add(prefixTTL+time.Second)), quicktest.Equals, "")
	c.Assert(hashPrefix("a@1", "x") == hashPrefix("a@2", "x"), quicktest.IsFalse)
}
