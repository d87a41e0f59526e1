// SPDX-License-Identifier: Apache-2.0

package share

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

const (
	batchDelay    = 40 * time.Millisecond // changes of this time go in one message
	maxBatchItems = 256                   // items in one message, so that it stays far below gRPC's 4 MB
	// BeatPause is after how long without a change a stream sends a message all the same.
	HeartbeatInterval = 300 * time.Millisecond
	// SilentAfter is how long a stream may say nothing before it counts as broken:
	// two beats lost and some delay.
	IdleTimeout = 750 * time.Millisecond
)

// Server streams a table to those that follow it.
type Server struct {
	Table      *Table
	DataCentre string // of this box
	// Reading returns how far this box, or one that it follows, has read the store of
	// the configuration; false: none did lately, as far as it knows.
	ReadStatus func() (w ReadStatus, ok bool)
}

// Status says how far a box has read the store of the configuration.
type ReadStatus struct {
	Age               time.Duration // since the last successful read
	SettledRevision   uint64        // the store's revision up to which no settled fact is missing; zero: not known
	EndpointsRevision uint64        // the same of lives of endpoints
}

// Follow sends everything that the follower asked for and has not, then each change.
func (s *Server) Follow(q *wire.FollowRequest, stream grpc.ServerStreamingServer[wire.Update]) error {
	f := newFollower(q, s.DataCentre)
	var seq uint64
	for {
		w, reading := s.ReadStatus() // before the items: what was read by then is among them
		items, last, changed := s.Table.ItemsSince(seq)
		seq = last
		status := &wire.Update{}
		if reading {
			status = &wire.Update{Reading: true, AgeMicros: w.Age.Microseconds(), SettledRevision: w.SettledRevision, EndpointsRevision: w.EndpointsRevision}
		}
		if err := f.send(stream, items, status); err != nil {
			return err
		}
		if err := waitForChange(stream.Context(), changed); err != nil {
			return err
		}
	}
}

// pause waits for a change and a little for more of them, or for the next beat.
func waitForChange(ctx context.Context, changed <-chan struct{}) error {
	beat := time.NewTimer(HeartbeatInterval)
	defer beat.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-beat.C:
		return nil
	case <-changed:
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(batchDelay):
		return nil
	}
}

// follower is who reads a stream.
type follower struct {
	request    *wire.FollowRequest
	dataCentre string            // of the box that sends
	known      map[string]uint64 // versions that it had when it began to follow
}

func newFollower(q *wire.FollowRequest, dataCentre string) *follower {
	f := &follower{request: q, dataCentre: dataCentre, known: make(map[string]uint64, len(q.GetKnown()))}
	for _, k := range q.GetKnown() {
		f.known[k.GetKey()] = k.GetVersion()
	}
	return f
}

// needs reports whether the follower asked for an item and has not got it.
func (f *follower) needs(i *wire.Item) bool {
	if !f.request.GetEverything() && !i.GetSettled() && i.GetDataCentre() != f.dataCentre {
		return false
	}
	return f.known[i.GetKey()] < i.GetVersion()
}

// send sends the items that the follower needs, and the status with the last of them: it
// holds of them all. A message without any is a beat.
func (f *follower) send(stream grpc.ServerStreamingServer[wire.Update], items []*wire.Item, status *wire.Update) error {
	u := &wire.Update{}
	for _, i := range items {
		if !f.needs(i) {
			continue
		}
		if !f.request.GetPacked() {
			var err error
			if i, err = decompressed(i); err != nil {
				return err
			}
		}
		u.Items = append(u.Items, i)
		if len(u.Items) == maxBatchItems {
			if err := stream.Send(u); err != nil {
				return err
			}
			u = &wire.Update{}
		}
	}
	status.Items = u.Items
	return stream.Send(status)
}

// ErrSilent says that a followed box said nothing for too long.
var ErrIdleTimeout = errors.New("share: the followed box is silent")

// Follow merges what the box behind c sends, until the stream breaks, falls silent, or ctx ends. What the
// table has need not be sent. received is called with each message after it was merged, and when it came.
func Follow(ctx context.Context, c wire.ShareClient, q *wire.FollowRequest, t *Table, received func(u *wire.Update, came time.Time)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := time.AfterFunc(IdleTimeout, func() { cancel(ErrIdleTimeout) })
	defer silent.Stop()
	q.Packed, q.Known = true, t.knownVersions()
	stream, err := c.Follow(ctx, q)
	if err != nil {
		return streamError(ctx, err)
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			return streamError(ctx, err)
		}
		came := clock.Now()
		silent.Reset(IdleTimeout)
		t.Receive(u.GetItems()...)
		received(u, came)
	}
}

func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return errors.Wrap(err, "share: stream")
}
