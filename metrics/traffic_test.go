// SPDX-License-Identifier: Apache-2.0

package metrics

import (
	"net"
	"testing"

	"github.com/frankban/quicktest"
)

// Guards against a counted connection whose socket cannot be asked whether the peer reset it.
func TestCountedConnectionShowsWhatItWraps(t *testing.T) {
	c := quicktest.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	wrapper, ok := new(Traffic).WrapConn(near).(interface{ NetConn() net.Conn })
	c.Assert(ok, quicktest.IsTrue)
	c.Check(wrapper.NetConn(), quicktest.Equals, near)
}
