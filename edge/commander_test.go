// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"testing"
	"time"

	"cairnwick.example/member"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// linkedBox returns a member that is alive and may be cut off from the endpoints.
func linkedBox(name, centre string, incarnation uint64, cutOff bool) member.Member {
	return member.FromWire(&wire.Member{Name: name, Role: roleBox, DataCentre: centre, Incarnation: incarnation, State: wire.MemberState(member.Alive), CutOff: cutOff})
}

func TestCommanderReachesTheEndpoints(t *testing.T) {
	for _, x := range []struct {
		name      string
		members   []member.Member
		leader    string
		commander string
	}{
		{name: "all boxes have links", members: []member.Member{linkedBox("a1", "a", 1, false), linkedBox("a2", "a", 2, false), linkedBox("b1", "b", 3, false)}, leader: "a1", commander: "a1"},
		{name: "the leader is cut off", members: []member.Member{linkedBox("a1", "a", 1, true), linkedBox("a2", "a", 2, false), linkedBox("b1", "b", 3, false)}, leader: "a1", commander: "a2"},
		{name: "another box is cut off", members: []member.Member{linkedBox("a1", "a", 1, false), linkedBox("a2", "a", 2, true), linkedBox("b1", "b", 3, false)}, leader: "a1", commander: "a1"},
		{name: "the data centre is cut off", members: []member.Member{linkedBox("a1", "a", 1, true), linkedBox("a2", "a", 2, true), linkedBox("b1", "b", 4, false), linkedBox("c1", "c", 3, false)}, leader: "a1", commander: "c1"},
		{name: "all boxes are cut off", members: []member.Member{linkedBox("a1", "a", 1, true), linkedBox("a2", "a", 2, true), linkedBox("b1", "b", 3, true)}, leader: "a1", commander: "a1"},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			v := newClusterView("a2", "a", x.members, time.Now())
			leader, _ := v.leader("a")
			c.Check(leader.Name(), quicktest.Equals, x.leader)
			commander, ok := v.commander("a")
			c.Check(ok, quicktest.IsTrue)
			c.Check(commander.Name(), quicktest.Equals, x.commander)
		})
	}
}
