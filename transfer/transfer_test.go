// SPDX-License-Identifier: Apache-2.0

package transfer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// pacedBody delivers chunks of bytes, each after a pause, until its call ends.
type pacedBody struct {
	ctx   context.Context
	pause time.Duration
	chunk int
	left  int // bytes to come after those of this chunk; negative: without end
	ready int // unread bytes of this chunk
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.ready == 0 {
		if b.left == 0 {
			return 0, io.EOF
		}
		select {
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		case <-time.After(b.pause):
		}
		b.ready = b.chunk
		if b.left > 0 {
			b.ready = min(b.ready, b.left)
			b.left -= b.ready
		}
	}
	n := min(len(p), b.ready)
	b.ready -= n
	return n, nil
}

// Each line of the file is one response and its result.
func TestResponsesAreBoundedByProgress(t *testing.T) {
	file, err := os.Open("testdata/responses.txt")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer file.Close()
	limits := Limits{Head: 500 * time.Millisecond, Silence: 700 * time.Millisecond, MinRate: 16 << 10, MaxBytes: 2 << 20}
	for s := bufio.NewScanner(file); s.Scan(); {
		line := s.Text()
		if line == "" || line[0] == '#' {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			var headMS, size, chunk, pauseMS int
			response, want, _ := strings.Cut(line, " => ")
			_, err := fmt.Sscan(response, &headMS, &size, &chunk, &pauseMS)
			c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", line))
			ctx, call := limits.Start(context.Background())
			defer call.Stop()
			begun := time.Now()
			result := "read"
			select {
			case <-ctx.Done():
				result = "stalled"
			case <-time.After(time.Duration(headMS) * time.Millisecond):
				_, err := call.ReadBody(&pacedBody{ctx: ctx, pause: time.Duration(pauseMS) * time.Millisecond, chunk: chunk, left: size})
				var stalled *StalledError
				switch {
				case errors.As(Cause(ctx, err), &stalled):
					result = "stalled"
				case err != nil:
					result = "too long"
				}
			}
			c.Check(fmt.Sprintf("%s %d ms", result, time.Since(begun).Milliseconds()), quicktest.Equals, want, quicktest.Commentf("%s", line))
		})
	}
}

// A process that was not run for a while finds its timers due, and what it waits for unread.
func TestLateProcessWaitsForWhatMayBeThere(t *testing.T) {
	c := quicktest.New(t)
	ctx, call := Limits{Head: time.Hour, Silence: time.Hour, MinRate: 1, MaxBytes: 1}.Start(context.Background())
	defer call.Stop()
	for range maxLateExtensions {
		call.mu.Lock()
		call.due = time.Now().Add(-minLateness)
		call.mu.Unlock()
		call.expire()
		c.Assert(ctx.Err(), quicktest.IsNil)
	}
	call.mu.Lock()
	call.due = time.Now().Add(-minLateness)
	call.mu.Unlock()
	call.expire()
	c.Assert(ctx.Err(), quicktest.IsNotNil)
}
