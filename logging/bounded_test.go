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

// lockedBuffer is a buffer that is safe for concurrent use.
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

func TestLinesAreWrittenInOrder(t *testing.T) {
	c := quicktest.New(t)
	out := &lockedBuffer{}
	b := NewBoundedWriter(out)
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

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	lockedBuffer

	blocked chan struct{} // closed at the first Write
	once    sync.Once
	release chan struct{}
}

// Write implements io.Writer.
func (s *blockedWriter) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.blocked) })
	<-s.release
	return s.lockedBuffer.Write(p)
}

func TestBlockedReaderDropsLinesWithoutBlocking(t *testing.T) {
	c := quicktest.New(t)
	out := &blockedWriter{blocked: make(chan struct{}), release: make(chan struct{})}
	b := NewBoundedWriter(out)
	b.Box = "box-1"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	_, _ = io.WriteString(b, "line\n")
	<-out.blocked                   // otherwise the first batch could be collected after the last line and empty the queue
	for range 16 * maxQueuedLines { // would block forever if Write were synchronous
		_, _ = io.WriteString(b, "line\n")
	}
	c.Assert(b.Dropped() >= 8*maxQueuedLines, quicktest.IsTrue, quicktest.Commentf("%d", b.Dropped()))
	c.Assert(b.Backlogged(), quicktest.IsTrue)
	close(out.release)
	for tries := 0; !strings.Contains(out.text(), LinesDroppedMessage); tries++ {
		c.Assert(tries < 1000, quicktest.IsTrue, quicktest.Commentf("no notice of dropped lines"))
		time.Sleep(time.Millisecond)
	}
	var g Log
	c.Assert(g.Read(strings.NewReader(out.text())), quicktest.IsNil)
	c.Assert(g.Lines(), quicktest.HasLen, 1) // the notice, written once; the other lines are not JSON
	c.Assert(g.Lines()[0].Message(), quicktest.Equals, LinesDroppedMessage)
	c.Assert(g.Lines()[0].Text("box"), quicktest.Equals, "box-1")
}
