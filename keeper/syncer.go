// SPDX-License-Identifier: Apache-2.0

package keeper

import (
	"context"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/kvstore"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// PeerSource makes the source for the peer at an address.
type PeerSource func(address string) Source

// Syncer keeps a Keeper current: from peers by their heartbeats, and from
// the platform where this daemon is one of the watchers. Set every field before
// Run.
type Syncer struct {
	Keeper           *Keeper
	Platform         *kvstore.Client
	Peers            PeerSource
	TriggerHeartbeat func()      // sends heartbeats now, since there is news
	IsWatcher        func() bool // whether this daemon watches the platform now
	Log              logr.Logger
	WatchTimeout     time.Duration // of one watch
	RetryInterval    time.Duration // before a failed read is tried again

	announcements chan announcement
}

// announcement says that a peer holds a head that may be news.
type announcement struct {
	address string
	prefix  []byte
}

// Init makes the relay ready for heartbeats; call it before Run.
func (s *Syncer) Init() { s.announcements = make(chan announcement, 64) }

// Fill implements member.Extras.
func (s *Syncer) Fill(h *wire.Heartbeat) { s.Keeper.Fill(h) }

// Heard implements member.Extras: what is not held is fetched by Run.
func (s *Syncer) Heard(h *wire.Heartbeat, address string) {
	for prefix := range s.Keeper.unknownHeads(h) {
		select {
		case s.announcements <- announcement{address: address, prefix: []byte(prefix)}:
		default: // the next heartbeat has it again
		}
	}
}

// Run follows peers and platform until ctx ends.
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
		case <-changed: // a candidate has settled
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

// fetchHead fetches a head that a peer holds.
func (s *Syncer) fetchHead(ctx context.Context, a announcement) {
	if _, inForce, held := s.Keeper.Find(a.prefix); held && inForce {
		return
	}
	source := s.Peers(a.address)
	raw, inForce, err := source.Head(ctx, a.prefix)
	if err != nil {
		s.Log.V(1).Info("Peer gave no head", "address", a.address, "err", err.Error())
		return
	}
	s.offer(ctx, raw, inForce, source, "peer "+a.address)
}

// FetchFrom takes over what the peer at the address has in force.
func (s *Syncer) FetchFrom(ctx context.Context, address string) error {
	source := s.Peers(address)
	raw, inForce, err := source.Head(ctx, nil)
	if err != nil {
		return errors.Wrap(err, "keeper: ask peer")
	}
	s.offer(ctx, raw, inForce, source, "peer "+address)
	return nil
}

// offer hands a head to the keeper and reports whether it was judged; one whose
// shards could not be fetched has to be offered again.
func (s *Syncer) offer(ctx context.Context, raw []byte, inForce bool, from Source, name string) bool {
	v, err := s.Keeper.Offer(ctx, raw, inForce, from)
	if err != nil {
		s.Log.Error(err, "Configuration is not taken", "from", name, "verdict", v.String())
		return v != 0
	}
	if v == Rival {
		s.Log.Info("Published head is refused, another was published on the same base; publish it again on the winner",
			"from", name, "lost", catalog.Digest(raw), "won", s.Keeper.Catalog().Digest())
		return true
	}
	if v == Candidate || v == InForce {
		s.TriggerHeartbeat()
	}
	s.Log.V(1).Info("Configuration was offered", "from", name, "verdict", v.String())
	return true
}

// watchPlatform follows the platform's head while this daemon is a watcher.
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
			s.Log.V(1).Info("Platform gave no head", "err", err.Error())
			index = 0 // it may come back from an older copy, which gives the index out again
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

// Head implements Source; the platform has no candidates.
func (s platformSource) Head(ctx context.Context, _ []byte) ([]byte, bool, error) {
	v, err := s.client.Read(ctx, kvstore.HeadKey)
	return v.Body(), false, err
}

// Shard implements Source.
func (s platformSource) Shard(ctx context.Context, digest string) ([]byte, error) {
	v, err := s.client.Read(ctx, kvstore.ShardPrefix+digest)
	return v.Body(), err
}
