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
	Sent            int
	Complete        int // complete responses with correct tokens
	NotRun          int // rejected as not executed
	Unknown         int // failed, possibly after execution
	Broken          int // connection ended without a complete response or an error
	Incorrect       int // complete response with tokens that are missing or of another request
	Codes           map[string]int
	Retried         int // rejected requests that were sent once more after the suggested time
	RetriedComplete int // of these, those with a complete response then

	TimeToHeader *metrics.Family // time to first byte of complete responses, by class
	Total        *metrics.Family // duration of complete responses, by class
	LongestGap   time.Duration   // longest interval between the ends of complete responses

	Outcomes  []Outcome // one entry per request
	NotRunIDs []string  // IDs of the requests rejected as not executed
	Errors    []string  // first errors, at most maxComplaints
}

// Outcome is the outcome of a request.
type Outcome struct {
	Gateway    string
	Started    time.Time
	Ended      time.Time
	Complete   bool
	Broken     bool // no complete response and no error code
	Class      string
	Caller     string
	Code       string        // error code
	RetryAfter time.Duration // delay suggested by an error response
	Adapter    string
	LoadStall  time.Duration // time spent waiting for the adapter to load
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
		Codes:        make(map[string]int),
		TimeToHeader: metrics.NewFamily(classesKept),
		Total:        metrics.NewFamily(classesKept),
	}}
	c := &fleet.Client{HTTP: http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: idlePerGateway},
		Timeout:   p.Timeout,
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
			if p.RetryRejected && r.reply.Execution == "not_run" && r.reply.RetryAfter > 0 {
				b.noteBack(ctx, c, a, r.reply.RetryAfter)
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
	reply fleet.Response
	err   error // no valid response
	wrong error // incorrect content of a complete response
}

func send(ctx context.Context, c *fleet.Client, a arrival) result {
	q := a.ask()
	if a.again != "" {
		defer sendAgain(ctx, c, q, a.again)()
	}
	r, err := c.Do(ctx, q)
	if err != nil {
		return result{err: err}
	}
	if !r.Complete {
		return result{reply: r}
	}
	want := q.Expect
	if a.any {
		want = r.Header.Get("Cairn-Model")
	}
	return result{reply: r, wrong: r.Validate(want, a.tokens)}
}

// sendAgain sends a duplicate of a request concurrently through another gateway, as
// a retrying load balancer or client may. The returned function waits for its end.
func sendAgain(ctx context.Context, c *fleet.Client, q fleet.Request, gateway string) func() {
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
	right := r.err == nil && r.wrong == nil && r.reply.Complete
	broken := r.err != nil || (r.wrong == nil && !r.reply.Complete && r.reply.Code == "")
	p.Outcomes = append(p.Outcomes, Outcome{
		Gateway: a.gateway, Started: begun, Ended: time.Now(), Complete: right, Broken: broken,
		Class: a.kind.Class, Caller: a.kind.Caller, Code: r.reply.Code, RetryAfter: r.reply.RetryAfter, Adapter: a.adapter,
		LoadStall: r.reply.LoadStall(),
	})
	switch {
	case r.err != nil:
		p.Broken++
		b.complainLocked(r.err)
	case r.wrong != nil:
		p.Incorrect++
		b.complainLocked(r.wrong)
	case r.reply.Complete:
		p.Complete++
		b.wholeLocked(a, r.reply)
	case r.reply.Code == "":
		p.Broken++ // the stream ended without a final event or an error
	case r.reply.Execution == "not_run":
		p.NotRun++
		p.NotRunIDs = append(p.NotRunIDs, r.reply.RequestID)
		p.Codes[r.reply.Code]++
	default:
		p.Unknown++
		p.Codes[r.reply.Code]++
	}
}

const longestBack = 10 * time.Second // longer suggested delays are not waited for

// noteBack sends a rejected request once more after the suggested delay and records the result.
func (b *book) noteBack(ctx context.Context, c *fleet.Client, a arrival, retry time.Duration) {
	if retry > longestBack || !sleepUntil(ctx, time.Now().Add(retry)) {
		return
	}
	r := send(ctx, c, a)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report.Retried++
	if r.err == nil && r.reply.Complete {
		b.report.RetriedComplete++
	}
}

func (b *book) wholeLocked(a arrival, r fleet.Response) {
	now := time.Now()
	b.report.LongestGap = max(b.report.LongestGap, now.Sub(b.last))
	b.last = now
	b.report.TimeToHeader.Observe(a.kind.Class, r.TimeToHeader)
	b.report.Total.Observe(a.kind.Class, r.Duration)
}

func (b *book) complainLocked(err error) {
	if len(b.report.Errors) < maxComplaints {
		b.report.Errors = append(b.report.Errors, err.Error())
	}
}
