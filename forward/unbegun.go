// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"slices"
	"sync"

	"cairnwick.example/quarantine"
)

// unbegunAttempts are the attempts of requests with shared prompt parts to which endpoints have not begun to respond. The
// zero value is empty.
type unbegunAttempts struct {
	mu     sync.Mutex
	cancel map[*request]context.CancelFunc
}

// add returns a context for an attempt, which is cancelled if a part of its prompt is quarantined before remove is called.
func (a *unbegunAttempts) add(ctx context.Context, q *request) (attempt context.Context, end func()) {
	if len(q.parts) == 0 {
		return ctx, func() {}
	}
	attempt, cancel := context.WithCancel(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel == nil {
		a.cancel = make(map[*request]context.CancelFunc)
	}
	a.cancel[q] = cancel
	return attempt, func() {
		a.remove(q)
		cancel()
	}
}

// remove removes the attempt of a request.
func (a *unbegunAttempts) remove(q *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.cancel, q)
}

// cancelWith cancels the attempts of requests with a part, and returns their number.
func (a *unbegunAttempts) cancelWith(c quarantine.Fingerprint) (count int) {
	isPart := func(p quarantine.Part) bool { return p.Own() == c || p.Common() == c }
	a.mu.Lock()
	defer a.mu.Unlock()
	for q, cancel := range a.cancel {
		if slices.ContainsFunc(q.parts, isPart) {
			cancel()
			delete(a.cancel, q)
			count++
		}
	}
	return count
}

// CancelQuarantined cancels the requests with a quarantined prompt part to which endpoints have not begun to respond: the
// endpoints drop them before they end under them.
func (g *Gateway) CancelQuarantined(c quarantine.Fingerprint) {
	if n := g.unbegun.cancelWith(c); n > 0 {
		g.Log.Info("Requests with a quarantined prompt part are cancelled", "content", c.String(), "requests", n)
	}
}
