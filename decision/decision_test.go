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

func TestTheRecordKeepsTheLastDecisions(t *testing.T) {
	c := quicktest.New(t)
	r := NewRecord(3)
	for i := range 5 {
		r.Add(&wire.Decision{Request: fmt.Sprint(i % 2), Detail: fmt.Sprint(i)})
	}
	list := r.Of("0")
	c.Assert(list, quicktest.HasLen, 2)
	c.Assert(list[0].GetDetail(), quicktest.Equals, "2")
	c.Assert(r.Of("9"), quicktest.HasLen, 0)
}

func TestWatchersSeeWhatPassesTheirFilter(t *testing.T) {
	c := quicktest.New(t)
	r := NewRecord(3)
	ctx, cancel := context.WithCancel(context.Background())
	seen := make(chan *wire.Decision, 8)
	done := make(chan error, 1)
	go func() {
		done <- r.Watch(ctx, &wire.WatchRequest{Class: "counter"}, func(d *wire.Decision) error {
			seen <- d
			return nil
		})
	}()
	for r.watched.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.Add(&wire.Decision{Class: "overnight"})
	r.Add(&wire.Decision{Class: "counter"})
	c.Assert((<-seen).GetClass(), quicktest.Equals, "counter")
	cancel()
	c.Assert(<-done, quicktest.IsNil)
	c.Assert(r.watched.Load(), quicktest.Equals, int32(0))
}

func BenchmarkAddWithNobodyWatching(b *testing.B) {
	r := NewRecord(4096)
	d := &wire.Decision{Request: "r", Class: "counter"}
	b.ReportAllocs()
	for b.Loop() {
		r.Add(d)
	}
}
