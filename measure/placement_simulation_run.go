// SPDX-License-Identifier: Apache-2.0

package measure

import "slices"

// simulate runs the requests against a fresh site, in steps of one millisecond.
func simulate(list []*simRequest, choose placementPolicy) simResult {
	s := &simulation{choose: choose}
	for range simEndpoints {
		s.endpoints = append(s.endpoints, &simEndpoint{slots: make(map[int]*simSlot), evicted: make(map[int]int), runEnds: make(map[int][]int)})
	}
	next := 0
	end := list[len(list)-1].arrival + 3*simTimeout
	for ; s.now < end; s.now++ {
		for ; next < len(list) && list[next].arrival <= s.now; next++ {
			s.dispatch(list[next])
		}
		s.storeLoads = slices.DeleteFunc(s.storeLoads, func(at int) bool { return at <= s.now })
		s.pending = slices.DeleteFunc(s.pending, s.startLoad)
		for _, e := range s.endpoints {
			s.processPrompts(e)
		}
	}
	return s.result
}

// dispatch sends a request to the least busy endpoint that holds its adapter. If there is none, it
// adds the request to a waiting load of the adapter or creates a new one.
func (s *simulation) dispatch(q *simRequest) {
	var holder *simEndpoint
	for _, e := range s.endpoints {
		if e.slots[q.adapter] != nil && (holder == nil || e.queuedTokens() < holder.queuedTokens()) {
			holder = e
		}
	}
	if holder != nil {
		holder.enqueue(q)
		return
	}
	for _, w := range s.pending {
		if w.adapter == q.adapter {
			s.endpoints[w.endpoint].waitingTokens += q.tokens
			w.waiting = append(w.waiting, q)
			return
		}
	}
	w := &pendingLoad{adapter: q.adapter, endpoint: s.choose(s, q.adapter), waiting: []*simRequest{q}}
	s.endpoints[w.endpoint].waitingTokens += q.tokens
	s.pending = append(s.pending, w)
}

// startLoad starts a load if its endpoint has an empty or idle slot. It returns true if the load no
// longer waits: it has started, or all its callers have given up.
func (s *simulation) startLoad(w *pendingLoad) bool {
	e := s.endpoints[w.endpoint]
	w.waiting = slices.DeleteFunc(w.waiting, func(q *simRequest) bool {
		gaveUp := s.now-q.arrival > simTimeout
		if gaveUp {
			e.waitingTokens -= q.tokens
			s.result.abandoned++
		}
		return gaveUp
	})
	if len(w.waiting) == 0 {
		return true
	}
	if !e.makeRoom(s.now) {
		s.reassign(w)
		return false
	}
	duration := simMemoryLoad
	if !e.cached(w.adapter) {
		duration = simStoreLoad * max(simStoreParallel, len(s.storeLoads)+1) / simStoreParallel
		s.storeLoads = append(s.storeLoads, s.now+duration)
	}
	s.result.loads++
	e.slots[w.adapter] = &simSlot{ready: s.now + duration}
	for _, q := range w.waiting {
		e.waitingTokens -= q.tokens
		e.enqueue(q)
	}
	return true
}

// reassign moves a waiting load to another endpoint if the policy now prefers that.
func (s *simulation) reassign(w *pendingLoad) {
	to := s.choose(s, w.adapter)
	if to == w.endpoint {
		return
	}
	for _, q := range w.waiting {
		s.endpoints[w.endpoint].waitingTokens -= q.tokens
		s.endpoints[to].waitingTokens += q.tokens
	}
	w.endpoint = to
}

// makeRoom makes room for one adapter, evicting the least recently used idle one if necessary. It
// returns false if every slot is in use.
func (e *simEndpoint) makeRoom(now int) bool {
	if len(e.slots) < simSlots {
		return true
	}
	victim := -1
	for a, t := range e.slots {
		if t.runs > 0 || t.ready > now {
			continue
		}
		if current := e.slots[victim]; current == nil || t.lastUsed < current.lastUsed || (t.lastUsed == current.lastUsed && a < victim) {
			victim = a
		}
	}
	if victim < 0 {
		return false
	}
	delete(e.slots, victim)
	e.evictions++
	e.evicted[victim] = e.evictions
	return true
}

// cached reports whether the endpoint's memory still caches an evicted adapter.
func (e *simEndpoint) cached(adapter int) bool {
	n, ok := e.evicted[adapter]
	return ok && e.evictions-n < simCacheSize
}

func (e *simEndpoint) enqueue(q *simRequest) {
	e.slots[q.adapter].runs++
	e.queue = append(e.queue, q)
	if len(e.queue) == 1 {
		e.headTokens = q.tokens
	}
}

// queuedTokens returns the number of queued prompt tokens that the endpoint has not processed.
func (e *simEndpoint) queuedTokens() int {
	n := e.headTokens
	for _, q := range e.queue[min(1, len(e.queue)):] {
		n += q.tokens
	}
	return n
}

// processPrompts ends the runs that are due and processes queued prompts for one millisecond, in order,
// skipping those whose adapter is still being loaded.
func (s *simulation) processPrompts(e *simEndpoint) {
	for _, a := range e.runEnds[s.now] {
		t := e.slots[a]
		t.runs--
		t.lastUsed = s.now
	}
	delete(e.runEnds, s.now)
	for budget := simPromptRate; budget > 0; {
		i := slices.IndexFunc(e.queue, func(q *simRequest) bool { return e.slots[q.adapter].ready <= s.now })
		if i < 0 {
			return
		}
		if i > 0 { // its adapter was loaded before that of the first prompt
			q := e.queue[i]
			e.queue = slices.Insert(slices.Delete(e.queue, i, i+1), 0, q)
			e.headTokens = q.tokens
		}
		processed := min(budget, e.headTokens)
		budget -= processed
		if e.headTokens -= processed; e.headTokens > 0 {
			return
		}
		s.finishPrompt(e)
	}
}

// finishPrompt completes the first prompt in the queue: it counts the request and schedules the end
// of its run.
func (s *simulation) finishPrompt(e *simEndpoint) {
	q := e.queue[0]
	e.queue = e.queue[1:]
	if len(e.queue) > 0 {
		e.headTokens = e.queue[0].tokens
	}
	switch latency := s.now - q.arrival; {
	case latency <= q.target:
		s.result.inTime++
	case latency <= simTimeout:
		s.result.late++
	default:
		s.result.abandoned++
	}
	e.runEnds[s.now+q.runTime] = append(e.runEnds[s.now+q.runTime], q.adapter)
}
