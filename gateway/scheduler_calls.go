// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"

	"cairnwick.example/clock"
	"cairnwick.example/member"
)

// schedulerCalls cancels calls to schedulers that stop serving, so that no request waits for a
// dead one. It is safe for concurrent use.
type schedulerCalls struct {
	mu      sync.Mutex
	targets map[string]*callTarget // by name for schedulers of this gateway's data centre, by dataCentreTarget for others
}

// callTarget is a context that ends when the target no longer serves.
type callTarget struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newSchedulerCalls() *schedulerCalls {
	return &schedulerCalls{targets: make(map[string]*callTarget)}
}

// withTarget returns a context that ends with ctx or when the target stops serving. The returned function
// releases it.
func (s *schedulerCalls) withTarget(ctx context.Context, target string) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	t := s.targets[target]
	if t == nil {
		t = &callTarget{}
		t.ctx, t.cancel = context.WithCancel(context.Background())
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

// cancelExcept cancels the calls to all targets that are not in serving.
func (s *schedulerCalls) cancelExcept(serving map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, t := range s.targets {
		if !serving[n] {
			t.cancel()
			delete(s.targets, n)
		}
	}
}

// monitorMembers cancels calls to schedulers that stop serving, until ctx ends.
func (g *Gateway) monitorMembers(ctx context.Context) error {
	for {
		changed := g.Members.Changed()
		g.cancelStaleCalls()
		select {
		case <-ctx.Done():
			g.calls.cancelExcept(nil)
			return nil
		case <-changed:
		}
	}
}

// cancelStaleCalls cancels calls to schedulers that no longer serve and to unreachable data centres.
func (g *Gateway) cancelStaleCalls() {
	serving := make(map[string]bool)
	for _, m := range g.Members.Serving(member.Scheduler) {
		serving[m.Name()] = true
	}
	for _, c := range g.reachability.reachable(clock.Now()) {
		serving[dataCentreTarget(c)] = true
	}
	g.calls.cancelExcept(serving)
}

// dataCentreTarget returns the target of calls to another data centre. The whole data centre is one target,
// since heartbeats do not cover its individual schedulers.
func dataCentreTarget(dataCentre string) string { return "data centre " + dataCentre }
