// SPDX-License-Identifier: Apache-2.0

package member

import (
	"context"
	"testing"
	"time"

	"cairnwick.example/clock"
	"github.com/frankban/quicktest"
)

// A machine was suspended, and the others took its daemons for dead. A daemon that does not see the
// gap goes on by what it knew: it leads, owns and hands out what others have by now.
func TestSuspendedDaemonInvalidatesItsView(t *testing.T) {
	c := quicktest.New(t)
	l := make(memoryNetwork).join("a")
	l.Interval, l.PauseLimit = 10*time.Millisecond, 3*time.Second
	paused := make(chan time.Duration, 1)
	l.OnPause = func(gap time.Duration) { paused <- gap }
	beats := make(chan struct{}, 1)
	l.RemotePeers = func() []string {
		select {
		case beats <- struct{}{}:
		default:
		}
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	<-beats // from now on it counts the time between two
	clock.SimulateSuspend(5 * time.Second)
	c.Cleanup(func() { clock.SimulateSuspend(-5 * time.Second) })
	c.Assert(<-paused >= 5*time.Second, quicktest.IsTrue)
	cancel()
	c.Assert(<-done, quicktest.IsNil)
}
