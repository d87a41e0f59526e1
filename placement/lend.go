// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"
)

// lendPause is how long a leader that nobody lent to waits before it asks again.
const lendPause = 100 * time.Millisecond

// Lend gives one load of this leader's share to another leader, unless loads are
// wanted here.
func (l *Loader) Lend(now time.Time) bool {
	l.Init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.needsLocked(now) && l.bucket.take(now, 0)
}

// needsLocked tells whether a load from the store is wanted that could begin.
func (l *Loader) needsLocked(now time.Time) bool {
	for k, w := range l.wants {
		o := l.owned[k.endpoint]
		if !w.worthwhile(now) || w.spare(now) || o == nil || o.phase != owning || o.isWarm(k.adapter) {
			continue
		}
		if _, ok := l.roomLocked(o, k.adapter, now); ok {
			return true
		}
	}
	return false
}

// borrowLocked asks the other leaders for a load when this one's share is used up:
// demand moves between data centres faster than any fixed share.
func (l *Loader) borrowLocked(now time.Time) []func(context.Context) {
	if l.Borrow == nil || l.borrowing || l.bucket.wait(1, now) <= 0 || !l.needsLocked(now) {
		return nil
	}
	l.borrowing = true
	return []func(context.Context){l.borrow}
}

func (l *Loader) borrow(ctx context.Context) {
	lent := l.Borrow(ctx)
	if !lent {
		sleep(ctx, lendPause)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrowing = false
	if lent {
		l.bucket.tokens++
	}
	l.nudge()
}
