// SPDX-License-Identifier: Apache-2.0

// Package clock gives the time for decisions that depend on an age: how recent another box's status
// is, how long a lease still runs, whether a request is still in time.
//
// The steady reading of time.Time stands still while the machine is suspended, and the time of day
// may jump. A box that was suspended for five seconds would take what it received before for news: it
// would serve by keys that were taken away, and write under grants that have ended. Times of this
// package count a suspension. They are for each other: a timer, a deadline of a connection or of a
// context and the time of day need those of package time.
package clock

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Check returns an error where the system does not give the time since the machine started, so that
// suspensions don't count.
func Check() error {
	var t unix.Timespec
	return errors.Wrap(unix.ClockGettime(unix.CLOCK_BOOTTIME, &t), "clock: time since the machine started")
}

// Now returns the present time. The difference of two counts time in which the machine was suspended.
func Now() time.Time {
	now := time.Now()
	return now.Add(processCounter.suspended(now))
}

// Since returns how long ago a time of Now was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how long it is until a time of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Timer returns the time of package time that is as far away as a time of Now.
func SystemTime(t time.Time) time.Time { return time.Now().Add(Until(t)) }

// Suspend has all later times be as after a suspension of the machine. It is for tests.
func SimulateSuspend(d time.Duration) {
	processCounter.mu.Lock()
	defer processCounter.mu.Unlock()
	processCounter.simulated += d
}

// lookAgain is how long what is known of suspensions holds: a look is a call of the system, and a
// box takes hundreds of times in a second. It is far below any age that decides.
const refreshInterval = time.Millisecond

// counter counts how long the machine was suspended since the counter was made.
type suspendCounter struct {
	boot func() time.Duration // since the machine started, suspensions included

	mu            sync.Mutex
	startedAt     time.Time     // when it was made, and
	startedAtBoot time.Duration // the same by boot
	refreshedAt   time.Time     // when boot was asked last
	total         time.Duration // never falls
	simulated     time.Duration
}

var processCounter = newSuspendCounter(sinceBoot)

func newSuspendCounter(boot func() time.Duration) *suspendCounter {
	began := time.Now() // first: what passes before the other reading must not count as a suspension
	return &suspendCounter{boot: boot, startedAt: began, startedAtBoot: boot()}
}

// suspended returns how long the machine was suspended until now, or somewhat less: what passes
// between the readings of two clocks must not count.
func (c *suspendCounter) suspended(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.Before(c.startedAt) && now.Sub(c.refreshedAt) >= refreshInterval { // a time before that is of a test's own clock
		boot := c.boot()
		c.refreshedAt = time.Now()
		c.total = max(c.total, boot-c.startedAtBoot-c.refreshedAt.Sub(c.startedAt))
	}
	return c.total + c.simulated
}

// sinceBoot returns how long ago the machine started; zero where the system does not say, which
// Check reports.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
