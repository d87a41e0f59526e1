// SPDX-License-Identifier: Apache-2.0

package share

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

func item(key string, version uint64) *wire.Item {
	return &wire.Item{Key: key, Version: version, DataCentre: "d1"}
}

func TestHigherVersionWinsInAnyOrder(t *testing.T) {
	c := quicktest.New(t)
	a, b := NewTable(), NewTable()
	a.Merge(item("k", 1), item("k", 2))
	b.Merge(item("k", 2))
	b.Merge(item("k", 1))
	c.Assert(a.Version("k"), quicktest.Equals, uint64(2))
	c.Assert(b.Version("k"), quicktest.Equals, uint64(2))
}

func TestOnChangeGetsOnlyNewerItems(t *testing.T) {
	c := quicktest.New(t)
	var changed []string
	a := NewTable()
	a.OnChange = func(items []*wire.Item) {
		for _, i := range items {
			changed = append(changed, i.GetKey())
		}
	}
	a.Merge(item("x", 5), item("y", 1))
	a.Merge(item("x", 4), item("y", 2))
	c.Assert(changed, quicktest.DeepEquals, []string{"x", "y", "y"})
}

func TestReceivedItemThatHasEndedIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	a := NewTable()
	a.HasEnded = func(i *wire.Item) bool { return i.GetVersion() <= 2 }
	a.Receive(item("x", 2), item("y", 3))
	c.Assert(a.Keys(), quicktest.DeepEquals, []string{"y"})
	a.Merge(item("x", 2)) // not received, so applied
	a.Receive(item("x", 1))
	c.Assert(a.Version("x"), quicktest.Equals, uint64(2))
}

// Entries of endpoints change with each adapter load, which boxes learn of through another channel. A version
// without new content is kept for new followers, but not sent.
func TestEquivalentVersionIsKeptButNotSent(t *testing.T) {
	c := quicktest.New(t)
	a := NewTable()
	changed := 0
	a.OnChange = func(items []*wire.Item) { changed += len(items) }
	a.IsEquivalent = func(old, now *wire.Item) bool { return string(old.GetValue()) == string(now.GetValue()) }
	merge := func(version uint64, value string) {
		i := item("k", version)
		i.Value = []byte(value)
		a.Merge(i)
	}
	merge(1, "x")
	_, seq, _ := a.ItemsSince(0)
	merge(5, "x")
	items, _, _ := a.ItemsSince(seq)
	c.Assert(items, quicktest.HasLen, 0)
	c.Assert(a.Version("k"), quicktest.Equals, uint64(5))
	merge(3, "y") // arrives late
	c.Assert(changed, quicktest.Equals, 1)
	merge(7, "y")
	c.Assert(changed, quicktest.Equals, 2)
	items, _, _ = a.ItemsSince(0)
	c.Assert(items[0].GetVersion(), quicktest.Equals, uint64(7))
}

// A box was not sent version 5, which is equivalent to version 1, and is up to date as of 6. Version 3,
// with other content, arrives late from a box that is behind.
func TestSupersededVersionIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	a := NewTable()
	a.Merge(item("k", 1))
	a.IsSuperseded = func(i *wire.Item) bool { return i.GetVersion() <= 6 }
	a.Receive(item("k", 3))
	c.Assert(a.Version("k"), quicktest.Equals, uint64(1))
	a.Receive(item("k", 7))
	c.Assert(a.Version("k"), quicktest.Equals, uint64(7))
}

func TestItemsSinceReturnsEachChangedItemOnce(t *testing.T) {
	c := quicktest.New(t)
	a := NewTable()
	a.Merge(item("x", 1), item("y", 1))
	_, seq, _ := a.ItemsSince(0)
	a.Merge(item("x", 2))
	a.Merge(item("x", 3))
	items, _, _ := a.ItemsSince(seq)
	c.Assert(items, quicktest.HasLen, 1)
	c.Assert(items[0].GetVersion(), quicktest.Equals, uint64(3))
}

// shareServer serves a table. If silent, it sends no messages.
type shareServer struct {
	wire.UnimplementedShareServer

	server *Server
	silent bool
}

// Follow implements the Share service.
func (s shareServer) Follow(q *wire.FollowRequest, stream wire.Share_FollowServer) error {
	if s.silent {
		<-stream.Context().Done()
		return nil
	}
	return s.server.Follow(q, stream)
}

func serve(c *quicktest.C, s shareServer) wire.ShareClient {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	g := grpc.NewServer()
	wire.RegisterShareServer(g, s)
	done := make(chan error, 1)
	go func() { done <- g.Serve(l) }()
	c.Cleanup(func() {
		g.Stop()
		<-done
	})
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return wire.NewShareClient(conn)
}

func TestFollowerReceivesKnownItemsAndChanges(t *testing.T) {
	c := quicktest.New(t)
	from, to := NewTable(), NewTable()
	from.Merge(item("early", 1), &wire.Item{Key: "foreign", Version: 1, DataCentre: "d2"})
	client := serve(c, shareServer{server: &Server{Table: from, DataCentre: "d1", ReadStatus: func() (ReadStatus, bool) { return ReadStatus{Age: time.Second, EndpointsRevision: 7}, true }}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- Follow(ctx, client, &wire.FollowRequest{}, to, nil, func(u *wire.Update, _ time.Time) {
			c.Check(u.GetReading(), quicktest.IsTrue)
			c.Check(u.GetAgeMicros(), quicktest.Equals, time.Second.Microseconds())
			c.Check(u.GetEndpointsRevision(), quicktest.Equals, uint64(7))
		})
	}()
	from.Merge(item("late", 1))
	for to.Version("early") == 0 || to.Version("late") == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(to.Version("foreign"), quicktest.Equals, uint64(0)) // not requested
	cancel()
	c.Assert(<-done, quicktest.IsNotNil)
}

func TestIdleStreamCountsAsBroken(t *testing.T) {
	c := quicktest.New(t)
	client := serve(c, shareServer{silent: true})
	err := Follow(context.Background(), client, &wire.FollowRequest{}, NewTable(), nil, func(*wire.Update, time.Time) {})
	c.Assert(errors.Is(err, ErrIdleTimeout), quicktest.IsTrue)
}

// A follower received a status that the store had just been read, while an endpoint's removal that had been
// read by then arrived only with the next message.
func TestReadStatusCoversItemsSentBeforeIt(t *testing.T) {
	c := quicktest.New(t)
	from, to := NewTable(), NewTable()
	for i := range MaxBatchItems + 1 {
		from.Merge(item(fmt.Sprint("k", i), 1))
	}
	read := func() (ReadStatus, bool) { // a read of the store just before the status is taken
		from.Merge(item("removal", 2))
		return ReadStatus{}, true
	}
	client := serve(c, shareServer{server: &Server{Table: from, DataCentre: "d1", ReadStatus: read}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	messages := 0
	err := Follow(ctx, client, &wire.FollowRequest{}, to, nil, func(u *wire.Update, _ time.Time) {
		messages++
		if u.GetReading() {
			c.Check(to.Version("removal"), quicktest.Equals, uint64(2))
			c.Check(to.Keys(), quicktest.HasLen, MaxBatchItems+2)
			cancel()
		}
	})
	c.Assert(err, quicktest.IsNotNil)
	c.Assert(messages, quicktest.Equals, 2)
}

// Guards against a stream that ends while a large message arrives, and against one that never ends while other calls get data.
func TestStreamIsIdleOnlyWithoutData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		data, ended := time.Now(), time.Time{}
		begun := time.Now()
		i := startIdleTimer(func() time.Time { return data }, func() { ended = time.Now() })
		defer i.timer.Stop()
		for time.Since(begun) < 2*IdleTimeout {
			time.Sleep(IdleTimeout / 2)
			data = time.Now()
		}
		c.Check(ended.IsZero(), quicktest.IsTrue)
		time.Sleep(2 * IdleTimeout)
		c.Check(ended.Sub(data), quicktest.Equals, IdleTimeout)
		i.received(time.Now())
		ended = time.Time{}
		message := time.Now()
		for ended.IsZero() {
			data = time.Now()
			time.Sleep(IdleTimeout / 2)
		}
		c.Check(ended.Sub(message) >= maxMessageTime && ended.Sub(message) <= maxMessageTime+2*IdleTimeout, quicktest.IsTrue)
	})
}

// Guards against a follower that never gets a list, since some large items make a message longer than gRPC accepts.
func TestFollowerReceivesManyLargeItems(t *testing.T) {
	c := quicktest.New(t)
	const large = 1 << 20
	from, to := NewTable(), NewTable()
	for n := range 12 {
		i := item(fmt.Sprint("k", n), 1)
		i.Value = bytes.Repeat([]byte{byte(n)}, large)
		from.Merge(i)
	}
	from.Merge(item("last", 2))
	client := serve(c, shareServer{server: &Server{Table: from, DataCentre: "d1", ReadStatus: func() (ReadStatus, bool) { return ReadStatus{}, true }}})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var full, last int
	err := Follow(ctx, client, &wire.FollowRequest{}, to, nil, func(u *wire.Update, _ time.Time) {
		if IsFullBatch(u.GetItems()) {
			full++
			return
		}
		last++
		c.Check(u.GetReading(), quicktest.IsTrue)
		c.Check(to.Version("last"), quicktest.Equals, uint64(2))
		cancel()
	})
	c.Check(errors.Is(err, context.Canceled), quicktest.IsTrue, quicktest.Commentf("%v", err))
	c.Check(full > 1, quicktest.IsTrue)
	c.Check(last, quicktest.Equals, 1)
	c.Check(to.Keys(), quicktest.HasLen, 13)
}
