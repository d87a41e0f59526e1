// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"sync"
	"time"

	"cairnwick.example/clock"
)

const (
	pauseCheckInterval = 100 * time.Millisecond
	// minPause is how long this process must not have run for a pause. A process that has used up its processor share is
	// suspended for 100 ms.
	minPause = 4 * pauseCheckInterval
	// pauseSettleTime is how long after a pause something may still arrive that was sent before its end. Connections without
	// data for that long are closed.
	pauseSettleTime = connSilenceLimit
)

// pauses detects when this process did not run, as after SIGSTOP or a suspension of the machine. What arrived meanwhile is read
// afterwards, and is older than it seems. The zero value knows of no pause.
type pauses struct {
	mu        sync.Mutex
	checkedAt time.Time // of the latest check; zero: run has not started
	began     time.Time // of the latest pause
	ended     time.Time
}

// run checks for pauses until ctx ends.
func (p *pauses) run(ctx context.Context) error {
	t := time.NewTicker(pauseCheckInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		p.check(clock.Now())
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	return nil
}

func (p *pauses) check(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.checkedAt.IsZero() && now.Sub(p.checkedAt) >= minPause {
		p.began, p.ended = p.checkedAt, now
	}
	p.checkedAt = now
}

// sentBy returns the earliest time at which something that was read now may have been sent, but for its time in transit.
func (p *pauses) sentBy(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.checkedAt.IsZero() && now.Sub(p.checkedAt) >= minPause: // the pause has just ended
		return p.checkedAt
	case !p.ended.IsZero() && now.Sub(p.ended) < pauseSettleTime:
		return p.began
	}
	return now
}
