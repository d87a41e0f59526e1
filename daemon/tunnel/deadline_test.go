// SPDX-License-Identifier: Apache-2.0

package tunnel

import (
	"context"
	"os"
	"testing"
	"time"

	"cairnwick.example/engine"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against a check of an endpoint through another box that waits until the endpoint closes its connection, and a box that can't
// shut down meanwhile.
func TestCheckThroughATunnelEndsInTime(t *testing.T) {
	for name, cancelled := range map[string]bool{"by its timeout": false, "with its context": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			e := newEndpoint(c)
			dial := dialer(c, (&box{endpoint: e.listener.Addr().String()}).start(c))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			exited := make(chan bool, 1)
			go func() { exited <- engine.HasExited(ctx, dial, "e") }()
			if cancelled {
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			select {
			case x := <-exited:
				c.Check(x, quicktest.IsFalse)
			case <-time.After(testTimeout):
				c.Fatal("the check has not ended in time")
			}
		})
	}
}

func TestReadOfATunnelEndsAtItsDeadline(t *testing.T) {
	c := quicktest.New(t)
	e := newEndpoint(c)
	dial := dialer(c, (&box{endpoint: e.listener.Addr().String()}).start(c))
	conn, err := dial(t.Context(), "", "")
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	c.Assert(conn.SetReadDeadline(time.Now().Add(time.Hour)), quicktest.IsNil)
	c.Assert(conn.SetReadDeadline(time.Time{}), quicktest.IsNil)
	_, err = conn.Write([]byte("request"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now()), quicktest.IsNil)
	_, err = conn.Read(make([]byte, 1))
	c.Check(errors.Is(err, os.ErrDeadlineExceeded), quicktest.IsTrue, quicktest.Commentf("%v", err))
}
