// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"testing"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

func TestMessageKinds(t *testing.T) {
	n := &Node{Decoder: plainDecoder{}}
	update := func(keys ...string) *wire.Update {
		u := &wire.Update{}
		for _, k := range keys {
			u.Items = append(u.Items, &wire.Item{Key: k})
		}
		return u
	}
	for _, k := range []struct {
		message any
		kind    string
	}{
		{&wire.Heartbeat{}, kindHeartbeat},
		{&wire.Heartbeat{Full: true}, kindWholeView},
		{&wire.FollowRequest{}, kindFollow},
		{update(), kindBeat},
		{update(slotsPrefix + "1"), kindSlots},
		{update(slotsPrefix+"1", "e/1"), kindEndpoints},
		{&wire.UseRequest{Part: true}, kindUse},
		{&wire.UseRequest{}, kindWholeUse},
		{&wire.UseReply{}, kindLevel},
		{&wire.AskRequest{}, kindAsk},
		{&wire.AskReply{}, kindAsk},
		{&wire.ResignReply{}, kindResign},
		{nil, kindUnknown},
	} {
		quicktest.Check(t, n.messageKind("", k.message), quicktest.Equals, k.kind)
	}
}

// The first list after start-up has a reason of its own, whichever box leads. Later calls are counted by whether
// others rely on them.
func TestSourceCallsAreCountedByReason(t *testing.T) {
	c := quicktest.New(t)
	s := &script{
		list: []Batch{{Facts: published("e/1"), Revision: rev(5)}, {Facts: published("e/1"), Revision: rev(9)}},
		watch: []func() (Batch, error){
			func() (Batch, error) { return Batch{Revision: rev(6)}, nil },
			func() (Batch, error) { return Batch{}, ErrHistoryLost{} },
		},
	}
	var made sourceCalls
	r, _ := newReader(s)
	r.onCall = made.count
	for range 4 {
		step(r)
	}
	c.Assert(made.counts(), quicktest.DeepEquals, map[string]int64{reasonFirstList: 1, reasonLeader: 2, reasonHistoryLost: 1})
}
