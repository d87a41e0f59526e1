// SPDX-License-Identifier: Apache-2.0

// Package transfer bounds calls whose responses have a size that others choose: by bytes and by progress instead of by a
// constant time, within which a large response over a narrow link could never be read. A call ends when its response does not
// begin in time, pauses for too long, or arrives so slowly that it might go on for ever.
package transfer

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits bound one call.
type Limits struct {
	Head     time.Duration // until the response begins
	Silence  time.Duration // without data in the body
	MinRate  int64         // bytes per second that the body needs on average, apart from allowedSilences
	MaxBytes int64         // of the body
}

// MaxHeadBytes is the maximum size of the head of a request or a response. Heads have some hundred bytes; net/http allows one megabyte
// and ten, which is more than a small box can spare for each connection.
const MaxHeadBytes = 64 << 10

const (
	// minLateness is the delay of a timer from which this process counts as late itself. What it waits for may then be
	// there already, unread.
	minLateness = 20 * time.Millisecond
	// maxLateExtensions limits how often in a row a late process waits longer.
	maxLateExtensions = 4
	// allowedSilences is how many times Silence a body may take beyond what MinRate allows.
	allowedSilences = 3
)

// StalledError reports a call that ended for lack of progress.
type StalledError struct {
	Received int64         // bytes of the body
	After    time.Duration // since the call began
}

func (e *StalledError) Error() string {
	return fmt.Sprintf("transfer: no progress; %d bytes received in %d ms", e.Received, e.After.Milliseconds())
}

// Is reports whether target is context.DeadlineExceeded: a call without progress has timed out.
func (e *StalledError) Is(target error) bool { return target == context.DeadlineExceeded }

// Call is a call whose progress is watched. Stop must be called.
type Call struct {
	limits  Limits
	started time.Time
	cancel  context.CancelCauseFunc
	timer   *time.Timer

	mu         sync.Mutex
	due        time.Time // the call ends then, unless there is progress
	bodyBegan  time.Time // zero: the head is awaited
	received   int64
	extensions int // since the last progress
}

// Start begins to watch a call, whose request has to use the returned context.
func (l Limits) Start(ctx context.Context) (context.Context, *Call) {
	ctx, cancel := context.WithCancelCause(ctx)
	now := time.Now()
	c := &Call{limits: l, started: now, due: now.Add(l.Head), cancel: cancel}
	c.mu.Lock() // the timer may fire at once
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(l.Head, c.expire)
	return ctx, c
}

// Stop ends the call.
func (c *Call) Stop() {
	c.timer.Stop()
	c.cancel(nil)
}

// Cause returns the reason why the call with the context was ended, or err if it was not ended by Limits.
func Cause(ctx context.Context, err error) error {
	var stalled *StalledError
	if err != nil && errors.As(context.Cause(ctx), &stalled) {
		return stalled
	}
	return err
}

// TooLongError reports a body of more than Limit bytes.
type TooLongError struct{ Limit int64 }

func (e *TooLongError) Error() string {
	return fmt.Sprintf("transfer: response is longer than %d bytes", e.Limit)
}

// ReadBody reads the body of the call's response. A body beyond MaxBytes is a *TooLongError.
func (c *Call) ReadBody(body io.Reader) ([]byte, error) {
	c.progress(0)
	content, err := io.ReadAll(io.LimitReader(progressReader{Reader: body, call: c}, c.limits.MaxBytes+1))
	if err == nil && int64(len(content)) > c.limits.MaxBytes {
		return nil, &TooLongError{Limit: c.limits.MaxBytes}
	}
	return content, err
}

// progress records data of the body; the first call records that the head has arrived.
func (c *Call) progress(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	begins := c.bodyBegan.IsZero()
	if begins {
		c.bodyBegan = now
	}
	c.received += int64(n)
	c.extensions = 0
	c.due = now.Add(c.limits.Silence)
	if slowest := c.bodyBegan.Add(c.limits.maxBodyTime(c.received)); slowest.Before(c.due) {
		c.due = slowest
	}
	if begins {
		c.timer.Reset(c.due.Sub(now))
	}
}

// maxBodyTime returns how long a body may have taken when this many bytes of it have arrived.
func (l Limits) maxBodyTime(received int64) time.Duration {
	return allowedSilences*l.Silence + time.Duration(float64(received)/float64(l.MinRate)*float64(time.Second))
}

// expire ends the call if it is due.
func (c *Call) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	late := now.Sub(c.due)
	switch {
	case late < 0:
		c.timer.Reset(-late)
	case late >= minLateness && c.extensions < maxLateExtensions:
		c.extensions++
		c.due = now.Add(min(late, c.limits.Silence))
		c.timer.Reset(c.due.Sub(now))
	default:
		c.cancel(&StalledError{Received: c.received, After: now.Sub(c.started)})
	}
}

// progressReader reports what it reads.
type progressReader struct {
	io.Reader

	call *Call
}

// Read implements io.Reader.
func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.call.progress(n)
	}
	return n, err
}
