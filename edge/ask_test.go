// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"math"
	"net"
	"reflect"
	"testing"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/forward"
	"cairnwick.example/member"
	"cairnwick.example/placement"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// scriptedLeader converts messages like a leader, and gives the same answer to each request.
type scriptedLeader struct {
	wire.UnimplementedShareServer

	endpoint *topology.Endpoint
	result   forward.PlacementResult
	asked    chan forward.AdapterRequest
}

// Ask implements the Share service.
func (l scriptedLeader) Ask(_ context.Context, q *wire.AskRequest) (*wire.AskReply, error) {
	l.asked <- wantedFromRequest(q, l.endpoint)
	return replyFromResult(l.result), nil
}

// Guards against fields of a balanced request, or of its answer, that one of the four conversions leaves out: the
// leader would choose by zeros, or the box predict by them.
func TestBalancedRequestSurvivesTheWayToALeaderAndBack(t *testing.T) {
	c := quicktest.New(t)
	e := topology.NewEndpoint(topology.EndpointSpec{ID: "e1", DataCentre: "dc"})
	sent := forward.AdapterRequest{
		RequestID: "q1", Endpoint: e, Adapter: topology.Adapter{Model: "m", Name: "a"}, Version: 3, TargetWait: time.Second, MaxWait: 2 * time.Second,
		Priority: 4, Value: 5.5, Retried: true, NotLoaded: true, PromptTokens: 600, AvoidLimited: true, Avoid: []string{"e2", "e3"},
		Balance: true, Box: "box", OutputTokens: 700, Target: -8 * time.Millisecond, QueueLimit: 9 * time.Millisecond,
		Declined:    true,
		UrgentLimit: 10 * time.Millisecond, MaxPause: 11 * time.Millisecond, Elapsed: 12 * time.Millisecond,
	}
	answered := forward.PlacementResult{
		Ready: true, OwnerChanging: true, Endpoint: "e2", Version: 4, QueueTime: 5 * time.Millisecond, RetryAfter: 6 * time.Millisecond,
		Reason: "reason", AheadTokens: 7, FirstToken: 8 * time.Millisecond, Busy: true, Code: forward.CodeNoSlot, NoRoom: true,
	}
	for _, v := range []reflect.Value{reflect.ValueOf(sent), reflect.ValueOf(answered)} {
		for i := range v.NumField() { // a field that is added later must be set above
			c.Assert(v.Field(i).IsZero(), quicktest.IsFalse, quicktest.Commentf(v.Type().Field(i).Name))
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	server := grpc.NewServer()
	l := scriptedLeader{endpoint: e, result: answered, asked: make(chan forward.AdapterRequest, 1)}
	wire.RegisterShareServer(server, l)
	go func() { _ = server.Serve(listener) }() // until Stop
	c.Cleanup(server.Stop)
	leader := member.New("leader", listener.Addr().String(), roleBox, "dc", 1)
	p := peersOf(box("box", "dc", 2, 400), leader)
	p.dialer = &daemon.Dialer{Credentials: insecure.NewCredentials(), Dial: new(net.Dialer).DialContext}
	c.Cleanup(p.dialer.Close)

	got, err := p.requestLoad(context.Background(), leader, sent)
	c.Assert(err, quicktest.IsNil)
	c.Assert(got, quicktest.DeepEquals, answered)
	arrived := <-l.asked
	c.Assert(arrived.Endpoint, quicktest.Equals, e)
	sent.Endpoint, arrived.Endpoint = nil, nil
	c.Assert(arrived, quicktest.DeepEquals, sent)
}

// Guards against leaders of older versions that load a base model as an adapter: they must not know the endpoint, and those of
// this version must.
func TestBaseModelRequestsAreNotForOlderLeaders(t *testing.T) {
	c := quicktest.New(t)
	e := topology.NewEndpoint(topology.EndpointSpec{ID: "e1", DataCentre: "dc"})
	base, adapter := topology.Adapter{Model: "m"}, topology.Adapter{Model: "m", Name: "a"}
	c.Check(askedEndpoint(forward.AdapterRequest{Endpoint: e, Adapter: adapter, Balance: true}), quicktest.Equals, "e1")
	c.Check(askedEndpoint(forward.AdapterRequest{Endpoint: e, Adapter: adapter}), quicktest.Equals, "e1")
	name := askedEndpoint(forward.AdapterRequest{Endpoint: e, Adapter: base, Balance: true})
	v := topology.NewView()
	v.SetEndpoint(e)
	c.Check(v.Endpoint(name), quicktest.IsNil) // what a leader of an older version looks up
	n := &Node{view: v, loader: &placement.Loader{
		Limits: func() placement.RateLimits { return placement.DefaultRateLimits }, View: v, Owns: func(*topology.Endpoint, time.Time) (bool, time.Time) { return true, time.Time{} },
	}}
	a, err := shareServer{node: n}.Ask(context.Background(), &wire.AskRequest{Endpoint: name, Adapter: base.String(), Balance: true, Tokens: 10})
	c.Assert(err, quicktest.IsNil)
	c.Assert(a.GetSettling(), quicktest.IsTrue) // known, and not claimed yet
}

// Guards against values of other boxes that are negative or overflow: microseconds were multiplied without a bound, so a
// huge time arrived as a negative one, and a negative count reduced what others had reported.
func TestValuesOfOtherBoxesAreBounded(t *testing.T) {
	c := quicktest.New(t)
	high := wantedFromRequest(&wire.AskRequest{
		WaitMicros: math.MaxInt64, MostMicros: math.MaxInt64, Tokens: math.MaxInt64, OutputTokens: math.MaxInt64, TargetMicros: math.MaxInt64,
		QueueMicros: math.MaxInt64, UrgentMicros: math.MaxInt64, PauseMicros: math.MaxInt64, ElapsedMicros: math.MaxInt64,
	}, nil)
	for _, d := range []time.Duration{high.TargetWait, high.MaxWait, high.Target, high.QueueLimit, high.UrgentLimit, high.MaxPause, high.Elapsed} {
		c.Check(d, quicktest.Equals, maxMessageTime)
	}
	c.Check(high.PromptTokens, quicktest.Equals, maxMessageCount)
	c.Check(high.OutputTokens, quicktest.Equals, maxMessageCount)
	low := wantedFromRequest(&wire.AskRequest{
		Tokens: -1, OutputTokens: -1, TargetMicros: math.MinInt64, QueueMicros: -1, UrgentMicros: -1, PauseMicros: -1, ElapsedMicros: math.MinInt64,
	}, nil)
	c.Check(low, quicktest.DeepEquals, forward.AdapterRequest{Target: -maxMessageTime})
	c.Check(resultFromReply(&wire.AskReply{QueuedMicros: -1, RetryMicros: math.MinInt64, AheadTokens: -1, FirstTokenMicros: -1}),
		quicktest.DeepEquals, forward.PlacementResult{})
	c.Check(resultFromReply(&wire.AskReply{RetryMicros: math.MaxInt64, FirstTokenMicros: math.MaxInt64, AheadTokens: math.MaxInt64}),
		quicktest.DeepEquals, forward.PlacementResult{RetryAfter: maxMessageTime, FirstToken: maxMessageTime, AheadTokens: maxMessageCount})
	c.Check(resultFromReply(&wire.AskReply{Code: "code of a newer build"}), quicktest.DeepEquals, forward.PlacementResult{})
	c.Check(useFromReport(&wire.Usage{Count: -1, Running: -1, Reading: -1, Memory: -1, PromptsRead: -1, TokensRead: -1, ReadMicros: -1, Failed: -1, Streams: -1, PauseMicros: -1}),
		quicktest.DeepEquals, useFromReport(&wire.Usage{}))
	use := useFromReport(&wire.Usage{Reading: math.MaxInt64, Memory: math.MaxInt64, TokensRead: math.MaxInt64, ReadMicros: math.MaxInt64, PauseMicros: math.MaxInt64})
	c.Check(use.PrefillTokens, quicktest.Equals, maxMessageCount)
	c.Check(use.MemoryTokens, quicktest.Equals, maxMessageCount)
	c.Check(use.Read.Tokens, quicktest.Equals, maxMessageCount)
	c.Check(use.Read.Took, quicktest.Equals, maxMessageTime)
	c.Check(use.Pauses, quicktest.Equals, maxMessageTime)
}

// Guards against an unreachable leader that counts as a slow one, whose data centre is asked again by each request, and against
// a slow one that counts as unreachable.
func TestUnreachableLeaderIsToldFromASlowOne(t *testing.T) {
	c := quicktest.New(t)
	e := topology.NewEndpoint(topology.EndpointSpec{ID: "e1", DataCentre: "dc"})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	server := grpc.NewServer()
	l := scriptedLeader{endpoint: e, asked: make(chan forward.AdapterRequest)} // answers nothing
	wire.RegisterShareServer(server, l)
	go func() { _ = server.Serve(listener) }() // until Stop
	c.Cleanup(server.Stop)
	slow, gone := member.New("slow", listener.Addr().String(), roleBox, "dc", 1), member.New("gone", "127.0.0.1:1", roleBox, "dc", 1)
	p := peersOf(box("box", "dc", 2, 400), slow, gone)
	p.dialer = &daemon.Dialer{Credentials: insecure.NewCredentials(), Dial: new(net.Dialer).DialContext}
	c.Cleanup(p.dialer.Close)
	request := forward.AdapterRequest{Endpoint: e, MaxWait: 10 * time.Millisecond}

	_, err = p.requestLoad(context.Background(), gone, request)
	c.Check(errors.Is(err, forward.ErrOwnerUnreachable), quicktest.IsTrue, quicktest.Commentf("%v", err))
	_, err = p.requestLoad(context.Background(), slow, request)
	c.Check(err, quicktest.IsNotNil)
	c.Check(errors.Is(err, forward.ErrOwnerUnreachable), quicktest.IsFalse, quicktest.Commentf("%v", err))
	<-l.asked
	p.table.RecordRefusal("slow", time.Now())
	_, err = p.requestLoad(context.Background(), slow, request)
	c.Check(errors.Is(err, forward.ErrOwnerUnreachable), quicktest.IsTrue, quicktest.Commentf("%v", err))
}
