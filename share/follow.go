// SPDX-License-Identifier: Apache-2.0

package share

import (
	"context"
	"time"

	"cairnwick.example/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

const (
	batchPause = 40 * time.Millisecond // changes of this time go in one message
	batchMost  = 256                   // items in one message, so that it stays far below gRPC's 4 MB
	// BeatPause is after how long without a change a stream sends a message all the same.
	BeatPause = 300 * time.Millisecond
	// SilentAfter is how long a stream may say nothing before it counts as broken:
	// two beats lost and some delay.
	SilentAfter = 750 * time.Millisecond
)

// Server streams a table to those that follow it.
type Server struct {
	Table      *Table
	DataCentre string // of this box
	// Reading tells how far this box, or one that it follows, has heard the store of
	// the configuration; false: none did lately, as far as it knows.
	Reading func() (w Word, ok bool)
}

// Word says how far a box has heard the store of the configuration.
type Word struct {
	Age       time.Duration // since the store was heard
	Settled   uint64        // the store's revision up to which no settled fact is missing; zero: not known
	Endpoints uint64        // the same of lives of endpoints
}

// Follow sends everything that the follower asked for, then each change.
func (s *Server) Follow(q *wire.FollowRequest, stream grpc.ServerStreamingServer[wire.Update]) error {
	var seq uint64
	for {
		w, reading := s.Reading() // before the items: what was heard by then is among them
		items, last, changed := s.Table.Since(seq)
		seq = last
		word := &wire.Update{}
		if reading {
			word = &wire.Update{Reading: true, AgeMicros: w.Age.Microseconds(), SettledRevision: w.Settled, EndpointsRevision: w.Endpoints}
		}
		if err := s.send(q, stream, items, word); err != nil {
			return err
		}
		if err := pause(stream.Context(), changed); err != nil {
			return err
		}
	}
}

// pause waits for a change and a little for more of them, or for the next beat.
func pause(ctx context.Context, changed <-chan struct{}) error {
	beat := time.NewTimer(BeatPause)
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
	case <-time.After(batchPause):
		return nil
	}
}

// send sends the items that the follower asked for, and word with the last of them: it
// holds of them all. A message without any is a beat.
func (s *Server) send(q *wire.FollowRequest, stream grpc.ServerStreamingServer[wire.Update], items []*wire.Item, word *wire.Update) error {
	u := &wire.Update{}
	for _, i := range items {
		if !q.GetEverything() && !i.GetSettled() && i.GetDataCentre() != s.DataCentre {
			continue
		}
		u.Items = append(u.Items, i)
		if len(u.Items) == batchMost {
			if err := stream.Send(u); err != nil {
				return err
			}
			u = &wire.Update{}
		}
	}
	word.Items = u.Items
	return stream.Send(word)
}

// ErrSilent says that a followed box said nothing for too long.
var ErrSilent = errors.New("share: the followed box is silent")

// Follow merges what the box behind c tells, until the stream breaks, falls
// silent, or ctx ends. Each message is told to heard after it was merged, with the time at
// which it came.
func Follow(ctx context.Context, c wire.ShareClient, q *wire.FollowRequest, t *Table, heard func(u *wire.Update, came time.Time)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := time.AfterFunc(SilentAfter, func() { cancel(ErrSilent) })
	defer silent.Stop()
	stream, err := c.Follow(ctx, q)
	if err != nil {
		return broken(ctx, err)
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			return broken(ctx, err)
		}
		came := time.Now()
		silent.Reset(SilentAfter)
		t.Hear(u.GetItems()...)
		heard(u, came)
	}
}

func broken(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return errors.Wrap(err, "share: stream")
}
