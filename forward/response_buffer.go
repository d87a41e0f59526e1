// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	maxUntaken = 1 << 20 // bytes of one response that its caller has not taken
	minBlock   = 512     // bytes; an event of one token fits
	maxBlock   = 16 << 10
	// defaultStallTimeout is how long a caller may take nothing while data waits for it.
	defaultStallTimeout = 10 * time.Second
	// defaultFullTimeout is the same while maxUntaken bytes wait. The endpoint's response is not read then, and
	// endpoints cut off a response that is left unread for some seconds.
	defaultFullTimeout = 2 * time.Second
)

// Reasons for which a box disconnects a caller.
var (
	errStalled   = errors.New("the caller took nothing while data waited for it")
	errFull      = errors.New("the caller took nothing while its buffer was full")
	errEvicted   = errors.New("the box's memory for callers is full, and this caller had the most unread bytes")
	errWriteLost = errors.New("the caller's connection failed")
	errAbandoned = errors.New("the response was abandoned")
)

// responseBuffer holds what a caller has not taken of its response. The handler's goroutine appends to it and another one
// writes to the caller, so that the endpoint's response is read at the endpoint's pace.
//
// Its mutex is taken before that of heldBytes.
type responseBuffer struct {
	budget        *heldBytes
	held          *heldResponse
	writer        http.ResponseWriter
	controller    *http.ResponseController
	deadline      time.Time // of the whole response, in times of package time
	cancelRequest func()    // cancels the request at the endpoint

	partial int64              // bytes of an incomplete event; only the handler's goroutine uses it
	wake    chan struct{}      // there is something for the writer to do
	room    chan struct{}      // the writer has taken a block
	failed  <-chan struct{}    // closed when failure is set
	end     context.CancelFunc // closes failed
	done    chan error         // the writer has ended

	mu       sync.Mutex
	blocks   [][]byte
	untaken  int   // bytes of blocks and of the one that is being written
	started  bool  // the head is written, so blocks may be
	complete bool  // nothing more is appended
	finished bool  // the handler is about to return: the connection may carry another request
	failure  error // why nothing more is written; nil: the caller is connected
	// writeUntil is the write deadline of the pending write; zero without one, and if that is the deadline of the response.
	writeUntil time.Time
}

// newResponseBuffer returns a buffer whose writer ends with finish or abandon. The end of ctx does not end it: what was
// received by then is still written.
func newResponseBuffer(ctx context.Context, budget *heldBytes, w http.ResponseWriter, deadline time.Time, cancelRequest func()) *responseBuffer {
	ctx, end := context.WithCancel(context.WithoutCancel(ctx))
	b := &responseBuffer{
		budget:        budget,
		writer:        w,
		controller:    http.NewResponseController(w),
		deadline:      deadline,
		cancelRequest: cancelRequest,
		wake:          make(chan struct{}, 1),
		room:          make(chan struct{}, 1),
		failed:        ctx.Done(),
		end:           end,
		done:          make(chan error, 1),
	}
	b.held = &heldResponse{onEvict: func() { b.disconnect(errEvicted) }}
	go func() { b.done <- b.writeAll(ctx) }()
	return b
}

// append adds p. It waits for the caller only while the buffer is full, and returns why the caller is
// disconnected if it is.
func (b *responseBuffer) append(p []byte) error {
	for len(p) > 0 {
		n, err := b.appendPiece(p)
		if err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// appendPiece adds a part of p and returns its length.
func (b *responseBuffer) appendPiece(p []byte) (int, error) {
	free, size, err := b.awaitRoom()
	if err != nil {
		return 0, err
	}
	p = p[:min(len(p), free)]
	if n := b.fillLastBlock(p); n > 0 {
		return n, nil
	}
	block := make([]byte, 0, min(max(size, len(p)), maxBlock))
	if !b.budget.add(b.held, int64(cap(block))) {
		return 0, b.evicted()
	}
	block = append(block, p[:min(len(p), cap(block))]...)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failure != nil {
		return 0, b.failure
	}
	b.blocks = append(b.blocks, block)
	b.untaken += len(block)
	if len(b.blocks) > 1 {
		signal(b.wake)
	}
	return len(block), nil
}

// awaitRoom returns how many bytes may be added, and the size of the next block.
func (b *responseBuffer) awaitRoom() (free, blockSize int, err error) {
	for {
		b.mu.Lock()
		free, blockSize, err = maxUntaken-b.untaken, minBlock, b.failure
		if n := len(b.blocks); n > 0 {
			blockSize = 2 * cap(b.blocks[n-1])
		}
		b.mu.Unlock()
		if err != nil || free > 0 {
			return free, blockSize, err
		}
		b.flush()
		timer := time.NewTimer(b.budget.fullTimeout)
		select {
		case <-b.room:
		case <-b.failed:
		case <-timer.C:
			b.disconnect(errFull)
		}
		timer.Stop()
	}
}

// fillLastBlock adds as much of p as fits into the last block, and returns its length.
func (b *responseBuffer) fillLastBlock(p []byte) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := len(b.blocks) - 1
	if last < 0 {
		return 0
	}
	block := b.blocks[last]
	n := min(len(p), cap(block)-len(block))
	b.blocks[last] = append(block, p[:n]...)
	b.untaken += n
	return n
}

// setPartial sets the number of bytes that an incomplete event uses outside the blocks.
func (b *responseBuffer) setPartial(n int64) error {
	more := n - b.partial
	b.partial = n
	switch {
	case more < 0:
		b.budget.remove(b.held, -more)
	case more > 0 && !b.budget.add(b.held, more):
		return b.evicted()
	}
	return nil
}

// evicted handles that the budget no longer counts this response. Its onEvict may still be about to be called.
func (b *responseBuffer) evicted() error {
	b.disconnect(errEvicted)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failure
}

// flush has what was appended written.
func (b *responseBuffer) flush() { signal(b.wake) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// start allows writing, once the head is written.
func (b *responseBuffer) start() {
	b.mu.Lock()
	b.started = true
	b.mu.Unlock()
	b.flush()
}

// writeAll writes blocks to the caller as they come, until the response is complete or the caller is
// disconnected.
func (b *responseBuffer) writeAll(ctx context.Context) error {
	for {
		block, last, err := b.next()
		if err != nil {
			return err
		}
		if block == nil {
			if last {
				return nil
			}
			select {
			case <-b.wake:
			case <-ctx.Done():
			}
			continue
		}
		if err := b.writeBlock(block); err != nil {
			b.writeFailed(err)
			return err
		}
	}
}

// next takes the first block and sets the deadline for writing it; last reports that nothing more will be appended.
func (b *responseBuffer) next() (block []byte, last bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failure != nil || !b.started || len(b.blocks) == 0 {
		return nil, b.complete, b.failure
	}
	block = b.blocks[0]
	b.blocks[0] = nil
	b.blocks = b.blocks[1:]
	until := time.Now().Add(b.budget.stallTimeout)
	b.writeUntil = until
	if b.deadline.Before(until) {
		until = b.deadline
		b.writeUntil = time.Time{}
	}
	_ = b.controller.SetWriteDeadline(until)
	return block, false, nil
}

// writeBlock writes a block, flushes unless another one is waiting, and frees the block.
func (b *responseBuffer) writeBlock(block []byte) error {
	if _, err := b.writer.Write(block); err != nil {
		return err
	}
	b.mu.Lock()
	more := len(b.blocks) > 0
	b.mu.Unlock()
	if !more {
		if err := b.controller.Flush(); err != nil {
			return err
		}
	}
	b.budget.remove(b.held, int64(cap(block)))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.untaken -= len(block)
	b.writeUntil = time.Time{}
	signal(b.room)
	return nil
}

// writeFailed handles a failed write: the caller took nothing, or its connection is gone.
func (b *responseBuffer) writeFailed(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(b.deadline) {
		b.disconnect(errStalled)
		return
	}
	b.fail(errWriteLost)
}

// disconnect drops the response of a caller that does not read.
func (b *responseBuffer) disconnect(reason error) {
	if b.fail(reason) {
		b.budget.countDisconnected()
	}
}

// fail drops the response, unless it has ended, and ends a pending write. It cancels the request at the endpoint before the
// failure can be seen, so that the endpoint is not blamed for it.
func (b *responseBuffer) fail(reason error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failure != nil || b.finished {
		return false
	}
	b.cancelRequest()
	b.failure, b.blocks = reason, nil
	b.end()
	if b.started { // otherwise a refusal can still be written
		_ = b.controller.SetWriteDeadline(time.Unix(1, 0))
	}
	return true
}

// reset drops what was appended before start.
func (b *responseBuffer) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.blocks, b.untaken = nil, 0
	b.budget.drop(b.held)
}

// finish waits until the caller has taken what was appended or is disconnected, and returns the reason in that
// case. Nothing is written after it returns.
func (b *responseBuffer) finish() error {
	b.mu.Lock()
	if b.finished {
		defer b.mu.Unlock()
		return b.failure
	}
	b.complete = true
	b.mu.Unlock()
	b.flush()
	<-b.done // all writes have a deadline
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finished = true
	b.end()
	b.budget.drop(b.held)
	if b.started && b.failure == nil {
		_ = b.controller.SetWriteDeadline(b.deadline) // for the end of the response, which net/http writes
	}
	return b.failure
}

// abandon ends the response and drops what the caller has not taken. It returns why the response ended earlier, if it did.
//
// When a write times out, net/http cancels the request's context before it returns the error to the writer. The handler
// may therefore abandon the response first; the caller is disconnected for the timeout in that case too.
func (b *responseBuffer) abandon() error {
	if b.writeTimedOut() {
		b.disconnect(errStalled)
	} else {
		b.fail(errAbandoned)
	}
	return b.finish()
}

// writeTimedOut reports whether the caller has taken nothing of the pending write for stallTimeout.
func (b *responseBuffer) writeTimedOut() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.writeUntil.IsZero() && !time.Now().Before(b.writeUntil)
}
