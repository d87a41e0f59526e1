// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"

	"cairnwick.example/clock"
	"cairnwick.example/member"
)

// schedulerCalls ends calls to schedulers that stop serving, so that no request waits
// for one that is gone. It is safe for concurrent use.
type schedulerCalls struct {
	mu      sync.Mutex
	targets map[string]*callTarget // by scheduler in the own data centre, by centreKey elsewhere
}

// callTarget is a context that ends when the target no longer serves.
type callTarget struct {
	ctx context.Context
	end context.CancelFunc
}

func newSchedulerCalls() *schedulerCalls {
	return &schedulerCalls{targets: make(map[string]*callTarget)}
}

// with returns a context that ends with ctx or when the target stops serving.
func (s *schedulerCalls) with(ctx context.Context, target string) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	t := s.targets[target]
	if t == nil {
		t = &callTarget{}
		t.ctx, t.end = context.WithCancel(context.Background())
		s.targets[target] = t
	}
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(t.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// keep ends the calls to all targets that are not among the serving.
func (s *schedulerCalls) keep(serving map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, t := range s.targets {
		if !serving[n] {
			t.end()
			delete(s.targets, n)
		}
	}
}

// followMembers ends calls to schedulers as the view changes.
func (g *Gateway) followMembers(ctx context.Context) error {
	for {
		changed := g.Members.Changed()
		g.endStaleCalls()
		select {
		case <-ctx.Done():
			g.calls.keep(nil)
			return nil
		case <-changed:
		}
	}
}

// endStaleCalls ends calls to schedulers that do not serve any more and to data
// centres that can't be reached.
func (g *Gateway) endStaleCalls() {
	serving := make(map[string]bool)
	for _, m := range g.Members.Serving(member.Scheduler) {
		serving[m.Name()] = true
	}
	for _, c := range g.reach.all(clock.Now()) {
		serving[centreKey(c)] = true
	}
	g.calls.keep(serving)
}

// centreKey names another data centre as the target of calls, since the heartbeats here
// tell nothing of a single scheduler there.
func centreKey(centre string) string { return "data centre " + centre }
