// SPDX-License-Identifier: Apache-2.0

package measure

import "slices"

// simulate runs the requests against a fresh site, in steps of one millisecond.
func simulate(list []*simRequest, choose chooser) simResult {
	s := &simulation{choose: choose}
	for range simEndpoints {
		s.endpoints = append(s.endpoints, &simEndpoint{slots: make(map[int]*simSlot), left: make(map[int]int), ends: make(map[int][]int)})
	}
	next := 0
	end := list[len(list)-1].arrived + 3*simPatience
	for ; s.now < end; s.now++ {
		for ; next < len(list) && list[next].arrived <= s.now; next++ {
			s.place(list[next])
		}
		s.fetching = slices.DeleteFunc(s.fetching, func(at int) bool { return at <= s.now })
		s.wants = slices.DeleteFunc(s.wants, s.begin)
		for _, e := range s.endpoints {
			s.read(e)
		}
	}
	return s.result
}

// place sends a request to the least busy endpoint that holds its adapter. If there is none, it
// adds the request to a waiting load of the adapter or asks for a new one.
func (s *simulation) place(q *simRequest) {
	var holder *simEndpoint
	for _, e := range s.endpoints {
		if e.slots[q.adapter] != nil && (holder == nil || e.unread() < holder.unread()) {
			holder = e
		}
	}
	if holder != nil {
		holder.send(q)
		return
	}
	for _, w := range s.wants {
		if w.adapter == q.adapter {
			s.endpoints[w.endpoint].wanted += q.tokens
			w.waiting = append(w.waiting, q)
			return
		}
	}
	w := &simWant{adapter: q.adapter, endpoint: s.choose(s, q.adapter), waiting: []*simRequest{q}}
	s.endpoints[w.endpoint].wanted += q.tokens
	s.wants = append(s.wants, w)
}

// begin starts a load if its endpoint has an empty or idle slot. It returns true if the load no
// longer waits: it has started, or all its callers have given up.
func (s *simulation) begin(w *simWant) bool {
	e := s.endpoints[w.endpoint]
	w.waiting = slices.DeleteFunc(w.waiting, func(q *simRequest) bool {
		left := s.now-q.arrived > simPatience
		if left {
			e.wanted -= q.tokens
			s.result.lost++
		}
		return left
	})
	if len(w.waiting) == 0 {
		return true
	}
	if !e.empty(s.now) {
		s.move(w)
		return false
	}
	took := simWarm
	if !e.remembers(w.adapter) {
		took = simStore * max(simStoreMost, len(s.fetching)+1) / simStoreMost
		s.fetching = append(s.fetching, s.now+took)
	}
	s.result.loads++
	e.slots[w.adapter] = &simSlot{ready: s.now + took}
	for _, q := range w.waiting {
		e.wanted -= q.tokens
		e.send(q)
	}
	return true
}

// move reassigns a waiting load if the policy now prefers another endpoint.
func (s *simulation) move(w *simWant) {
	to := s.choose(s, w.adapter)
	if to == w.endpoint {
		return
	}
	for _, q := range w.waiting {
		s.endpoints[w.endpoint].wanted -= q.tokens
		s.endpoints[to].wanted += q.tokens
	}
	w.endpoint = to
}

// empty makes room for one adapter, evicting the least recently used idle one if necessary. It
// returns false if every slot is in use.
func (e *simEndpoint) empty(now int) bool {
	if len(e.slots) < simSlots {
		return true
	}
	oldest := -1
	for a, t := range e.slots {
		if t.runs > 0 || t.ready > now {
			continue
		}
		if o := e.slots[oldest]; o == nil || t.used < o.used || (t.used == o.used && a < oldest) {
			oldest = a
		}
	}
	if oldest < 0 {
		return false
	}
	delete(e.slots, oldest)
	e.count++
	e.left[oldest] = e.count
	return true
}

// remembers reports whether the endpoint's memory still caches an evicted adapter.
func (e *simEndpoint) remembers(adapter int) bool {
	n, ok := e.left[adapter]
	return ok && e.count-n < simMemory
}

func (e *simEndpoint) send(q *simRequest) {
	e.slots[q.adapter].runs++
	e.queue = append(e.queue, q)
	if len(e.queue) == 1 {
		e.rest = q.tokens
	}
}

// unread returns the number of queued prompt tokens that the endpoint has not processed.
func (e *simEndpoint) unread() int {
	n := e.rest
	for _, q := range e.queue[min(1, len(e.queue)):] {
		n += q.tokens
	}
	return n
}

// read ends the runs that are due and processes queued prompts for one millisecond, in order,
// skipping those whose adapter is still being loaded.
func (s *simulation) read(e *simEndpoint) {
	for _, a := range e.ends[s.now] {
		t := e.slots[a]
		t.runs--
		t.used = s.now
	}
	delete(e.ends, s.now)
	for budget := simReads; budget > 0; {
		i := slices.IndexFunc(e.queue, func(q *simRequest) bool { return e.slots[q.adapter].ready <= s.now })
		if i < 0 {
			return
		}
		if i > 0 { // its adapter was loaded before that of the first prompt
			q := e.queue[i]
			e.queue = slices.Insert(slices.Delete(e.queue, i, i+1), 0, q)
			e.rest = q.tokens
		}
		read := min(budget, e.rest)
		budget -= read
		if e.rest -= read; e.rest > 0 {
			return
		}
		s.answer(e)
	}
}

// answer completes the first prompt in the queue: it counts the request and schedules the end
// of its run.
func (s *simulation) answer(e *simEndpoint) {
	q := e.queue[0]
	e.queue = e.queue[1:]
	if len(e.queue) > 0 {
		e.rest = e.queue[0].tokens
	}
	switch took := s.now - q.arrived; {
	case took <= q.target:
		s.result.inTime++
	case took <= simPatience:
		s.result.late++
	default:
		s.result.lost++
	}
	e.ends[s.now+q.run] = append(e.ends[s.now+q.run], q.adapter)
}
