// SPDX-License-Identifier: Apache-2.0

package keeper

import (
	"context"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/kvstore"
	"cairnwick.example/logging"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// PeerSource returns the source for the peer at an address.
type PeerSource func(address string) Source

// Syncer keeps a Keeper up to date. It fetches heads that peers announce in their
// heartbeats, and watches the platform if this daemon is one of the watchers. Set every
// exported field before Run.
type Syncer struct {
	Keeper           *Keeper
	Platform         *kvstore.Client
	Peers            PeerSource
	TriggerHeartbeat func()      // sends heartbeats at once, to announce a head
	IsWatcher        func() bool // whether this daemon should watch the platform
	Log              logr.Logger
	WatchTimeout     time.Duration // longest wait of one watch for a change
	RetryInterval    time.Duration // between a failed read and the next

	announcements chan announcement
}

// announcement is the digest prefix of a head that a peer announced and that may be new.
type announcement struct {
	address string // of the peer
	prefix  []byte
}

// Init prepares the syncer for heartbeats; call it before Run.
func (s *Syncer) Init() { s.announcements = make(chan announcement, 64) }

// Attach implements member.PayloadHandler.
func (s *Syncer) Attach(h *wire.Heartbeat) { s.Keeper.Attach(h) }

// Receive implements member.PayloadHandler. It queues unknown heads for Run to fetch.
func (s *Syncer) Receive(h *wire.Heartbeat, address string) {
	for prefix := range s.Keeper.unknownHeads(h) {
		select {
		case s.announcements <- announcement{address: address, prefix: []byte(prefix)}:
		default: // the queue is full; the next heartbeat announces the head again
		}
	}
}

// Run fetches announced heads and watches the platform until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	watchDone := make(chan error, 1)
	go func() { watchDone <- s.watchPlatform(ctx) }()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		changed := s.Keeper.Changed()
		if next := s.Keeper.Tick(time.Now()); !next.IsZero() {
			timer.Reset(time.Until(next))
		}
		select {
		case <-changed: // Tick put a candidate in force
			s.TriggerHeartbeat()
		default:
		}
		select {
		case <-ctx.Done():
			return <-watchDone
		case a := <-s.announcements:
			s.fetchHead(ctx, a)
		case <-timer.C:
		case <-time.After(s.RetryInterval):
		}
	}
}

// fetchHead fetches a head that a peer announced, unless it is in force here.
func (s *Syncer) fetchHead(ctx context.Context, a announcement) {
	if _, inForce, held := s.Keeper.Find(a.prefix); held && inForce {
		return
	}
	source := s.Peers(a.address)
	raw, inForce, err := source.Head(ctx, a.prefix)
	if err != nil {
		s.Log.V(1).Info("Failed to fetch head from peer", "address", a.address, "err", err.Error())
		return
	}
	s.offer(ctx, raw, inForce, source, "peer "+a.address)
}

// FetchFrom fetches the configuration that is in force at the peer with the address.
func (s *Syncer) FetchFrom(ctx context.Context, address string) error {
	source := s.Peers(address)
	raw, inForce, err := source.Head(ctx, nil)
	if err != nil {
		return errors.Wrap(err, "keeper: fetch head from peer")
	}
	s.offer(ctx, raw, inForce, source, "peer "+address)
	return nil
}

// offer offers a head to the keeper and reports whether there was a verdict. If not,
// because its shards could not be fetched, the head has to be offered again.
func (s *Syncer) offer(ctx context.Context, raw []byte, inForce bool, from Source, name string) bool {
	v, err := s.Keeper.Offer(ctx, raw, inForce, from)
	if err != nil {
		s.Log.Error(logging.ShortError(err), "Configuration was not accepted", "from", name, "verdict", v.String())
		return v != 0
	}
	if v == Rival {
		s.Log.Info("Published head was rejected because another one was published on the same base; publish it again on the winner",
			"from", name, "lost", catalog.Digest(raw), "won", s.Keeper.Catalog().Digest())
		return true
	}
	if v == Candidate || v == InForce {
		s.TriggerHeartbeat()
	}
	s.Log.V(1).Info("Configuration was offered", "from", name, "verdict", v.String())
	return true
}

// watchPlatform offers each new head of the platform while this daemon is a watcher.
func (s *Syncer) watchPlatform(ctx context.Context) error {
	source := platformSource{client: s.Platform}
	var index uint64
	for ctx.Err() == nil {
		if !s.IsWatcher() {
			index = 0
			sleep(ctx, s.RetryInterval)
			continue
		}
		v, err := s.Platform.Watch(ctx, kvstore.HeadKey, index, s.WatchTimeout)
		if err != nil {
			s.Log.V(1).Info("Failed to read head from platform", "err", err.Error())
			index = 0 // the platform may be restored from an older copy, which reuses indexes
			sleep(ctx, s.RetryInterval)
			continue
		}
		if !s.offer(ctx, v.Body(), false, source, "platform") {
			sleep(ctx, s.RetryInterval)
			continue
		}
		index = v.Index()
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// platformSource reads documents from the platform.
type platformSource struct{ client *kvstore.Client }

// Head implements Source. The platform has only one head, which counts as a candidate.
func (s platformSource) Head(ctx context.Context, _ []byte) ([]byte, bool, error) {
	v, err := s.client.Read(ctx, kvstore.HeadKey)
	return v.Body(), false, err
}

// Shard implements Source.
func (s platformSource) Shard(ctx context.Context, digest string) ([]byte, error) {
	v, err := s.client.Read(ctx, kvstore.ShardPrefix+digest)
	return v.Body(), err
}
