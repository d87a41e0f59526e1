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

// Report accounts for every request of a load.
type Report struct {
	Sent    int
	Whole   int // answered whole, each token checked
	NotRun  int // refused, saying that it did not run
	Unknown int // failed, saying that it may have run
	Broken  int // the connection ended without a final answer
	Wrong   int // an answer that was not the request's own, or not whole
	Codes   map[string]int
	Back    int // refused requests whose callers came back when they were told to
	Honest  int // of those, answered whole then

	First *metrics.Family // time to the first byte of whole answers, by class
	Total *metrics.Family // time to the end of whole answers, by class
	Gap   time.Duration   // longest time without a whole answer ending

	Ends       []End    // of every request
	NotRunIDs  []string // of the requests refused as not run
	Complaints []string // what was wrong, the first few
}

// End is how one request ended.
type End struct {
	Gateway string
	Begun   time.Time
	At      time.Time
	Whole   bool
	Broken  bool // without a final answer
	Class   string
	Caller  string
	Code    string        // of a failure
	Retry   time.Duration // said by a failure
	Adapter string
	Stall   time.Duration // spent waiting for a load
}

const maxComplaints = 10

// book gathers a report; it is safe for concurrent use.
type book struct {
	mu     sync.Mutex
	report Report
	last   time.Time // when a whole answer ended last
}

// Run sends the plan's requests and returns when all have ended.
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

// result is what became of one request.
type result struct {
	reply fleet.Reply
	err   error // no final answer
	wrong error // an answer that is not right
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

// sendAgain sends the same request at the same time through another gateway, as
// a balancer or an impatient caller may. The function it returns waits for it.
func sendAgain(ctx context.Context, c *fleet.Caller, q fleet.Ask, gateway string) func() {
	q.Address = gateway
	done := make(chan struct{})
	go func() {
		_, _ = c.Do(ctx, q) // the engines' witness tells whether both ran
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
		p.Broken++ // a stream without its end and without an error
	case r.reply.Ran == "not_run":
		p.NotRun++
		p.NotRunIDs = append(p.NotRunIDs, r.reply.Request)
		p.Codes[r.reply.Code]++
	default:
		p.Unknown++
		p.Codes[r.reply.Code]++
	}
}

const longestBack = 10 * time.Second // callers told to come back later are not followed

// noteBack lets a refused caller come back when it was told to.
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
