// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"testing"

	"github.com/frankban/quicktest"
)

// Guards against streams that go on at an instance by a version that its entry no longer names.
func TestSoftwareOfAnInstanceWhoseEntryChangesItIsUnknown(t *testing.T) {
	c := quicktest.New(t)
	v := NewView()
	for _, software := range []string{"v1", "v2", "v1", "v1"} {
		v.SetEndpoint(NewEndpoint(EndpointSpec{ID: "e1", Service: "s", Software: software}))
	}
	v.SetEndpoint(NewEndpoint(EndpointSpec{ID: "e2", Service: "s", Software: "v1"}))
	v.SetEndpoint(NewEndpoint(EndpointSpec{ID: "e2", Service: "s", Software: "v1", Draining: true}))
	c.Assert(v.Endpoint("e1").Software(), quicktest.Equals, "")
	c.Assert(v.Endpoint("e2").Software(), quicktest.Equals, "v1")
}
