// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"cairnwick.example/quarantine"
	"github.com/pkg/errors"
)

// mostCuts is how many requests that were cut off wait to be looked into: as many as a box holds
// where several endpoints end together. More are left out, and counted.
const mostCuts = 1024

// endings finds out which endpoints ended while they ran requests of this box. An answer that
// breaks off says nothing of that: a link may be cut, one answer may be spoilt. An endpoint whose
// address refuses the next connection has ended.
type endings struct {
	mu     sync.Mutex
	queue  chan cutOff // made at its first use
	counts EndCounts
}

// EndCounts is what one box saw of endpoints that ended.
type EndCounts struct {
	Endpoints int64 `json:"endpoints"` // that ended while they ran requests of this box
	Requests  int64 `json:"requests"`  // that were cut off then
	Alive     int64 `json:"alive"`     // answers that broke off while their endpoint lived on
	LeftOut   int64 `json:"left_out"`  // requests that were not looked into, since too many waited
}

// cutOff is a request whose answer broke off.
type cutOff struct {
	upstream *upstream
	content  quarantine.Content
}

// lookedAt is what a look at an endpoint showed.
type lookedAt struct {
	upstream *upstream
	ended    bool
}

// cuts returns the requests that were cut off and wait to be looked into.
func (e *endings) cuts() chan cutOff {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue == nil {
		e.queue = make(chan cutOff, mostCuts)
	}
	return e.queue
}

// cut notes that an endpoint broke off the answer to a request.
func (e *endings) cut(u *upstream, c quarantine.Content) {
	select {
	case e.cuts() <- cutOff{upstream: u, content: c}:
	default:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.counts.LeftOut++
	}
}

func (e *endings) countsNow() EndCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// runEndings looks at each endpoint that cut off requests, until ctx ends. What an endpoint cuts
// off during a look is judged by it too.
func (g *Gateway) runEndings(ctx context.Context) {
	waiting := make(map[*upstream][]quarantine.Content)
	looked := make(chan lookedAt)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case c := <-g.endings.cuts():
			if waiting[c.upstream] == nil {
				go func() { looked <- lookedAt{upstream: c.upstream, ended: hasEnded(ctx, c.upstream)} }()
			}
			waiting[c.upstream] = append(waiting[c.upstream], c.content)
		case l := <-looked:
			g.judgeEnd(l, waiting[l.upstream], time.Now())
			delete(waiting, l.upstream)
		}
	}
	for range waiting {
		<-looked
	}
}

// hasEnded tells whether nothing listens at an endpoint's address any more.
func hasEnded(ctx context.Context, u *upstream) bool {
	c, err := newDialer().DialContext(ctx, "tcp", u.endpoint.Address())
	if err == nil {
		_ = c.Close() // nothing was sent on it
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// judgeEnd notes what a look at an endpoint showed for the requests that it cut off. Requests that
// endpoints answered lately are cleared: much that callers ask for is asked for by many of them.
func (g *Gateway) judgeEnd(l lookedAt, cut []quarantine.Content, now time.Time) {
	g.endings.count(l.ended, len(cut))
	if !l.ended {
		return
	}
	l.upstream.unreachable(now)
	id := l.upstream.endpoint.ID()
	suspects := slices.DeleteFunc(cut, func(c quarantine.Content) bool { return g.answered.Has(c, now) })
	g.Log.Info("Endpoint ended under requests", "endpoint", id, "contents", texts(suspects))
	if len(suspects) > 0 {
		g.Quarantine.Ended(id, suspects)
	}
}

// count counts what a look at an endpoint showed that cut off so many requests.
func (e *endings) count(ended bool, requests int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !ended {
		e.counts.Alive += int64(requests)
		return
	}
	e.counts.Endpoints++
	e.counts.Requests += int64(requests)
}

// mostContents bounds the contents that one line names.
const mostContents = 32

// texts returns contents for a line.
func texts(list []quarantine.Content) []string {
	var some []string
	for _, c := range list[:min(len(list), mostContents)] {
		some = append(some, c.String())
	}
	return some
}
