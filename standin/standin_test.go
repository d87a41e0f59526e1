// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cairnwick.example/engine"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// testEngine runs an Engine behind an HTTP test server, with a client for it.
type testEngine struct {
	*quicktest.C

	engine *Engine
	client *engine.Client
	url    string
}

func newTestEngine(t *testing.T, change func(*Engine)) *testEngine {
	c := quicktest.New(t)
	e := &Engine{
		Base: "base", Slots: 2, BatchSize: 2, QueueLimit: 2,
		StepTime: time.Millisecond, ResumeWindow: 50 * time.Millisecond, ChecksFences: true,
		Store: func(_ context.Context, path string) (string, error) { return contentFor(path), nil },
	}
	if change != nil {
		change(e)
	}
	s := httptest.NewUnstartedServer(e.Handler())
	s.Listener = e.Repeats.Wrap(s.Listener)
	s.Start()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		<-ended
		s.Close()
	})
	return &testEngine{C: c, engine: e, client: &engine.Client{Address: s.Listener.Addr().String(), HTTP: s.Client()}, url: s.URL}
}

var fence = engine.NewFence(1, "box")

func (te *testEngine) load(names ...string) {
	for _, n := range names {
		te.Assert(te.client.Load(context.Background(), engine.Lease{Fence: fence}, n, "adapters/"+strings.Replace(n, "@", "/", 1)), quicktest.IsNil)
	}
}

// start sends a streaming completion request and returns the response without reading its body.
func (te *testEngine) start(model, prompt string, tokens int, header ...string) *http.Response {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, tokens)
	r, err := http.NewRequest(http.MethodPost, te.url+"/v1/completions", strings.NewReader(body))
	te.Assert(err, quicktest.IsNil)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	a, err := http.DefaultClient.Do(r)
	te.Assert(err, quicktest.IsNil)
	return a
}

func (te *testEngine) run(model, prompt string, header ...string) string {
	a := te.start(model, prompt, 3, header...)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	te.Assert(err, quicktest.IsNil)
	return string(text)
}

func TestCompletionStreamsTokensAndDone(t *testing.T) {
	te := newTestEngine(t, nil)
	te.load("roses@1")
	text := te.run("roses@1", "x", engine.RequestIDHeader, "r1")
	te.Assert(strings.Count(text, "roses@1/r1/"), quicktest.Equals, 3)
	te.Assert(strings.HasSuffix(text, "data: [DONE]\n\n"), quicktest.IsTrue)
}

func TestUnloadOfAdapterInUseIsCounted(t *testing.T) {
	te := newTestEngine(t, nil)
	te.load("roses@1")
	a := te.start("roses@1", "x", 100)
	defer a.Body.Close()
	te.Assert(te.client.Unload(context.Background(), engine.Lease{Fence: fence}, "roses@1"), quicktest.IsNil)
	te.Assert(te.engine.Counts().UnloadRunning, quicktest.Equals, 1)
}

func TestUnloadOfIdleAdapterIsNoViolation(t *testing.T) {
	te := newTestEngine(t, nil)
	te.load("roses@1")
	te.run("roses@1", "x")
	te.Assert(te.client.Unload(context.Background(), engine.Lease{Fence: fence}, "roses@1"), quicktest.IsNil)
	te.Assert(te.engine.Counts().UnloadRunning, quicktest.Equals, 0)
}

func TestWrongVersionIsCounted(t *testing.T) {
	te := newTestEngine(t, nil)
	te.load("roses@1")
	te.run("roses@1", ExpectMark+"roses@1")
	te.Assert(te.engine.Counts().WrongVersion, quicktest.Equals, 0)
	te.run("roses@1", ExpectMark+"roses@2")
	te.Assert(te.engine.Counts().WrongVersion, quicktest.Equals, 1)
}

func TestRepeatedKeyIsCounted(t *testing.T) {
	te := newTestEngine(t, nil)
	te.load("roses@1")
	te.run("roses@1", "x", engine.KeyHeader, "k")
	te.Assert(te.engine.Counts().RepeatedKeys, quicktest.Equals, 0)
	te.run("roses@1", "x", engine.KeyHeader, "k")
	te.Assert(te.engine.Counts().RepeatedKeys, quicktest.Equals, 1)
}

func TestRequestAfterLeavingIsCounted(t *testing.T) {
	te := newTestEngine(t, nil)
	te.load("roses@1")
	r, err := http.NewRequest(http.MethodPost, te.url+"/cairn/role", strings.NewReader(`{"role":"leaving"}`))
	te.Assert(err, quicktest.IsNil)
	r.Header.Set(engine.FenceHeader, fence.String())
	_, err = http.DefaultClient.Do(r)
	te.Assert(err, quicktest.IsNil)
	te.run("roses@1", "x")
	te.Assert(te.engine.Counts().NewAfterLeaving, quicktest.Equals, 1)
}

func TestOrderWithStaleFenceIsRejected(t *testing.T) {
	te := newTestEngine(t, nil)
	_, err := te.client.Claim(context.Background(), engine.NewFence(5, "new"))
	te.Assert(err, quicktest.IsNil)
	err = te.client.Load(context.Background(), engine.Lease{Fence: fence}, "roses@1", "adapters/roses/1")
	var refused *engine.RefusedError
	te.Assert(errors.As(err, &refused), quicktest.IsTrue)
	te.Assert(refused.Code, quicktest.Equals, engine.CodeStaleFence)
	te.Assert(refused.HighestFence, quicktest.Equals, engine.NewFence(5, "new"))
}

func TestEngineWithoutFencesAcceptsEveryOrder(t *testing.T) {
	te := newTestEngine(t, func(e *Engine) { e.ChecksFences = false })
	te.Assert(te.client.Load(context.Background(), engine.Lease{}, "roses@1", "adapters/roses/1"), quicktest.IsNil)
}

func TestLoadWithoutFreeSlotIsRejected(t *testing.T) {
	te := newTestEngine(t, nil)
	te.load("a@1", "b@1")
	err := te.client.Load(context.Background(), engine.Lease{Fence: fence}, "c@1", "adapters/c/1")
	te.Assert(err, quicktest.ErrorMatches, ".*no_slot.*")
}

func TestFailLoadsMakesNextLoadFail(t *testing.T) {
	te := newTestEngine(t, func(e *Engine) { e.failLoads = 1 })
	te.Assert(te.client.Load(context.Background(), engine.Lease{Fence: fence}, "a@1", "adapters/a/1"), quicktest.ErrorMatches, ".*load_failed.*")
	te.load("a@1")
}

func TestRestartChangesBootAndUnloadsAdapters(t *testing.T) {
	te := newTestEngine(t, nil)
	te.load("a@1")
	before, err := te.client.ReadState(context.Background())
	te.Assert(err, quicktest.IsNil)
	_, err = http.Post(te.url+"/control/restart", "", nil)
	te.Assert(err, quicktest.IsNil)
	after, err := te.client.ReadState(context.Background())
	te.Assert(err, quicktest.IsNil)
	te.Assert(before.BootID() == after.BootID(), quicktest.IsFalse)
	models, err := te.client.Models(context.Background())
	te.Assert(err, quicktest.IsNil)
	te.Assert(models, quicktest.HasLen, 0)
}

func TestStreamIsResumedFromGivenToken(t *testing.T) {
	te := newTestEngine(t, nil)
	te.load("a@1")
	a := te.start("a@1", "x", 20, engine.RequestIDHeader, "r1")
	a.Body.Close()
	r, err := http.Get(te.url + "/cairn/streams/r1?from=5")
	te.Assert(err, quicktest.IsNil)
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	te.Assert(err, quicktest.IsNil)
	te.Assert(strings.Contains(string(text), "r1/4 "), quicktest.IsFalse)
	te.Assert(strings.Count(string(text), "r1/"), quicktest.Equals, 15)
}

func TestAbandonedRunIsCancelled(t *testing.T) {
	te := newTestEngine(t, nil)
	te.load("a@1")
	a := te.start("a@1", "x", 100000)
	a.Body.Close()
	for te.engine.Counts().Cancelled == 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestLowerPriorityValueRunsFirst(t *testing.T) {
	c := quicktest.New(t)
	e := &Engine{BatchSize: 1}
	e.init()
	e.waiting = []*run{newRun("late", "a", "a", 5, 1), newRun("soon", "a", "a", 1, 1)}
	e.fillBatchLocked()
	c.Assert(e.batch[0].request, quicktest.Equals, "soon")
}

func TestReportIsDelayedByReportLag(t *testing.T) {
	te := newTestEngine(t, func(e *Engine) { e.ReportLag = time.Hour })
	te.load("a@1")
	a := te.start("a@1", "x", 1000)
	defer a.Body.Close()
	time.Sleep(20 * time.Millisecond)
	r, err := te.client.Report(context.Background())
	te.Assert(err, quicktest.IsNil)
	te.Assert(r.InUse("a@1"), quicktest.IsFalse)
}

func TestStoreRejectsLoadsAboveRate(t *testing.T) {
	c := quicktest.New(t)
	s := &Store{Rate: 2, FullSpeedLoads: 1}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	fetch := StoreFetcher(server.URL)
	for range 2 {
		content, err := fetch(context.Background(), "adapters/roses/1")
		c.Assert(err, quicktest.IsNil)
		c.Assert(content, quicktest.Equals, "roses@1")
	}
	_, err := fetch(context.Background(), "adapters/roses/1")
	var busy *StoreBusyError
	c.Assert(errors.As(err, &busy), quicktest.IsTrue)
}

func TestCachedPrefixSkipsPrefill(t *testing.T) {
	te := newTestEngine(t, func(e *Engine) { e.PrefixCacheSize, e.PrefillSteps = 2, 3 })
	te.load("a@1")
	te.run("a@1", "how do I prune roses")
	steps := te.engine.Counts().Steps
	te.run("a@1", "how do I prune roses")
	te.Assert(te.engine.Counts().PrefixHits, quicktest.Equals, 1)
	te.Assert(te.engine.Counts().Steps-steps < steps, quicktest.IsTrue)
}

func TestCacheEventsAreDelayedAndDropped(t *testing.T) {
	c := quicktest.New(t)
	p := prefixCache{capacity: 2, delay: time.Second, dropEvery: 2}
	start := time.Unix(1000, 0)
	for _, prompt := range []string{"one", "two", "three"} { // events 1, 2 (lost), 3, and 4 (lost)
		p.touch("a@1", prompt, start)
	}
	c.Assert(p.after(0, start), quicktest.HasLen, 0)
	list := p.after(0, start.Add(time.Second))
	c.Assert(list, quicktest.HasLen, 2)
	c.Assert(list[1].Sequence, quicktest.Equals, uint64(3))
	c.Assert(p.after(1, start.Add(time.Second)), quicktest.HasLen, 1)
}

func TestUnloadRemovesPrefixesFromCache(t *testing.T) {
	te := newTestEngine(t, func(e *Engine) { e.PrefixCacheSize = 2 })
	te.load("a@1")
	te.run("a@1", "x")
	te.Assert(te.client.Unload(context.Background(), engine.Lease{Fence: fence}, "a@1"), quicktest.IsNil)
	list, err := te.client.Events(context.Background(), 0)
	te.Assert(err, quicktest.IsNil)
	te.Assert(list, quicktest.HasLen, 2)
	te.Assert(list[1].Kind, quicktest.Equals, engine.CacheRemoved)
}

// Guards against reports older than ReportLag. On an overloaded machine no step ran for longer than that, /metrics
// showed an outdated report, and an adapter that was running was unloaded.
func TestReportIsNoOlderThanReportLagWithoutSteps(t *testing.T) {
	const lag = 20 * time.Millisecond
	te := newTestEngine(t, func(e *Engine) { e.StepTime, e.ReportLag = time.Second, lag })
	te.load("roses@1")
	ended := make(chan string, 1)
	go func() { ended <- te.run("roses@1", "x") }()
	defer func() { <-ended }()
	time.Sleep(10 * lag)
	r, err := te.client.Report(context.Background())
	te.Assert(err, quicktest.IsNil)
	te.Assert(r.InUse("roses@1"), quicktest.IsTrue)
}
