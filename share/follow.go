// SPDX-License-Identifier: Apache-2.0

package share

import (
	"context"
	"sync"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

const (
	batchDelay = 40 * time.Millisecond // changes within this time are sent in one message
	// MaxBatchItems is the maximum number of items in a message of a list.
	MaxBatchItems = 256
	// fullBatchBytes is the size of the values in a message from which on the next item is in another one. With one item more, each
	// of which has 1 MB at most, it stays below the limit of gRPC, 4 MB.
	fullBatchBytes = 1 << 20
	// HeartbeatInterval is the time without changes after which a stream sends a message without items.
	HeartbeatInterval = 300 * time.Millisecond
	// IdleTimeout is the time without messages after which a stream counts as broken. It allows for two
	// lost heartbeats and some delay.
	IdleTimeout = 750 * time.Millisecond
	// maxMessageTime limits how long a stream may go without a message while data arrives: one with a large fact takes long over a
	// narrow link.
	maxMessageTime = 10 * time.Second
	// minLateness is the delay of the idle timer from which this process counts as late itself. A message may then be
	// there already.
	minLateness = 20 * time.Millisecond
	// maxLateExtensions limits how often in a row a late process waits longer for a message.
	maxLateExtensions = 4
)

// Server streams a table to its followers.
type Server struct {
	Table      *Table
	DataCentre string // of this box
	// ReadStatus returns how far this box, or a box that it follows, has read the configuration
	// store. ok is false if none is known to have read it recently.
	ReadStatus func() (s ReadStatus, ok bool)
}

// ReadStatus says how far a box has read the configuration store.
type ReadStatus struct {
	Age               time.Duration // since the last successful read
	SettledRevision   uint64        // store revision up to which all settled facts are known; zero if unknown
	EndpointsRevision uint64        // likewise for endpoint instances
}

// Follow sends the items that the follower requested and lacks, and then each change.
func (s *Server) Follow(q *wire.FollowRequest, stream grpc.ServerStreamingServer[wire.Update]) error {
	f := newFollower(q, s.DataCentre)
	var seq uint64
	for {
		read, ok := s.ReadStatus() // before ItemsSince, so that the items include everything read by then
		items, last, changed := s.Table.ItemsSince(seq)
		seq = last
		status := &wire.Update{}
		if ok {
			status = &wire.Update{Reading: true, AgeMicros: read.Age.Microseconds(), SettledRevision: read.SettledRevision, EndpointsRevision: read.EndpointsRevision}
		}
		if err := f.send(stream, items, status); err != nil {
			return err
		}
		if err := waitForChange(stream.Context(), changed); err != nil {
			return err
		}
	}
}

// waitForChange waits until a change, plus batchDelay to batch further ones, or until the next heartbeat is due.
func waitForChange(ctx context.Context, changed <-chan struct{}) error {
	heartbeat := time.NewTimer(HeartbeatInterval)
	defer heartbeat.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-heartbeat.C:
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

// follower is the receiver of a stream.
type follower struct {
	request    *wire.FollowRequest
	dataCentre string            // of the sending box
	known      map[string]uint64 // versions that the follower had when the stream started, by key
}

func newFollower(request *wire.FollowRequest, dataCentre string) *follower {
	f := &follower{request: request, dataCentre: dataCentre, known: make(map[string]uint64, len(request.GetKnown()))}
	for _, k := range request.GetKnown() {
		f.known[k.GetKey()] = k.GetVersion()
	}
	return f
}

// needs reports whether the follower requested an item and did not have it when the stream started.
func (f *follower) needs(i *wire.Item) bool {
	if !f.request.GetEverything() && !i.GetSettled() && i.GetDataCentre() != f.dataCentre {
		return false
	}
	return f.known[i.GetKey()] < i.GetVersion()
}

// send sends the items that the follower needs in batches. The status is in the last message only, since
// it covers all items. A message without items is a heartbeat.
func (f *follower) send(stream grpc.ServerStreamingServer[wire.Update], items []*wire.Item, status *wire.Update) error {
	u := &wire.Update{}
	size := 0
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
		size += valueSize(i)
		if isFull(len(u.Items), size) {
			if err := stream.Send(u); err != nil {
				return err
			}
			u, size = &wire.Update{}, 0
		}
	}
	status.Items = u.Items
	return stream.Send(status)
}

// IsFullBatch reports whether a message with these items is not the last one of a list.
func IsFullBatch(items []*wire.Item) bool {
	size := 0
	for _, i := range items {
		size += valueSize(i)
	}
	return isFull(len(items), size)
}

func isFull(items, bytes int) bool { return items >= MaxBatchItems || bytes >= fullBatchBytes }

// valueSize returns the size of an item's value as it is sent.
func valueSize(i *wire.Item) int { return len(i.GetValue()) + len(i.GetPacked()) }

// ErrIdleTimeout is returned by Follow if the followed box sent no message within IdleTimeout.
var ErrIdleTimeout = errors.New("share: followed box sent no message within the idle timeout")

// Follow merges the items sent by the box behind c until the stream breaks, is idle for too long, or ctx ends. It
// names the versions that the table has, which the box then does not send. lastData returns when data last came from the box, by
// package clock; nil: not known. onReceived is called with each message after it was merged, and the time at which it arrived.
func Follow(ctx context.Context, c wire.ShareClient, q *wire.FollowRequest, t *Table, lastData func() time.Time, onReceived func(u *wire.Update, at time.Time)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := startIdleTimer(lastData, func() { cancel(ErrIdleTimeout) })
	defer idle.timer.Stop()
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
		at := clock.Now()
		idle.received(at)
		t.Receive(u.GetItems()...)
		onReceived(u, at)
	}
}

// idleTimer ends a stream that is idle. One on which a message is arriving is not.
type idleTimer struct {
	lastData func() time.Time // nil: not known
	end      func()
	timer    *time.Timer

	mu         sync.Mutex
	message    time.Time // when the last message arrived
	due        time.Time
	extensions int // since the last message, because this process was late
}

func startIdleTimer(lastData func() time.Time, end func()) *idleTimer {
	now := clock.Now()
	i := &idleTimer{lastData: lastData, end: end, message: now, due: now.Add(IdleTimeout)}
	i.mu.Lock() // the timer may fire at once
	defer i.mu.Unlock()
	i.timer = time.AfterFunc(IdleTimeout, i.expire)
	return i
}

// received records a message.
func (i *idleTimer) received(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.message, i.due, i.extensions = now, now.Add(IdleTimeout), 0
	i.timer.Reset(IdleTimeout)
}

// expire ends the stream unless data has arrived meanwhile or this process is late.
func (i *idleTimer) expire() {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := clock.Now()
	late := now.Sub(i.due)
	if i.lastData != nil && now.Sub(i.message) < maxMessageTime {
		if due := i.lastData().Add(IdleTimeout); due.After(now) {
			i.due, i.extensions = due, 0
			i.timer.Reset(due.Sub(now))
			return
		}
	}
	if late >= minLateness && i.extensions < maxLateExtensions {
		i.extensions++
		i.due = now.Add(min(late, IdleTimeout))
		i.timer.Reset(i.due.Sub(now))
		return
	}
	i.end()
}

// streamError returns the cause of the context's end if it ended, else err.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return errors.Wrap(err, "share: stream")
}
