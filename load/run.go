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
	Broken          int // connection ended without a complete response or an error; includes retries
	Incorrect       int // complete response with tokens that are missing or of another request; includes retries
	Codes           map[string]int
	Retried         int // rejected requests that were sent once more after the suggested time
	RetriedComplete int // of these, those with a complete response then

	TimeToHeader *metrics.Family // time to the response header of complete responses, by class
	Total        *metrics.Family // duration of complete responses, by class
	LongestGap   time.Duration   // longest interval between the ends of complete responses

	Outcomes  []Outcome // one entry per request
	Retries   []Outcome // outcomes of the rejected requests that were sent once more, measured from their first attempt
	NotRunIDs []string  // IDs of the attempts rejected as not executed
	Errors    []string  // first errors, at most maxErrors
}

// Outcome is the outcome of a request.
type Outcome struct {
	Gateway    string
	Started    time.Time
	Sent       time.Time // start of the last attempt
	Ended      time.Time
	Complete   bool
	Broken     bool // no complete response and no error code
	NotRun     bool // rejected as not executed
	Class      string
	Caller     string
	Code       string        // error code
	RetryAfter time.Duration // delay suggested by an error response
	Adapter    string
	LoadStall  time.Duration // time spent waiting for the adapter to load
}

const maxErrors = 10

// recorder collects a report. It is safe for concurrent use.
type recorder struct {
	mu     sync.Mutex
	report Report
	last   time.Time // end of the latest complete response
}

// Run sends the plan's requests and returns when all of them have ended.
func Run(ctx context.Context, p Plan) Report {
	list := p.arrivals()
	rec := &recorder{report: Report{
		Codes:        make(map[string]int),
		TimeToHeader: metrics.NewFamily(maxClasses),
		Total:        metrics.NewFamily(maxClasses),
	}}
	c := &fleet.Client{HTTP: http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerGateway},
		Timeout:   p.Timeout,
	}}
	defer c.HTTP.CloseIdleConnections()
	started := time.Now()
	rec.last = started
	lb := &loadBalancer{health: p.Health, ready: make(map[string]bool)}
	lbCtx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- lb.run(lbCtx) }()
	defer func() {
		stop()
		<-ended
	}()
	var all sync.WaitGroup
	for _, a := range list {
		if !sleepUntil(ctx, started.Add(a.at)) {
			break
		}
		if len(p.Health) > 0 {
			a.gateway = lb.choose(a.gateway, p.Gateways)
		}
		all.Go(func() {
			started := time.Now()
			if a.kind.WithKey {
				a.key = NewKey()
			}
			r := send(ctx, c, a)
			rec.record(a, r, started)
			if p.RetryRejected && r.response.Execution == "not_run" && r.response.RetryAfter > 0 {
				rec.retryOnce(ctx, c, a, r.response.RetryAfter, started)
			}
		})
	}
	all.Wait()
	return rec.report
}

const (
	maxClasses        = 16
	maxIdlePerGateway = 1024
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
	response   fleet.Response
	err        error // no valid response
	contentErr error // incorrect content of a complete response
}

func send(ctx context.Context, c *fleet.Client, a arrival) result {
	q := a.request()
	if a.duplicateGateway != "" {
		defer sendDuplicate(ctx, c, q, a.duplicateGateway)()
	}
	r, err := c.Do(ctx, q)
	if err != nil {
		return result{err: err}
	}
	if !r.Complete {
		return result{response: r}
	}
	want := q.Expect
	if a.anyVersion {
		want = r.Header.Get("Cairn-Model")
	}
	return result{response: r, contentErr: r.Validate(want, a.tokens)}
}

// sendDuplicate sends a duplicate of a request concurrently through another gateway, as
// a retrying load balancer or client may. The returned function waits for its end.
func sendDuplicate(ctx context.Context, c *fleet.Client, q fleet.Request, gateway string) func() {
	q.Address = gateway
	done := make(chan struct{})
	go func() {
		_, _ = c.Do(ctx, q) // the engines count whether both ran
		close(done)
	}()
	return func() { <-done }
}

func (rec *recorder) record(a arrival, r result, started time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	p := &rec.report
	p.Sent++
	p.Outcomes = append(p.Outcomes, newOutcome(a, r, started))
	switch {
	case r.err != nil:
		p.Broken++
		rec.recordErrorLocked(r.err)
	case r.contentErr != nil:
		p.Incorrect++
		rec.recordErrorLocked(r.contentErr)
	case r.response.Complete:
		p.Complete++
		rec.recordCompleteLocked(a, r.response)
	case r.response.Code == "":
		p.Broken++ // the stream ended without a final event or an error
	case r.response.Execution == "not_run":
		p.NotRun++
		p.NotRunIDs = append(p.NotRunIDs, r.response.RequestID)
		p.Codes[r.response.Code]++
	default:
		p.Unknown++
		p.Codes[r.response.Code]++
	}
}

const maxRetryDelay = 10 * time.Second // longer suggested delays are not waited for

// retryOnce sends a rejected request once more after the suggested delay and records the result. A request with
// a deadline is sent only if the deadline has not passed by then, and with the time that is left.
func (rec *recorder) retryOnce(ctx context.Context, c *fleet.Client, a arrival, delay time.Duration, started time.Time) {
	if a.kind.Deadline > 0 {
		a.kind.Deadline -= time.Since(started) + delay
		if a.kind.Deadline <= 0 {
			return
		}
	}
	if delay > maxRetryDelay || !sleepUntil(ctx, time.Now().Add(delay)) {
		return
	}
	sent := time.Now()
	r := send(ctx, c, a)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	p := &rec.report
	p.Retried++
	outcome := newOutcome(a, r, started)
	outcome.Sent = sent
	p.Retries = append(p.Retries, outcome)
	switch {
	case outcome.Complete:
		p.RetriedComplete++
	case outcome.NotRun:
		p.NotRunIDs = append(p.NotRunIDs, r.response.RequestID)
	case r.contentErr != nil:
		p.Incorrect++
		rec.recordErrorLocked(r.contentErr)
	case outcome.Broken:
		p.Broken++
	}
}

func newOutcome(a arrival, r result, started time.Time) Outcome {
	return Outcome{
		Gateway: a.gateway, Started: started, Sent: started, Ended: time.Now(),
		Complete: r.err == nil && r.contentErr == nil && r.response.Complete,
		Broken:   r.err != nil || (r.contentErr == nil && !r.response.Complete && r.response.Code == ""),
		NotRun:   r.err == nil && r.response.Execution == "not_run",
		Class:    a.kind.Class, Caller: a.kind.Caller, Code: r.response.Code, RetryAfter: r.response.RetryAfter, Adapter: a.adapter,
		LoadStall: r.response.LoadStall(),
	}
}

func (rec *recorder) recordCompleteLocked(a arrival, r fleet.Response) {
	now := time.Now()
	rec.report.LongestGap = max(rec.report.LongestGap, now.Sub(rec.last))
	rec.last = now
	rec.report.TimeToHeader.Observe(a.kind.Class, r.TimeToHeader)
	rec.report.Total.Observe(a.kind.Class, r.Duration)
}

func (rec *recorder) recordErrorLocked(err error) {
	if len(rec.report.Errors) < maxErrors {
		rec.report.Errors = append(rec.report.Errors, err.Error())
	}
}
