// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"
)

// notifier sends updates to other boxes, and retries those that did not answer. Set the exported fields before Run.
type notifier struct {
	Wake   <-chan struct{}                // signals that an update is pending
	Tell   func(ctx context.Context) bool // sends pending updates; reports whether all recipients got them
	Again  time.Duration                  // delay before a retry to the recipients that failed
	Expire func()                         // removes expired state; called periodically
}

// Run sends updates until ctx ends.
func (t notifier) Run(ctx context.Context) error {
	expire := time.NewTicker(expirePause)
	defer expire.Stop()
	var again <-chan time.Time // nil: no retry is due
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.C:
			t.Expire()
			continue
		case <-t.Wake:
		case <-again:
		}
		again = nil
		if !t.Tell(ctx) {
			again = time.After(t.Again)
		}
	}
	return nil
}
