// SPDX-License-Identifier: Apache-2.0

package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func plan() Plan {
	return Plan{
		Gateways: []string{"a", "b"},
		Rate:     200,
		Duration: 5 * time.Second,
		Seed:     7,
		Adapters: 100,
		Skew:     1.2,
		Kinds:    []RequestKind{{Class: "counter", Weight: 3, Tokens: 8}, {Class: "overnight", Weight: 1, Tokens: 8}},
	}
}

func TestSameSeedYieldsSameArrivals(t *testing.T) {
	quicktest.Assert(t, plan().arrivals()[500].adapter, quicktest.Equals, plan().arrivals()[500].adapter)
}

func TestArrivalsFollowRateSkewAndWeights(t *testing.T) {
	c := quicktest.New(t)
	list := plan().arrivals()
	c.Assert(len(list) > 900 && len(list) < 1100, quicktest.IsTrue, quicktest.Commentf("%d", len(list)))
	first, counter := 0, 0
	for _, a := range list {
		if a.adapter == "adapter-00001" {
			first++
		}
		if a.kind.Class == "counter" {
			counter++
		}
	}
	c.Assert(first > len(list)/10, quicktest.IsTrue)
	c.Assert(counter > 6*len(list)/10 && counter < 9*len(list)/10, quicktest.IsTrue)
}

func TestShiftMakesOtherAdaptersPopular(t *testing.T) {
	c := quicktest.New(t)
	p := plan()
	p.ShiftAfter = time.Second
	c.Assert(p.adapter(0, 0), quicktest.Equals, 0)
	c.Assert(p.adapter(0, 2*time.Second), quicktest.Equals, 50)
}

// Guards against callers that return after their deadline, or with another key, which the engines would not recognise
// as the same request; and against returns that are not reported.
func TestRejectedRequestReturnsOnceWithItsKey(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	var mu sync.Mutex
	attempts := make(map[string]int) // by key
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		attempts[q.Header.Get("Idempotency-Key")]++
		mu.Unlock()
		retry := 10
		if q.Header.Get("Cairn-Class") == "late" {
			retry = 2000
		}
		w.Header().Set("X-Request-Id", "id")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintf(w, `{"error":{"code":"no_place","ran":"not_run","retry_after_ms":%d}}`, retry)
	}))
	defer s.Close()
	p := plan()
	p.Gateways, p.Duration, p.Rate, p.RetryRejected = []string{s.Listener.Addr().String()}, time.Second, 50, true
	p.Kinds = []RequestKind{
		{Class: "again", Weight: 1, Tokens: 8, WithKey: true, Deadline: time.Second},
		{Class: "late", Weight: 1, Tokens: 8, WithKey: true, Deadline: time.Second},
	}
	report := Run(context.Background(), p)
	again := 0
	for _, e := range report.Outcomes {
		if e.Class == "again" {
			again++
		}
	}
	c.Assert(again > 0 && again < report.Sent, quicktest.IsTrue)
	c.Check(len(attempts), quicktest.Equals, report.Sent)
	c.Check(len(report.Retries), quicktest.Equals, again)
	c.Check(report.NotRun, quicktest.Equals, report.Sent)
	c.Check(len(report.NotRunIDs), quicktest.Equals, report.Sent+again)
	for _, e := range report.Retries {
		c.Check(e.Class, quicktest.Equals, "again")
		c.Check(e.NotRun, quicktest.IsTrue)
		c.Check(e.Sent.Sub(e.Started) >= 10*time.Millisecond, quicktest.IsTrue)
	}
}
