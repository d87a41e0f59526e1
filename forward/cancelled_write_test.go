// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// hookedConn calls functions before and after its first write.
type hookedConn struct {
	net.Conn

	before, after func()
	once          *sync.Once
}

// Write implements net.Conn.
func (c hookedConn) Write(b []byte) (int, error) {
	c.once.Do(c.before)
	defer c.after()
	return c.Conn.Write(b)
}

// Guards against an attempt that counts as unsent since it is cancelled while its first write is under way.
func TestAttemptThatIsCancelledDuringItsFirstWriteGetsNoPromise(t *testing.T) {
	for _, end := range []string{"part-quarantined", "shutdown", "caller-leaves"} {
		for _, written := range []bool{false, true} {
			for _, r := range proofRoutes(testTimeout) {
				t.Run(fmt.Sprintf("%s/%s/written=%t", r.Name, end, written), func(t *testing.T) {
					t.Parallel()
					x := newRefusalScript(t, r, []string{"rejected"}, 0)
					cancelled := make(chan struct{})
					cancel := sync.OnceFunc(func() {
						x.carryOut(end)
						close(cancelled)
						time.Sleep(20 * time.Millisecond) // the attempt ends meanwhile
					})
					before, after := cancel, func() {}
					if written {
						before, after = after, cancel
					}
					x.site.gateway.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
						c, err := (&net.Dialer{}).DialContext(ctx, "unix", x.endpoints)
						return hookedConn{Conn: c, before: before, after: after, once: new(sync.Once)}, err
					}
					resp := x.ask(t, "")
					<-cancelled
					x.site.c.Assert(resp, quicktest.IsNotNil)
					x.site.c.Check(resp.StatusCode, quicktest.Equals, http.StatusBadGateway)
				})
			}
		}
	}
}
