// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"maps"
	"sync"
	"time"

	"cairnwick.example/balance"
	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
)

// usageKey identifies an adapter at an endpoint.
type usageKey struct {
	endpoint string
	centre   string
	adapter  topology.Adapter
}

// usage counts requests by adapter and endpoint, and reports them to the endpoints' leaders.
type usage struct {
	node     *Node
	wake     chan struct{} // signals that something changed
	reported chan string   // data centres for which a report has been sent or has failed

	mu        sync.Mutex
	leaders   map[string]string         // by data centre: its leader at the last check
	counts    map[usageKey]int          // requests started since the last report
	inFlight  map[usageKey]inFlightLoad // requests in progress
	reads     map[usageKey]promptReads  // at endpoints that are balanced by work; since the last report
	changed   map[usageKey]bool         // entries not yet reported to the leader
	remote    map[topology.Adapter]int  // requests sent to other data centres, not yet reported to this one's leader
	reporting map[string]bool           // data centres with a report in progress
}

// inFlightLoad is the load of the requests in progress for an adapter at an endpoint.
type inFlightLoad struct {
	requests     int
	unreadTokens int // prompt tokens that the endpoint has not processed
	memoryTokens int // tokens of prompts and outputs, at endpoints that are balanced by work
}

// promptReads are prompts that an endpoint has read, requests that it failed, and streams that ended there.
type promptReads struct {
	balance.Observation

	failed  int
	streams int           // that ended
	pauses  time.Duration // sum of their longest pauses
}

func newUsage(n *Node) *usage {
	return &usage{
		node:      n,
		wake:      make(chan struct{}, 1),
		reported:  make(chan string),
		leaders:   make(map[string]string),
		counts:    make(map[usageKey]int),
		inFlight:  make(map[usageKey]inFlightLoad),
		reads:     make(map[usageKey]promptReads),
		changed:   make(map[usageKey]bool),
		remote:    make(map[topology.Adapter]int),
		reporting: make(map[string]bool),
	}
}

// RequestStarted implements forward.Observer.
func (u *usage) RequestStarted(e *topology.Endpoint, c forward.Call) forward.Run {
	r := &callTracker{usage: u, key: usageKey{endpoint: e.ID(), centre: e.DataCentre(), adapter: c.Adapter}, unreadTokens: c.PromptTokens}
	if r.balanced = u.node.isMemoryBound(e); r.balanced {
		r.memoryTokens = c.PromptTokens + c.MaxOutputTokens
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[r.key]++
	if r.key.centre != u.node.peers.centre && c.Adapter.Name != "" {
		u.remote[c.Adapter]++
	}
	u.changeLocked(r.key, inFlightLoad{requests: 1, unreadTokens: r.unreadTokens, memoryTokens: r.memoryTokens})
	return r
}

// isMemoryBound reports whether requests to an endpoint are balanced by work.
func (n *Node) isMemoryBound(e *topology.Endpoint) bool {
	c := n.view.Config()
	if c == nil || c.Service(e.Service()) == nil {
		return false
	}
	return c.Service(e.Service()).Engine().IsMemoryBound()
}

// callTracker implements forward.Run for one call. Guarded by usage.mu.
type callTracker struct {
	usage        *usage
	key          usageKey
	unreadTokens int  // tokens of its prompt that the endpoint has not processed
	memoryTokens int  // tokens of its prompt and output; zero unless balanced
	balanced     bool // the endpoint is balanced by work
	read         bool
	hasFailed    bool
	ended        bool
}

// PromptRead implements forward.Run.
func (r *callTracker) PromptRead(ahead int, took time.Duration) {
	r.usage.mu.Lock()
	defer r.usage.mu.Unlock()
	if r.read || r.ended {
		return
	}
	r.read = true
	if r.balanced && ahead > 0 {
		o := r.usage.reads[r.key]
		o.Prompts++
		o.Tokens += ahead
		o.Took += took
		r.usage.reads[r.key] = o
	}
	if r.unreadTokens > 0 {
		r.usage.changeLocked(r.key, inFlightLoad{unreadTokens: -r.unreadTokens})
		r.unreadTokens = 0
	}
}

// Failed implements forward.Run.
func (r *callTracker) Failed() {
	r.usage.mu.Lock()
	defer r.usage.mu.Unlock()
	if !r.balanced || r.hasFailed {
		return
	}
	r.hasFailed = true
	o := r.usage.reads[r.key]
	o.failed++
	r.usage.reads[r.key] = o
	r.usage.changeLocked(r.key, inFlightLoad{})
}

// Finished implements forward.Run.
func (r *callTracker) Finished(pause time.Duration) {
	r.usage.mu.Lock()
	defer r.usage.mu.Unlock()
	if !r.ended {
		r.ended = true
		if r.balanced && pause > 0 {
			o := r.usage.reads[r.key]
			o.streams++
			o.pauses += pause
			r.usage.reads[r.key] = o
		}
		r.usage.changeLocked(r.key, inFlightLoad{requests: -1, unreadTokens: -r.unreadTokens, memoryTokens: -r.memoryTokens})
	}
}

// changeLocked adjusts the load of an entry and schedules a report to the leader.
func (u *usage) changeLocked(k usageKey, by inFlightLoad) {
	w := u.inFlight[k]
	w.requests += by.requests
	w.unreadTokens += by.unreadTokens
	w.memoryTokens += by.memoryTokens
	u.inFlight[k] = w
	if w.requests <= 0 {
		delete(u.inFlight, k)
	}
	u.changed[k] = true
	u.wakeUp()
}

func (u *usage) wakeUp() {
	select {
	case u.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// run reports changes to the leaders after a short delay, and everything periodically, until ctx ends.
func (u *usage) run(ctx context.Context) error {
	full := time.NewTicker(fullUsageInterval)
	defer full.Stop()
	var due <-chan time.Time // when pending changes are reported; nil: there are none
	check := time.NewTicker(leaderCheckInterval)
	defer check.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-u.wake:
			if due == nil { // later changes must not restart the timer: on a busy box it would never fire
				due = time.After(usageBatchDelay)
			}
		case <-due:
			due = nil
			u.report(ctx, false)
		case <-check.C:
			u.detectNewLeaders(u.node.peers.clusterView())
		case <-full.C:
			u.report(ctx, true)
		case c := <-u.reported:
			u.finishReport(c)
		}
	}
	for range u.reporting {
		<-u.reported
	}
	return nil
}

// detectNewLeaders schedules reports of all requests in progress to leaders that are new: a new leader evicts no
// adapter before it knows which ones are in use.
func (u *usage) detectNewLeaders(v *clusterView) {
	u.mu.Lock()
	defer u.mu.Unlock()
	moved := make(map[string]string)
	for k := range u.inFlight {
		m, ok := v.commander(k.centre)
		if ok && u.leaders[k.centre] != m.Name() {
			moved[k.centre] = m.Name()
			u.changed[k] = true
		}
	}
	for c, name := range moved {
		u.leaders[c] = name
		u.wakeUp()
	}
}

// finishReport marks the report to a data centre's leader as done. Changes made in the meantime are reported next.
func (u *usage) finishReport(centre string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.reporting, centre)
	if len(u.changed) > 0 {
		u.wakeUp()
	}
}

// report sends each leader the changes at its endpoints or, if full, everything in progress there. While a report
// to a leader is in progress the next one waits, so that reports arrive in order; a leader that does not answer
// does not delay the others.
func (u *usage) report(ctx context.Context, full bool) {
	u.mu.Lock()
	list := u.collectLocked(full)
	for c := range list {
		u.reporting[c] = true
	}
	u.mu.Unlock()
	for c, q := range list {
		go func() {
			u.sendReport(ctx, c, q)
			u.reported <- c
		}()
	}
}

// collectLocked removes and returns the pending reports to the leaders that have no report in progress.
func (u *usage) collectLocked(full bool) map[string]*wire.UseRequest {
	list := make(map[string]*wire.UseRequest)
	add := func(centre string, w *wire.Usage) {
		if list[centre] == nil {
			list[centre] = &wire.UseRequest{Box: u.node.peers.box, DataCentre: u.node.peers.centre, Part: !full}
		}
		list[centre].Usage = append(list[centre].Usage, w)
	}
	keys := maps.Clone(u.changed)
	if full {
		for k := range u.inFlight {
			keys[k] = true
		}
		for k := range u.counts {
			keys[k] = true
		}
		for k := range u.reads {
			keys[k] = true
		}
	}
	for k := range keys {
		if u.reporting[k.centre] {
			continue
		}
		w, o := u.inFlight[k], u.reads[k]
		add(k.centre, &wire.Usage{
			Endpoint:    k.endpoint,
			Adapter:     k.adapter.String(),
			Count:       int32(u.counts[k]),
			Running:     int32(w.requests),
			Reading:     int64(w.unreadTokens),
			Memory:      int64(w.memoryTokens),
			PromptsRead: int32(o.Prompts),
			TokensRead:  int64(o.Tokens),
			ReadMicros:  o.Took.Microseconds(),
			Failed:      int32(o.failed),
			Streams:     int32(o.streams),
			PauseMicros: o.pauses.Microseconds(),
		})
		delete(u.changed, k)
		delete(u.counts, k)
		delete(u.reads, k)
	}
	if own := u.node.peers.centre; full && !u.reporting[own] {
		for a, n := range u.remote {
			add(own, &wire.Usage{Adapter: a.String(), Far: int32(n)})
		}
		clear(u.remote)
	}
	return list
}

// sendReport sends a report to one leader. Running requests of a lost report are sent again in the next full one.
func (u *usage) sendReport(ctx context.Context, centre string, q *wire.UseRequest) {
	m, ok := u.node.peers.clusterView().commander(centre)
	if !ok {
		return
	}
	if m.Name() == u.node.peers.box {
		u.node.loadCosts.update(centre, u.node.recordUsage(q), clock.Now())
		return
	}
	call, cancel := context.WithTimeout(ctx, fullUsageInterval)
	defer cancel()
	a, err := wire.NewShareClient(u.node.peers.dialer.Conn(m.Address())).Use(call, q)
	if err != nil {
		u.node.Log.V(1).Info("Reporting adapter usage to the leader failed", "leader", m.Name(), "err", err.Error())
		return
	}
	u.node.loadCosts.update(centre, a, clock.Now())
}
