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

// Relay keeps a Keeper current: from peers by their heartbeats, and from
// the platform where this daemon is one of the watchers. Set every field before
// Run.
type Relay struct {
	Keeper   *Keeper
	Platform *kvstore.Client
	Peers    PeerSource
	Nudge    func()      // sends heartbeats now, since there is news
	Watches  func() bool // whether this daemon watches the platform now
	Log      logr.Logger
	Wait     time.Duration // of one watch
	Pause    time.Duration // before a failed read is tried again

	hints chan hint
}

// hint says that a peer holds a head that may be news.
type hint struct {
	address string
	start   []byte
}

// Init makes the relay ready for heartbeats; call it before Run.
func (r *Relay) Init() { r.hints = make(chan hint, 64) }

// Attach implements member.PayloadHandler.
func (r *Relay) Attach(h *wire.Heartbeat) { r.Keeper.Attach(h) }

// Receive implements member.PayloadHandler: what is not held is fetched by Run.
func (r *Relay) Receive(h *wire.Heartbeat, address string) {
	for start := range r.Keeper.unknown(h) {
		select {
		case r.hints <- hint{address: address, start: []byte(start)}:
		default: // the next heartbeat has it again
		}
	}
}

// Run follows peers and platform until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	watched := make(chan error, 1)
	go func() { watched <- r.watch(ctx) }()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		changed := r.Keeper.Changed()
		if next := r.Keeper.Tick(time.Now()); !next.IsZero() {
			timer.Reset(time.Until(next))
		}
		select {
		case <-changed: // a candidate has settled
			r.Nudge()
		default:
		}
		select {
		case <-ctx.Done():
			return <-watched
		case h := <-r.hints:
			r.follow(ctx, h)
		case <-timer.C:
		case <-time.After(r.Pause):
		}
	}
}

// follow fetches a head that a peer holds.
func (r *Relay) follow(ctx context.Context, h hint) {
	if _, inForce, held := r.Keeper.Find(h.start); held && inForce {
		return
	}
	source := r.Peers(h.address)
	raw, inForce, err := source.Head(ctx, h.start)
	if err != nil {
		r.Log.V(1).Info("Peer gave no head", "address", h.address, "err", err.Error())
		return
	}
	r.offer(ctx, raw, inForce, source, "peer "+h.address)
}

// Ask takes over what the peer at the address has in force.
func (r *Relay) Ask(ctx context.Context, address string) error {
	source := r.Peers(address)
	raw, inForce, err := source.Head(ctx, nil)
	if err != nil {
		return errors.Wrap(err, "keeper: ask peer")
	}
	r.offer(ctx, raw, inForce, source, "peer "+address)
	return nil
}

// offer hands a head to the keeper and reports whether it was judged; one whose
// shards could not be fetched has to be offered again.
func (r *Relay) offer(ctx context.Context, raw []byte, inForce bool, from Source, name string) bool {
	v, err := r.Keeper.Offer(ctx, raw, inForce, from)
	if err != nil {
		r.Log.Error(err, "Configuration is not taken", "from", name, "verdict", v.String())
		return v != 0
	}
	if v == Rival {
		r.Log.Info("Published head is refused, another was published on the same base; publish it again on the winner",
			"from", name, "lost", catalog.Digest(raw), "won", r.Keeper.Catalog().Digest())
		return true
	}
	if v == Candidate || v == InForce {
		r.Nudge()
	}
	r.Log.V(1).Info("Configuration was offered", "from", name, "verdict", v.String())
	return true
}

// watch follows the platform's head while this daemon is a watcher.
func (r *Relay) watch(ctx context.Context) error {
	source := platformSource{client: r.Platform}
	var index uint64
	for ctx.Err() == nil {
		if !r.Watches() {
			index = 0
			sleep(ctx, r.Pause)
			continue
		}
		v, err := r.Platform.Watch(ctx, kvstore.HeadKey, index, r.Wait)
		if err != nil {
			r.Log.V(1).Info("Platform gave no head", "err", err.Error())
			index = 0 // it may come back from an older copy, which gives the index out again
			sleep(ctx, r.Pause)
			continue
		}
		if !r.offer(ctx, v.Body(), false, source, "platform") {
			sleep(ctx, r.Pause)
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
