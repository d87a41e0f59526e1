// SPDX-License-Identifier: Apache-2.0

package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// balancer simulates the platform's load balancer: it selects gateways whose readiness
// check succeeds. It is safe for concurrent use.
type balancer struct {
	health map[string]string // URL of the readiness check by gateway

	mu    sync.Mutex
	ready map[string]bool
}

const (
	healthEvery   = 50 * time.Millisecond
	healthTimeout = 500 * time.Millisecond
)

// run checks the readiness of all gateways periodically until ctx is done.
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

// choose returns the preferred gateway if it is ready or none is, otherwise the first ready one.
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
