// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"
)

// teller tells other boxes what this one learnt. Set the exported fields before Run.
type teller struct {
	Wake   <-chan struct{}                // holds one when there is something to tell
	Tell   func(ctx context.Context) bool // returns whether all were told
	Again  time.Duration                  // after which those that did not answer are told anew
	Expire func()                         // forgets what is over, now and then
}

// Run tells until ctx ends.
func (t teller) Run(ctx context.Context) error {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	var again <-chan time.Time // nil: all were told
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
