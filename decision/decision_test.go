// SPDX-License-Identifier: Apache-2.0

package decision

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

func TestHistoryKeepsLastDecisions(t *testing.T) {
	c := quicktest.New(t)
	h := NewHistory(3)
	for i := range 5 {
		h.Add(&wire.Decision{Request: fmt.Sprint(i % 2), Detail: fmt.Sprint(i)})
	}
	list := h.ForRequest("0")
	c.Assert(list, quicktest.HasLen, 2)
	c.Assert(list[0].GetDetail(), quicktest.Equals, "2")
	c.Assert(h.ForRequest("9"), quicktest.HasLen, 0)
}

func TestWatchSendsDecisionsThatMatchFilter(t *testing.T) {
	c := quicktest.New(t)
	h := NewHistory(3)
	ctx, cancel := context.WithCancel(context.Background())
	seen := make(chan *wire.Decision, 8)
	done := make(chan error, 1)
	go func() {
		done <- h.Watch(ctx, &wire.WatchRequest{Class: "counter"}, func(d *wire.Decision) error {
			seen <- d
			return nil
		})
	}()
	for h.watcherCount.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	h.Add(&wire.Decision{Class: "overnight"})
	h.Add(&wire.Decision{Class: "counter"})
	c.Assert((<-seen).GetClass(), quicktest.Equals, "counter")
	cancel()
	c.Assert(<-done, quicktest.IsNil)
	c.Assert(h.watcherCount.Load(), quicktest.Equals, int32(0))
}

func BenchmarkAddWithoutWatchers(b *testing.B) {
	h := NewHistory(4096)
	d := &wire.Decision{Request: "r", Class: "counter"}
	b.ReportAllocs()
	for b.Loop() {
		h.Add(d)
	}
}
