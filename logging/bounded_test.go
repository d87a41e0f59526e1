// SPDX-License-Identifier: Apache-2.0

package logging

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// lockedBuffer can be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func TestLinesArriveInOrder(t *testing.T) {
	c := quicktest.New(t)
	out := &lockedBuffer{}
	b := NewBounded(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	for _, s := range []string{"one\n", "two\n", "three\n"} {
		_, err := io.WriteString(b, s)
		c.Assert(err, quicktest.IsNil)
	}
	cancel()
	c.Assert(<-done, quicktest.IsNil)
	c.Assert(out.text(), quicktest.Equals, "one\ntwo\nthree\n")
}

// standing is a reader that takes nothing until it is let go.
type standing struct {
	lockedBuffer

	stands chan struct{} // closed when it is written to first
	once   sync.Once
	gate   chan struct{}
}

// Write implements io.Writer.
func (s *standing) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.stands) })
	<-s.gate
	return s.lockedBuffer.Write(p)
}

func TestAReaderThatStandsStillCostsLinesAndNoTime(t *testing.T) {
	c := quicktest.New(t)
	out := &standing{stands: make(chan struct{}), gate: make(chan struct{})}
	b := NewBounded(out)
	b.Box = "box-1"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	_, _ = io.WriteString(b, "line\n")
	<-out.stands                // else its first batch could take all that is queued after the last line
	for range 16 * queueLines { // would block for ever on a plain writer
		_, _ = io.WriteString(b, "line\n")
	}
	c.Assert(b.Dropped() >= 8*queueLines, quicktest.IsTrue, quicktest.Commentf("%d", b.Dropped()))
	c.Assert(b.Pressed(), quicktest.IsTrue)
	close(out.gate)
	for tries := 0; !strings.Contains(out.text(), LeftOut); tries++ {
		c.Assert(tries < 1000, quicktest.IsTrue, quicktest.Commentf("what was left out is not told"))
		time.Sleep(time.Millisecond)
	}
	var g Log
	c.Assert(g.Read(strings.NewReader(out.text())), quicktest.IsNil)
	c.Assert(g.Lines(), quicktest.HasLen, 1) // a line of ours, once
	c.Assert(g.Lines()[0].Message(), quicktest.Equals, LeftOut)
	c.Assert(g.Lines()[0].Text("box"), quicktest.Equals, "box-1")
}
