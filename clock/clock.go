// SPDX-License-Identifier: Apache-2.0

// Package clock provides times for decisions that depend on elapsed time: how recent another box's status
// is, how long a lease remains valid, whether a request meets its deadline.
//
// The monotonic reading of time.Time stops while the machine is suspended, and the wall clock
// may jump. A box that was suspended for five seconds would treat data received before as current: it
// would accept revoked API keys and write under expired grants. Times of this
// package include suspensions. Compare them only with each other: timers, deadlines of connections and
// contexts, and the time of day need times of package time.
package clock

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Check returns an error if CLOCK_BOOTTIME is unavailable, so that suspensions go undetected.
func Check() error {
	var t unix.Timespec
	return errors.Wrap(unix.ClockGettime(unix.CLOCK_BOOTTIME, &t), "clock: read CLOCK_BOOTTIME")
}

// Now returns the current time. The difference between two results includes time during which the machine was
// suspended.
func Now() time.Time {
	now := time.Now()
	return now.Add(processCounter.suspended(now))
}

// Since returns the time elapsed since t, which is based on Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time remaining until t, which is based on Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// SystemTime converts t, which is based on Now, to a time of package time that is equally far away.
func SystemTime(t time.Time) time.Time { return time.Now().Add(Until(t)) }

// SimulateSuspend advances all later times as if the machine had been suspended for d. It is for tests.
func SimulateSuspend(d time.Duration) {
	processCounter.mu.Lock()
	defer processCounter.mu.Unlock()
	processCounter.simulated += d
}

// refreshInterval is how long a suspension count is reused, since refreshing it costs a system call and a
// box reads the time hundreds of times per second. It is far below any duration on which a decision depends.
const refreshInterval = time.Millisecond

// suspendCounter measures how long the machine has been suspended since the counter was created.
type suspendCounter struct {
	boot func() time.Duration // time since the machine started, including suspensions

	mu            sync.Mutex
	startedAt     time.Time     // creation of the counter
	startedAtBoot time.Duration // the same as a reading of boot
	refreshedAt   time.Time     // latest reading of boot
	total         time.Duration // never decreases
	simulated     time.Duration
}

var processCounter = newSuspendCounter(sinceBoot)

func newSuspendCounter(boot func() time.Duration) *suspendCounter {
	now := time.Now() // before boot, so that a delay between the readings does not count as a suspension
	return &suspendCounter{boot: boot, startedAt: now, startedAtBoot: boot()}
}

// suspended returns how long the machine has been suspended until now, or slightly less, since a delay
// between the readings of the two clocks must not count.
func (c *suspendCounter) suspended(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.Before(c.startedAt) && now.Sub(c.refreshedAt) >= refreshInterval { // earlier times are from a test's fake clock
		boot := c.boot()
		c.refreshedAt = time.Now()
		c.total = max(c.total, boot-c.startedAtBoot-c.refreshedAt.Sub(c.startedAt))
	}
	return c.total + c.simulated
}

// sinceBoot returns the time since the machine started, or zero if CLOCK_BOOTTIME is unavailable, which Check
// reports.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
