// SPDX-License-Identifier: Apache-2.0

package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// balancer stands in for the platform's: it sends requests to gateways that say
// that they are ready. It is safe for concurrent use.
type balancer struct {
	health map[string]string // URL of readiness by gateway

	mu    sync.Mutex
	ready map[string]bool
}

const (
	healthEvery   = 50 * time.Millisecond
	healthTimeout = 500 * time.Millisecond
)

// run asks every gateway for its readiness until ctx ends.
func (b *balancer) run(ctx context.Context) error {
	c := &http.Client{Timeout: healthTimeout}
	defer c.CloseIdleConnections()
	for ctx.Err() == nil {
		for gateway, url := range b.health {
			b.set(gateway, answers(ctx, c, url))
		}
		sleepUntil(ctx, time.Now().Add(healthEvery))
	}
	return nil
}

func answers(ctx context.Context, c *http.Client, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	a, err := c.Do(r)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}

func (b *balancer) set(gateway string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[gateway] = ready
}

// choose returns the wanted gateway when it is ready, else another that is.
func (b *balancer) choose(wanted string, all []string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ready[wanted] {
		return wanted
	}
	for _, g := range all {
		if b.ready[g] {
			return g
		}
	}
	return wanted
}
