// SPDX-License-Identifier: Apache-2.0

package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	queueLines = 2048             // lines held for a reader that stands still: under 1 MB
	batchBytes = 32 << 10         // written at a time
	flushLimit = time.Second      // for what is queued at the end
	dropNotice = 10 * time.Second // at most so often a line tells how many were left out
)

// LeftOut is the sentence of the notice of lines that were left out.
const LeftOut = "Log lines were left out"

// Bounded is a writer of lines that never blocks: a reader that stands still costs
// lines, not requests. Set the exported fields before Run.
type Bounded struct {
	Out io.Writer
	Box string // that writes; stands in the notice of lines that were left out

	lines   chan []byte
	dropped atomic.Int64 // since the last notice
	left    atomic.Int64 // left out in all
}

// NewBounded returns a writer onto out.
func NewBounded(out io.Writer) *Bounded {
	return &Bounded{Out: out, lines: make(chan []byte, queueLines)}
}

// Write queues one line, or counts it as left out.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.dropped.Add(1)
		b.left.Add(1)
	}
	return len(line), nil
}

// Pressed tells whether the reader is behind, so that lines of little worth had
// better not be written.
func (b *Bounded) Pressed() bool { return len(b.lines) > queueLines/2 }

// Dropped returns how many lines were left out.
func (b *Bounded) Dropped() int64 { return b.left.Load() }

// Run writes what is queued until ctx ends, and then what is left, as far as the
// reader takes it.
func (b *Bounded) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- b.write(ctx) }()
	<-ctx.Done()
	select {
	case err := <-done:
		return err
	case <-time.After(flushLimit):
		return nil // the reader stands still; the process does not wait for it
	}
}

func (b *Bounded) write(ctx context.Context) error {
	var batch []byte
	told := time.Time{}
	for {
		select {
		case line := <-b.lines:
			batch = b.gather(append(batch[:0], line...))
		case <-ctx.Done():
			batch = b.gather(batch[:0])
		}
		if n := b.dropped.Load(); n > 0 && time.Since(told) > dropNotice {
			b.dropped.Add(-n)
			told = time.Now()
			batch = fmt.Appendf(batch, `{"time":%q,"level":"WARN","msg":%q,"box":%q,"lines":%d}`+"\n", told.Format(time.RFC3339Nano), LeftOut, b.Box, n)
		}
		if _, err := b.Out.Write(batch); err != nil {
			return err
		}
		if ctx.Err() != nil && len(b.lines) == 0 {
			return nil
		}
	}
}

// gather adds what else is queued, so that many lines cost one system call.
func (b *Bounded) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
