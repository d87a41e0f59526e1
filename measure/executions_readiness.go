// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	readinessInterval = 500 * time.Millisecond // between two checks of a box, and the longest wait for its response
	readinessMisses   = 2                      // checks in a row that take a box out
)

// balancedBox is a box as a load balancer sees it.
type balancedBox struct {
	callers string // address for requests
	ready   string // address of its readiness check
	misses  int    // in a row
}

// balancer chooses among the boxes that are ready.
type balancer struct {
	http http.Client

	mu    sync.Mutex
	boxes []*balancedBox
}

func newBalancer(boxes []*balancedBox) *balancer {
	return &balancer{boxes: boxes, http: http.Client{Timeout: readinessInterval}}
}

// run checks all boxes until ctx ends.
func (b *balancer) run(ctx context.Context) {
	var running sync.WaitGroup
	for _, box := range b.boxes {
		running.Go(func() {
			for ctx.Err() == nil {
				b.record(box, b.isReady(ctx, box))
				select {
				case <-ctx.Done():
				case <-time.After(readinessInterval):
				}
			}
		})
	}
	running.Wait()
	b.http.CloseIdleConnections()
}

func (b *balancer) isReady(ctx context.Context, box *balancedBox) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+box.ready+"/", nil)
	if err != nil {
		return false
	}
	resp, err := b.http.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *balancer) record(box *balancedBox, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	box.misses++
	if ready {
		box.misses = 0
	}
}

// choose returns the address of a random box that is ready, or of any if none is.
func (b *balancer) choose(random *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*balancedBox
	for _, box := range b.boxes {
		if box.misses < readinessMisses {
			ready = append(ready, box)
		}
	}
	if len(ready) == 0 {
		ready = b.boxes
	}
	return ready[random.IntN(len(ready))].callers
}
