// SPDX-License-Identifier: Apache-2.0

package member

import (
	"context"
	"testing"
	"time"

	"cairnwick.example/clock"
	"github.com/frankban/quicktest"
)

// While a machine is suspended, the others declare its daemons dead. A daemon that does not detect the
// gap continues to act on its old view: it leads, owns and grants what others have taken over.
func TestSuspendedDaemonInvalidatesItsView(t *testing.T) {
	c := quicktest.New(t)
	l := make(memoryNetwork).join("a")
	l.Interval, l.PauseLimit = 10*time.Millisecond, 3*time.Second
	paused := make(chan time.Duration, 1)
	l.OnPause = func(gap time.Duration) { paused <- gap }
	rounds := make(chan struct{}, 1)
	l.RemotePeers = func() []string {
		select {
		case rounds <- struct{}{}:
		default:
		}
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	<-rounds // the loop has started to measure the time between rounds
	clock.SimulateSuspend(5 * time.Second)
	c.Cleanup(func() { clock.SimulateSuspend(-5 * time.Second) })
	c.Assert(<-paused >= 5*time.Second, quicktest.IsTrue)
	cancel()
	c.Assert(<-done, quicktest.IsNil)
}
