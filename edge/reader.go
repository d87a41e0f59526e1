// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"time"

	"cairnwick.example/share"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

const (
	watchShort  = 300 * time.Millisecond  // the same after a failure, until the source answers
	watchPause  = 600 * time.Millisecond  // between two watches, so that events come in batches
	failPause   = 150 * time.Millisecond  // after a failed call, doubled up to failMost
	failMost    = 600 * time.Millisecond  // a source that is back is read within it
	failStandby = 1500 * time.Millisecond // the same where nobody relies on this box: its leader fails too, and there are many
	lapseGrace  = 2500 * time.Millisecond // endpoints that are missing after an outage have so long to come back
	wordFor     = 600 * time.Millisecond  // a box finds its leader within it, and hears what that reads
	wordLook    = 50 * time.Millisecond   // how often it looks meanwhile
	standbyLook = 100 * time.Millisecond  // how often a box that does not read looks whether it must
)

// reader reads one collection of the source into the table, while this box is one
// that reads.
type reader struct {
	collection Collection
	source     Source
	decoder    Decoder
	table      *share.Table
	wanted     func() bool // whether this box reads now
	leads      func() bool // whether others rely on what it reads
	log        logr.Logger
	watchTime  func() time.Duration // how long a watch waits for news
	heard      func(ok bool)        // hears whether the table is as the source says now
	ages       func() map[string]int64

	after     uint64 // revision that is known; zero: nothing
	failing   bool
	trusted   time.Time // until then a missing endpoint may be one that lapsed
	uncertain bool      // something was missing before trusted
	holding   bool      // the source said that something is gone, which is not believed yet
}

// run reads until ctx ends.
func (r *reader) run(ctx context.Context) error {
	pause := failPause
	for ctx.Err() == nil {
		if r.after != 0 && !r.wanted() {
			r.after = 0 // what is missed meanwhile is listed later
			r.standBy(ctx)
			continue
		}
		listed := r.after == 0
		found, err := r.step(ctx)
		if ctx.Err() != nil {
			break
		}
		r.note(err)
		switch {
		case err != nil:
			sleep(ctx, pause)
			pause = min(2*pause, r.longestPause())
		case listed:
			pause = failPause
			r.awaitWord(ctx)
		case found:
			pause = failPause
			sleep(ctx, watchPause)
		default:
			pause = failPause
		}
	}
	return nil
}

// longestPause is how long this box waits between two calls to a source that fails.
func (r *reader) longestPause() time.Duration {
	if r.leads() {
		return failMost
	}
	return failStandby
}

// awaitWord gives the leader some time to tell what it reads before this box watches the
// source as well: after a start of all boxes their watches would be most calls of the day.
func (r *reader) awaitWord(ctx context.Context) {
	for until := time.Now().Add(wordFor); ctx.Err() == nil && time.Now().Before(until) && !r.leads() && r.wanted(); {
		sleep(ctx, wordLook)
	}
}

// standBy waits until this box must read.
func (r *reader) standBy(ctx context.Context) {
	r.log.Info("Box relies on what its leader reads", "collection", r.collection.String(), "source_age", r.ages())
	for ctx.Err() == nil && !r.wanted() {
		sleep(ctx, standbyLook)
	}
	r.log.Info("Box reads the source by itself", "collection", r.collection.String(), "source_age", r.ages())
}

// step makes one call; it tells whether anything was found.
func (r *reader) step(ctx context.Context) (bool, error) {
	now := time.Now()
	if r.uncertain && now.After(r.trusted) {
		r.uncertain = false
		r.holding = false
		r.after = 0
	}
	if r.after == 0 {
		b, err := r.source.List(ctx, r.collection)
		if err != nil {
			return false, err
		}
		r.after = b.Revision
		r.snapshot(b, time.Now())
		return false, nil
	}
	wait := r.watchTime()
	if r.failing {
		wait = watchShort
	}
	if r.uncertain {
		wait = min(wait, max(time.Until(r.trusted), time.Millisecond))
	}
	b, err := r.source.Watch(ctx, r.collection, r.after, wait)
	if errors.As(err, &ErrForgotten{}) {
		r.log.Info("Source forgot its history and is listed anew", "collection", r.collection.String(), "revision", r.after)
		r.after = 0
		return false, nil
	}
	if err != nil {
		return false, err
	}
	r.after = b.Revision
	r.take(b.Facts, time.Now())
	return len(b.Facts) > 0, nil
}

// note logs when the source is lost and when it is back. A box that holds something back is
// no source for others: the outage may have been its own alone.
func (r *reader) note(err error) {
	r.heard(err == nil && r.after != 0 && !r.holding)
	if err == nil && r.failing {
		r.failing = false
		r.trusted = time.Now().Add(lapseGrace)
		r.uncertain = true
		r.log.Info("Source answers again", "collection", r.collection.String(), "revision", r.after)
	}
	if err != nil && !r.failing {
		r.failing = true
		r.log.Info("Source does not answer", "collection", r.collection.String(), "revision", r.after, "err", err.Error())
	}
}

// take merges facts. An endpoint that is missing soon after an outage is kept
// until the source can be trusted again.
func (r *reader) take(facts []Fact, now time.Time) {
	var items []*wire.Item
	for _, f := range facts {
		if f.Removed && r.collection == Endpoints && (now.Before(r.trusted) || r.failing) {
			r.uncertain = true
			r.holding = true
			continue
		}
		items = append(items, &wire.Item{Key: f.Key, Version: f.Revision, Value: f.Value, Removed: f.Removed, Settled: r.collection == Settled})
	}
	r.table.Merge(items...)
}

// snapshot merges a whole list: endpoints that are not in it are gone.
func (r *reader) snapshot(b Batch, now time.Time) {
	listed := make(map[string]bool, len(b.Facts))
	for _, f := range b.Facts {
		listed[f.Key] = true
	}
	facts := b.Facts
	for _, k := range r.table.Keys() {
		if r.decoder.Kind(k) == KindEndpoint && !listed[k] && r.collection == Endpoints {
			facts = append(facts, Fact{Key: k, Revision: b.Revision, Removed: true})
		}
	}
	r.take(facts, now)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
