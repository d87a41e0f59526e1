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
	maxQueuedLines     = 2048             // lines buffered for a slow reader: less than 1 MB
	maxBatchBytes      = 32 << 10         // target size of one write
	flushTimeout       = time.Second      // for the lines still queued at shutdown
	dropNoticeInterval = 10 * time.Second // minimum time between two notices of dropped lines
)

// LinesDroppedMessage is the message of the log line that reports dropped lines.
const LinesDroppedMessage = "Log lines were left out"

// BoundedWriter is a line writer that never blocks: it drops lines while the reader of its
// output is blocked, so that logging does not delay requests. Set the exported fields before
// Run.
type BoundedWriter struct {
	Out io.Writer
	Box string // name of the own box, for the notice of dropped lines

	lines      chan []byte
	unreported atomic.Int64 // since the last notice
	dropped    atomic.Int64 // in total
}

// NewBoundedWriter returns a writer to out. Run must be called for the lines to be written.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	return &BoundedWriter{Out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues one line, or drops and counts it if the queue is full.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.unreported.Add(1)
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Backlogged reports whether the queue is more than half full. Callers should then omit lines
// of low importance.
func (b *BoundedWriter) Backlogged() bool { return len(b.lines) > maxQueuedLines/2 }

// Dropped returns the total number of dropped lines.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Run writes the queued lines until ctx ends, and then flushes the rest of the queue within
// flushTimeout.
func (b *BoundedWriter) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- b.writeQueued(ctx) }()
	<-ctx.Done()
	select {
	case err := <-done:
		return err
	case <-time.After(flushTimeout):
		return nil // a blocked reader must not keep the process from ending
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

// appendQueued appends queued lines to the batch until it is full, so that many lines need
// only one system call.
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
