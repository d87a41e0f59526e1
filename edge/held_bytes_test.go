// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"net"
	"testing"

	"github.com/frankban/quicktest"
)

// Guards against a box with a memory limit whose memory for callers is not bounded, and against a bound without one.
func TestMemoryLimitBoundsHeldBytes(t *testing.T) {
	c := quicktest.New(t)
	for memory, limit := range map[int]int64{0: 0, 144: 36 << 20} {
		n := newNode(c, "box")
		n.Settings.Limits.MemoryMB = memory
		n.build()
		c.Assert(n.gateway.HeldBytes().Limit, quicktest.Equals, limit)
		c.Assert(n.variables().Get("edge_held_bytes"), quicktest.IsNotNil)
		_, limited := n.limitSendBuffers(&net.TCPListener{}).(sendBufferListener)
		c.Assert(limited, quicktest.Equals, memory > 0)
	}
}
