// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"
)

// notifier sends updates to other boxes, and retries those that did not answer. Set the exported fields before Run.
type notifier struct {
	Wake       <-chan struct{}                // signals that an update is pending
	Send       func(ctx context.Context) bool // sends pending updates; reports whether all recipients got them
	RetryDelay time.Duration                  // delay before a retry to the recipients that failed
	Expire     func()                         // removes expired state; called periodically
}

// Run sends updates until ctx ends.
func (t notifier) Run(ctx context.Context) error {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	var retry <-chan time.Time // nil: no retry is due
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.C:
			t.Expire()
			continue
		case <-t.Wake:
		case <-retry:
		}
		retry = nil
		if !t.Send(ctx) {
			retry = time.After(t.RetryDelay)
		}
	}
	return nil
}
