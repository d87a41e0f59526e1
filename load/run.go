// SPDX-License-Identifier: Apache-2.0

package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/metrics"
)

// Report is the result of a load, with the outcome of every request.
type Report struct {
	Sent    int
	Whole   int // complete responses with correct tokens
	NotRun  int // rejected as not executed
	Unknown int // failed, possibly after execution
	Broken  int // connection ended without a complete response or an error
	Wrong   int // complete response with tokens that are missing or of another request
	Codes   map[string]int
	Back    int // rejected requests that were sent once more after the suggested time
	Honest  int // of these, those with a complete response then

	First *metrics.Family // time to first byte of complete responses, by class
	Total *metrics.Family // duration of complete responses, by class
	Gap   time.Duration   // longest interval between the ends of complete responses

	Ends       []End    // one entry per request
	NotRunIDs  []string // IDs of the requests rejected as not executed
	Complaints []string // first errors, at most maxComplaints
}

// End is the outcome of a request.
type End struct {
	Gateway string
	Begun   time.Time
	At      time.Time
	Whole   bool
	Broken  bool // no complete response and no error code
	Class   string
	Caller  string
	Code    string        // error code
	Retry   time.Duration // delay suggested by an error response
	Adapter string
	Stall   time.Duration // time spent waiting for the adapter to load
}

const maxComplaints = 10

// book collects a report. It is safe for concurrent use.
type book struct {
	mu     sync.Mutex
	report Report
	last   time.Time // end of the latest complete response
}

// Run sends the plan's requests and returns when all of them have ended.
func Run(ctx context.Context, p Plan) Report {
	list := p.arrivals()
	b := &book{report: Report{
		Codes: make(map[string]int),
		First: metrics.NewFamily(classesKept),
		Total: metrics.NewFamily(classesKept),
	}}
	c := &fleet.Caller{HTTP: http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: idlePerGateway},
		Timeout:   p.Patience,
	}}
	defer c.HTTP.CloseIdleConnections()
	begun := time.Now()
	b.last = begun
	front := &balancer{health: p.Health, ready: make(map[string]bool)}
	balanced, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- front.run(balanced) }()
	defer func() {
		stop()
		<-ended
	}()
	var all sync.WaitGroup
	for _, a := range list {
		if !sleepUntil(ctx, begun.Add(a.at)) {
			break
		}
		if len(p.Health) > 0 {
			a.gateway = front.choose(a.gateway, p.Gateways)
		}
		all.Go(func() {
			begun := time.Now()
			r := send(ctx, c, a)
			b.note(a, r, begun)
			if p.ComeBack && r.reply.Ran == "not_run" && r.reply.Retry > 0 {
				b.noteBack(ctx, c, a, r.reply.Retry)
			}
		})
	}
	all.Wait()
	return b.report
}

const (
	classesKept    = 16
	idlePerGateway = 1024
)

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// result is the response to a request, or its error.
type result struct {
	reply fleet.Reply
	err   error // no valid response
	wrong error // incorrect content of a complete response
}

func send(ctx context.Context, c *fleet.Caller, a arrival) result {
	q := a.ask()
	if a.again != "" {
		defer sendAgain(ctx, c, q, a.again)()
	}
	r, err := c.Do(ctx, q)
	if err != nil {
		return result{err: err}
	}
	if !r.Whole {
		return result{reply: r}
	}
	want := q.Expect
	if a.any {
		want = r.Header.Get("Cairn-Model")
	}
	return result{reply: r, wrong: r.Check(want, a.tokens)}
}

// sendAgain sends a duplicate of a request concurrently through another gateway, as
// a retrying load balancer or client may. The returned function waits for its end.
func sendAgain(ctx context.Context, c *fleet.Caller, q fleet.Ask, gateway string) func() {
	q.Address = gateway
	done := make(chan struct{})
	go func() {
		_, _ = c.Do(ctx, q) // the engines count whether both ran
		close(done)
	}()
	return func() { <-done }
}

func (b *book) note(a arrival, r result, begun time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &b.report
	p.Sent++
	right := r.err == nil && r.wrong == nil && r.reply.Whole
	broken := r.err != nil || (r.wrong == nil && !r.reply.Whole && r.reply.Code == "")
	p.Ends = append(p.Ends, End{
		Gateway: a.gateway, Begun: begun, At: time.Now(), Whole: right, Broken: broken,
		Class: a.kind.Class, Caller: a.kind.Caller, Code: r.reply.Code, Retry: r.reply.Retry, Adapter: a.adapter,
		Stall: r.reply.Stall(),
	})
	switch {
	case r.err != nil:
		p.Broken++
		b.complainLocked(r.err)
	case r.wrong != nil:
		p.Wrong++
		b.complainLocked(r.wrong)
	case r.reply.Whole:
		p.Whole++
		b.wholeLocked(a, r.reply)
	case r.reply.Code == "":
		p.Broken++ // the stream ended without a final event or an error
	case r.reply.Ran == "not_run":
		p.NotRun++
		p.NotRunIDs = append(p.NotRunIDs, r.reply.Request)
		p.Codes[r.reply.Code]++
	default:
		p.Unknown++
		p.Codes[r.reply.Code]++
	}
}

const longestBack = 10 * time.Second // longer suggested delays are not waited for

// noteBack sends a rejected request once more after the suggested delay and records the result.
func (b *book) noteBack(ctx context.Context, c *fleet.Caller, a arrival, retry time.Duration) {
	if retry > longestBack || !sleepUntil(ctx, time.Now().Add(retry)) {
		return
	}
	r := send(ctx, c, a)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report.Back++
	if r.err == nil && r.reply.Whole {
		b.report.Honest++
	}
}

func (b *book) wholeLocked(a arrival, r fleet.Reply) {
	now := time.Now()
	b.report.Gap = max(b.report.Gap, now.Sub(b.last))
	b.last = now
	b.report.First.Observe(a.kind.Class, r.First)
	b.report.Total.Observe(a.kind.Class, r.Duration)
}

func (b *book) complainLocked(err error) {
	if len(b.report.Complaints) < maxComplaints {
		b.report.Complaints = append(b.report.Complaints, err.Error())
	}
}
