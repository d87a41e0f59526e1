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
	maxQueuedLines     = 2048             // lines held for a reader that stands still: under 1 MB
	maxBatchBytes      = 32 << 10         // written at a time
	flushTimeout       = time.Second      // for what is queued at the end
	dropNoticeInterval = 10 * time.Second // at most so often a line tells how many were left out
)

// LinesDroppedMessage is the sentence of the notice of lines that were left out.
const LinesDroppedMessage = "Log lines were left out"

// BoundedWriter is a writer of lines that never blocks: a reader that stands still costs
// lines, not requests. Set the exported fields before Run.
type BoundedWriter struct {
	Out io.Writer
	Box string // that writes; stands in the notice of lines that were left out

	lines      chan []byte
	unreported atomic.Int64 // since the last notice
	dropped    atomic.Int64 // left out in all
}

// NewBoundedWriter returns a writer onto out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	return &BoundedWriter{Out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues one line, or counts it as left out.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.unreported.Add(1)
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Backlogged tells whether the reader is behind, so that lines of little worth had
// better not be written.
func (b *BoundedWriter) Backlogged() bool { return len(b.lines) > maxQueuedLines/2 }

// Dropped returns how many lines were left out.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Run writes what is queued until ctx ends, and then what is left, as far as the
// reader takes it.
func (b *BoundedWriter) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- b.writeQueued(ctx) }()
	<-ctx.Done()
	select {
	case err := <-done:
		return err
	case <-time.After(flushTimeout):
		return nil // the reader stands still; the process does not wait for it
	}
}

func (b *BoundedWriter) writeQueued(ctx context.Context) error {
	var batch []byte
	lastNotice := time.Time{}
	for {
		select {
		case line := <-b.lines:
			batch = b.appendQueued(append(batch[:0], line...))
		case <-ctx.Done():
			batch = b.appendQueued(batch[:0])
		}
		if n := b.unreported.Load(); n > 0 && time.Since(lastNotice) > dropNoticeInterval {
			b.unreported.Add(-n)
			lastNotice = time.Now()
			batch = fmt.Appendf(batch, `{"time":%q,"level":"WARN","msg":%q,"box":%q,"lines":%d}`+"\n", lastNotice.Format(time.RFC3339Nano), LinesDroppedMessage, b.Box, n)
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
func (b *BoundedWriter) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
