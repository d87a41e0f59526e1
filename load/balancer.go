// SPDX-License-Identifier: Apache-2.0

package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// loadBalancer simulates the platform's load balancer: it selects gateways whose readiness
// check succeeds. It is safe for concurrent use.
type loadBalancer struct {
	health map[string]string // URL of the readiness check by gateway

	mu    sync.Mutex
	ready map[string]bool
}

const (
	healthInterval = 50 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
)

// run checks the readiness of all gateways periodically until ctx is done.
func (b *loadBalancer) run(ctx context.Context) error {
	c := &http.Client{Timeout: healthTimeout}
	defer c.CloseIdleConnections()
	for ctx.Err() == nil {
		for gateway, url := range b.health {
			b.set(gateway, isReady(ctx, c, url))
		}
		sleepUntil(ctx, time.Now().Add(healthInterval))
	}
	return nil
}

func isReady(ctx context.Context, c *http.Client, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *loadBalancer) set(gateway string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[gateway] = ready
}

// choose returns the preferred gateway if it is ready or none is, otherwise the first ready one.
func (b *loadBalancer) choose(preferred string, gateways []string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ready[preferred] {
		return preferred
	}
	for _, g := range gateways {
		if b.ready[g] {
			return g
		}
	}
	return preferred
}
