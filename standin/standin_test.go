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

// bench runs an Engine behind an HTTP test server, with a client for it.
type bench struct {
	*quicktest.C

	engine *Engine
	client *engine.Client
	url    string
}

func newBench(t *testing.T, change func(*Engine)) *bench {
	c := quicktest.New(t)
	e := &Engine{
		Base: "base", Slots: 2, BatchSize: 2, QueueLimit: 2,
		StepTime: time.Millisecond, ResumeWindow: 50 * time.Millisecond, ChecksFences: true,
		Store: func(_ context.Context, path string) (string, error) { return contentOf(path), nil },
	}
	if change != nil {
		change(e)
	}
	s := httptest.NewServer(e.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		<-ended
		s.Close()
	})
	return &bench{C: c, engine: e, client: &engine.Client{Address: s.Listener.Addr().String(), HTTP: s.Client()}, url: s.URL}
}

var fence = engine.NewFence(1, "box")

func (b *bench) load(names ...string) {
	for _, n := range names {
		b.Assert(b.client.Load(context.Background(), engine.Authority{Fence: fence}, n, "adapters/"+strings.Replace(n, "@", "/", 1)), quicktest.IsNil)
	}
}

// begin sends a streaming completion request and returns the response without reading its body.
func (b *bench) begin(model, prompt string, tokens int, header ...string) *http.Response {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, tokens)
	r, err := http.NewRequest(http.MethodPost, b.url+"/v1/completions", strings.NewReader(body))
	b.Assert(err, quicktest.IsNil)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	a, err := http.DefaultClient.Do(r)
	b.Assert(err, quicktest.IsNil)
	return a
}

func (b *bench) run(model, prompt string, header ...string) string {
	a := b.begin(model, prompt, 3, header...)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	b.Assert(err, quicktest.IsNil)
	return string(text)
}

func TestACompletionStreamsItsTokensAndItsEnd(t *testing.T) {
	b := newBench(t, nil)
	b.load("roses@1")
	text := b.run("roses@1", "x", engine.RequestHeader, "r1")
	b.Assert(strings.Count(text, "roses@1/r1/"), quicktest.Equals, 3)
	b.Assert(strings.HasSuffix(text, "data: [DONE]\n\n"), quicktest.IsTrue)
}

func TestUnloadingARunningAdapterIsWitnessed(t *testing.T) {
	b := newBench(t, nil)
	b.load("roses@1")
	a := b.begin("roses@1", "x", 100)
	defer a.Body.Close()
	b.Assert(b.client.Unload(context.Background(), engine.Authority{Fence: fence}, "roses@1"), quicktest.IsNil)
	b.Assert(b.engine.Counts().UnloadRunning, quicktest.Equals, 1)
}

func TestUnloadingAnIdleAdapterIsNoBreach(t *testing.T) {
	b := newBench(t, nil)
	b.load("roses@1")
	b.run("roses@1", "x")
	b.Assert(b.client.Unload(context.Background(), engine.Authority{Fence: fence}, "roses@1"), quicktest.IsNil)
	b.Assert(b.engine.Counts().UnloadRunning, quicktest.Equals, 0)
}

func TestAWrongVersionIsWitnessed(t *testing.T) {
	b := newBench(t, nil)
	b.load("roses@1")
	b.run("roses@1", ExpectMark+"roses@1")
	b.Assert(b.engine.Counts().WrongVersion, quicktest.Equals, 0)
	b.run("roses@1", ExpectMark+"roses@2")
	b.Assert(b.engine.Counts().WrongVersion, quicktest.Equals, 1)
}

func TestAKeyRunTwiceIsWitnessed(t *testing.T) {
	b := newBench(t, nil)
	b.load("roses@1")
	b.run("roses@1", "x", engine.KeyHeader, "k")
	b.Assert(b.engine.Counts().RepeatedKeys, quicktest.Equals, 0)
	b.run("roses@1", "x", engine.KeyHeader, "k")
	b.Assert(b.engine.Counts().RepeatedKeys, quicktest.Equals, 1)
}

func TestNewWorkAfterLeavingIsWitnessed(t *testing.T) {
	b := newBench(t, nil)
	b.load("roses@1")
	r, err := http.NewRequest(http.MethodPost, b.url+"/cairn/role", strings.NewReader(`{"role":"leaving"}`))
	b.Assert(err, quicktest.IsNil)
	r.Header.Set(engine.FenceHeader, fence.String())
	_, err = http.DefaultClient.Do(r)
	b.Assert(err, quicktest.IsNil)
	b.run("roses@1", "x")
	b.Assert(b.engine.Counts().NewAfterLeaving, quicktest.Equals, 1)
}

func TestOrdersBelowTheHighestFenceAreRefused(t *testing.T) {
	b := newBench(t, nil)
	_, err := b.client.Claim(context.Background(), engine.NewFence(5, "new"))
	b.Assert(err, quicktest.IsNil)
	err = b.client.Load(context.Background(), engine.Authority{Fence: fence}, "roses@1", "adapters/roses/1")
	var refused *engine.RefusedError
	b.Assert(errors.As(err, &refused), quicktest.IsTrue)
	b.Assert(refused.Code, quicktest.Equals, engine.CodeStaleFence)
	b.Assert(refused.Highest, quicktest.Equals, engine.NewFence(5, "new"))
}

func TestAnEngineWithoutFencesTakesEveryOrder(t *testing.T) {
	b := newBench(t, func(e *Engine) { e.ChecksFences = false })
	b.Assert(b.client.Load(context.Background(), engine.Authority{}, "roses@1", "adapters/roses/1"), quicktest.IsNil)
}

func TestSlotsAreFew(t *testing.T) {
	b := newBench(t, nil)
	b.load("a@1", "b@1")
	err := b.client.Load(context.Background(), engine.Authority{Fence: fence}, "c@1", "adapters/c/1")
	b.Assert(err, quicktest.ErrorMatches, ".*no_slot.*")
}

func TestLoadsFailOnCommand(t *testing.T) {
	b := newBench(t, func(e *Engine) { e.failLoads = 1 })
	b.Assert(b.client.Load(context.Background(), engine.Authority{Fence: fence}, "a@1", "adapters/a/1"), quicktest.ErrorMatches, ".*load_failed.*")
	b.load("a@1")
}

func TestARestartEmptiesTheEngine(t *testing.T) {
	b := newBench(t, nil)
	b.load("a@1")
	before, err := b.client.Look(context.Background())
	b.Assert(err, quicktest.IsNil)
	_, err = http.Post(b.url+"/control/restart", "", nil)
	b.Assert(err, quicktest.IsNil)
	after, err := b.client.Look(context.Background())
	b.Assert(err, quicktest.IsNil)
	b.Assert(before.Boot() == after.Boot(), quicktest.IsFalse)
	models, err := b.client.Models(context.Background())
	b.Assert(err, quicktest.IsNil)
	b.Assert(models, quicktest.HasLen, 0)
}

func TestAStreamIsResumedAfterTheLastEvent(t *testing.T) {
	b := newBench(t, nil)
	b.load("a@1")
	a := b.begin("a@1", "x", 20, engine.RequestHeader, "r1")
	a.Body.Close()
	r, err := http.Get(b.url + "/cairn/streams/r1?from=5")
	b.Assert(err, quicktest.IsNil)
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	b.Assert(err, quicktest.IsNil)
	b.Assert(strings.Contains(string(text), "r1/4 "), quicktest.IsFalse)
	b.Assert(strings.Count(string(text), "r1/"), quicktest.Equals, 15)
}

func TestAnAbandonedRunIsCancelled(t *testing.T) {
	b := newBench(t, nil)
	b.load("a@1")
	a := b.begin("a@1", "x", 100000)
	a.Body.Close()
	for b.engine.Counts().Cancelled == 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestPriorityRunsFirst(t *testing.T) {
	c := quicktest.New(t)
	e := &Engine{BatchSize: 1}
	e.init()
	e.waiting = []*run{newRun("late", "a", "a", 5, 1), newRun("soon", "a", "a", 1, 1)}
	e.fillBatchLocked()
	c.Assert(e.batch[0].request, quicktest.Equals, "soon")
}

func TestReportsLag(t *testing.T) {
	b := newBench(t, func(e *Engine) { e.ReportLag = time.Hour })
	b.load("a@1")
	a := b.begin("a@1", "x", 1000)
	defer a.Body.Close()
	time.Sleep(20 * time.Millisecond)
	r, err := b.client.Report(context.Background())
	b.Assert(err, quicktest.IsNil)
	b.Assert(r.InUse("a@1"), quicktest.IsFalse)
}

func TestTheStoreRefusesAboveItsRate(t *testing.T) {
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

func TestACachedPrefixSkipsThePrefill(t *testing.T) {
	b := newBench(t, func(e *Engine) { e.PrefixCacheSize, e.PrefillSteps = 2, 3 })
	b.load("a@1")
	b.run("a@1", "how do I prune roses")
	steps := b.engine.Counts().Steps
	b.run("a@1", "how do I prune roses")
	b.Assert(b.engine.Counts().PrefixHits, quicktest.Equals, 1)
	b.Assert(b.engine.Counts().Steps-steps < steps, quicktest.IsTrue)
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	c := quicktest.New(t)
	p := prefixCache{most: 2, lag: time.Second, gap: 2}
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

func TestUnloadingDropsThePrefixes(t *testing.T) {
	b := newBench(t, func(e *Engine) { e.PrefixCacheSize = 2 })
	b.load("a@1")
	b.run("a@1", "x")
	b.Assert(b.client.Unload(context.Background(), engine.Authority{Fence: fence}, "a@1"), quicktest.IsNil)
	list, err := b.client.Events(context.Background(), 0)
	b.Assert(err, quicktest.IsNil)
	b.Assert(list, quicktest.HasLen, 2)
	b.Assert(list[1].Kind, quicktest.Equals, engine.CacheRemoved)
}

// Guards against reports older than ReportLag. On an overloaded machine no step ran for longer than that, /metrics
// showed an outdated report, and an adapter that was running was unloaded.
func TestAReportIsNoOlderThanItsLagWhereStepsStandStill(t *testing.T) {
	const lag = 20 * time.Millisecond
	b := newBench(t, func(e *Engine) { e.StepTime, e.ReportLag = time.Second, lag })
	b.load("roses@1")
	ended := make(chan string, 1)
	go func() { ended <- b.run("roses@1", "x") }()
	defer func() { <-ended }()
	time.Sleep(10 * lag)
	r, err := b.client.Report(context.Background())
	b.Assert(err, quicktest.IsNil)
	b.Assert(r.InUse("roses@1"), quicktest.IsTrue)
}
