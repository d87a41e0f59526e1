// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// pipeWriter is a response writer over a connection without any buffer.
type pipeWriter struct{ net.Conn }

// Header implements http.ResponseWriter.
func (pipeWriter) Header() http.Header { return http.Header{} }

// WriteHeader implements http.ResponseWriter.
func (pipeWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (pipeWriter) Flush() {}

// bufferedCaller is a buffer and the connection that its caller reads from.
type bufferedCaller struct {
	*responseBuffer
	caller    net.Conn        // closed with the connection of the box when the test ends
	cancelled context.Context // done when the request at the endpoint is cancelled
}

func newBufferedCaller(t *testing.T, h *heldBytes, timeout time.Duration) bufferedCaller {
	box, caller := net.Pipe()
	t.Cleanup(func() { box.Close() })
	cancelled, cancel := context.WithCancel(context.Background())
	b := newResponseBuffer(cancelled, h, pipeWriter{box}, time.Now().Add(timeout), cancel)
	b.start()
	return bufferedCaller{responseBuffer: b, caller: caller, cancelled: cancelled}
}

// Guards against a caller that takes nothing and keeps its memory and its endpoint's request until its deadline, and
// against one that is disconnected too early.
func TestCallerThatTakesNothingIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		h := newHeldBytes(8 << 20)
		b := newBufferedCaller(t, h, time.Hour)
		began := time.Now()
		c.Assert(b.append([]byte("event")), quicktest.IsNil)
		b.flush()
		<-b.cancelled.Done()
		c.Assert(time.Since(began), quicktest.Equals, 10*time.Second)
		c.Assert(b.append([]byte("event")), quicktest.Equals, errStalled)
		c.Assert(b.finish(), quicktest.Equals, errStalled)
		c.Assert(h.counts(), quicktest.Equals, HeldByteCounts{Limit: 8 << 20, Disconnected: 1})
	})
}

// failingWriter is a response writer that, like net/http, reports a failed write to the handler before Write returns.
type failingWriter struct {
	pipeWriter
	onFailure func()
}

// Write implements http.ResponseWriter.
func (w failingWriter) Write(p []byte) (int, error) {
	n, err := w.pipeWriter.Write(p)
	if err != nil {
		w.onFailure()
	}
	return n, err
}

// Guards against a caller that takes nothing and counts as one that left: net/http cancels the request's context as soon
// as a write times out, and the handler then abandons the response before the writer has reported the timeout. A caller
// whose connection fails earlier, or that takes nothing until the deadline of the response, is not counted.
func TestStalledCallerIsCountedIfHandlerEndsFirst(t *testing.T) {
	for name, test := range map[string]struct {
		deadline time.Duration // of the response
		leavesAt time.Duration // when the caller's connection is closed; 0: never
		want     error
	}{
		"stalled":  {deadline: time.Hour, want: errStalled},
		"left":     {deadline: time.Hour, leavesAt: 9 * time.Second, want: errAbandoned},
		"deadline": {deadline: 9 * time.Second, want: errAbandoned},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				h := newHeldBytes(8 << 20)
				box, caller := net.Pipe()
				defer box.Close()
				defer caller.Close()
				handlerEnds := make(chan struct{})
				var b *responseBuffer
				w := failingWriter{pipeWriter{box}, func() {
					close(handlerEnds)
					<-b.failed
				}}
				b = newResponseBuffer(context.Background(), h, w, time.Now().Add(test.deadline), func() {})
				b.start()
				c.Assert(b.append([]byte("event")), quicktest.IsNil)
				b.flush()
				if test.leavesAt > 0 {
					time.AfterFunc(test.leavesAt, func() { caller.Close() })
				}
				<-handlerEnds
				c.Assert(b.abandon(), quicktest.Equals, test.want)
				disconnected := int64(0)
				if test.want == errStalled {
					disconnected = 1
				}
				c.Assert(h.counts(), quicktest.Equals, HeldByteCounts{Limit: 8 << 20, Disconnected: disconnected})
			})
		})
	}
}

// Guards against a stream without events for a while that counts as a caller that takes nothing.
func TestIdleStreamIsNotDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBufferedCaller(t, newHeldBytes(8<<20), time.Hour)
		got := make([]byte, 5)
		for range 3 {
			c.Assert(b.append([]byte("event")), quicktest.IsNil)
			b.flush()
			_, err := io.ReadFull(b.caller, got)
			c.Assert(err, quicktest.IsNil)
			time.Sleep(time.Minute)
		}
		c.Assert(b.finish(), quicktest.IsNil)
	})
}

// Guards against an endpoint's response that is left unread for as long as a caller takes nothing.
func TestFullBufferWaitsOnlyShortly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		h := newHeldBytes(8 << 20)
		b := newBufferedCaller(t, h, time.Hour)
		began := time.Now()
		c.Assert(b.append(make([]byte, maxUntaken)), quicktest.IsNil)
		c.Assert(time.Since(began), quicktest.Equals, time.Duration(0)) // no wait within the limit
		c.Assert(b.append([]byte("more")), quicktest.Equals, errFull)
		c.Assert(time.Since(began), quicktest.Equals, 2*time.Second)
		c.Assert(b.finish(), quicktest.Equals, errFull)
		c.Assert(h.counts(), quicktest.Equals, HeldByteCounts{Limit: 8 << 20, Disconnected: 1})
	})
}

// Guards against a limit on the whole time that a response takes, and against lost or reordered bytes. The
// caller takes 16 KB each second.
func TestSteadySlowCallerGetsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		h := newHeldBytes(8 << 20)
		b := newBufferedCaller(t, h, time.Hour)
		var want bytes.Buffer
		for i := range 3 << 20 / 8 {
			want.WriteString("data ")
			want.WriteByte(byte(i))
			want.WriteString("\n\n")
		}
		got := make(chan []byte, 1)
		go func() {
			all := make([]byte, 0, want.Len())
			for len(all) < want.Len() {
				n, err := io.ReadFull(b.caller, all[len(all):min(len(all)+16<<10, want.Len())])
				all = all[:len(all)+n]
				if err != nil {
					break
				}
				time.Sleep(time.Second)
			}
			got <- all
		}()
		for p := want.Bytes(); len(p) > 0; p = p[min(1000, len(p)):] {
			c.Assert(b.append(p[:min(1000, len(p))]), quicktest.IsNil)
			c.Assert(h.counts().Bytes <= maxUntaken+2*maxBlock, quicktest.IsTrue)
		}
		c.Assert(b.finish(), quicktest.IsNil)
		c.Assert(bytes.Equal(<-got, want.Bytes()), quicktest.IsTrue)
		c.Assert(h.counts().Bytes, quicktest.Equals, int64(0))
	})
}

// Guards against an eviction that waits for the evicted caller, and against one whose bytes stay counted.
func TestEvictionEndsPendingWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		h := newHeldBytes(1 << 20)
		still, other := newBufferedCaller(t, h, time.Hour), newBufferedCaller(t, h, time.Hour)
		began := time.Now()
		c.Assert(still.append(make([]byte, 600<<10)), quicktest.IsNil)
		c.Assert(other.append(make([]byte, 500<<10)), quicktest.IsNil)
		<-still.cancelled.Done()
		c.Assert(still.finish(), quicktest.Equals, errEvicted)
		c.Assert(time.Since(began), quicktest.Equals, time.Duration(0))
		c.Assert(h.counts().Disconnected, quicktest.Equals, int64(1))
		other.abandon()
		c.Assert(h.counts().Bytes, quicktest.Equals, int64(0))
	})
}

// Guards against an eviction that comes after the response has ended: the connection carries another request then.
func TestLateEvictionLeavesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBufferedCaller(t, newHeldBytes(1<<20), time.Hour)
		c.Assert(b.finish(), quicktest.IsNil)
		b.held.onEvict()
		go func() { _, _ = io.ReadFull(b.caller, make([]byte, 4)) }()
		_, err := b.writer.Write([]byte("next"))
		c.Assert(err, quicktest.IsNil)
	})
}
