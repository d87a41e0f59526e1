// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"sync/atomic"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/share"
	"cairnwick.example/wire"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

const (
	watchShort  = 300 * time.Millisecond  // of a watch after a failure, until the source answers
	watchLeast  = 50 * time.Millisecond   // of a watch that makes up for the time since the last answer
	failPause   = 150 * time.Millisecond  // after a failed call, doubled up to failMost
	failMost    = 600 * time.Millisecond  // a source that is back is read within it
	failGrowth  = 2                       // times as long is the pause after the next one
	lapseGrace  = 2500 * time.Millisecond // endpoints that are missing after an outage have so long to come back
	copyLapses  = 2                       // times a lapse after which an entry of a restored copy would be gone
	leaderWait  = 600 * time.Millisecond  // a box finds its leader within it, and receives what that reads
	leaderPoll  = 50 * time.Millisecond   // how often it looks meanwhile
	standbyLook = 100 * time.Millisecond  // how often a box that does not read looks whether it must
)

// reader reads one collection of the source into the table, while this box is one
// that reads.
type reader struct {
	collection Collection
	source     Source
	decoder    Decoder
	table      *share.Table
	wanted     func() bool       // whether this box reads now
	checkpoint func() checkpoint // up to where nothing is missing, by what this box read or received
	leads      func() bool       // whether others rely on what it reads
	log        logr.Logger
	behind     func() time.Duration // how far this box may be behind the source
	away       *atomic.Bool         // whether the source does not answer the reader of endpoints; of both readers
	lapse      func() time.Duration // entries of endpoints may lapse where the source is away for so long
	report     func(o readOutcome)
	ages       func() map[string]int64 // of the last reads, for the log
	listed     func(revision Revision) // is called with a list before it is applied
	counted    func(reason string)     // is called before each call
	restored   func()                  // is called when the source came back from an older copy

	after       Revision  // up to which nothing is missing; zero: nothing is known
	epoch       uint64    // of the source's last list
	begun       time.Time // of the last call
	asOf        time.Time // the table is as the source said then; zero: never
	failing     bool
	trusted     time.Time // until then a missing endpoint may be one that lapsed
	uncertain   bool      // something was missing before trusted
	holding     bool      // the source said that something is gone, which is not believed yet
	forgotten   bool      // the next list makes up for history that the source has forgotten
	afterOutage bool      // the next list shows which endpoints have lapsed
	doubted     time.Time // until then an entry of a restored copy may be of an endpoint that is gone
	doubtedIn   uint64    // the epoch of that copy
}

// readOutcome is how a reader's call went.
type readOutcome struct {
	begun    time.Time // when the call was made: the source answered later, however long its answer took
	asOf     time.Time // the table is as the source said then
	revision Revision  // of the source, as of then
	current  bool      // the call succeeded, and nothing of it is held back
}

// run reads until ctx ends.
func (r *reader) run(ctx context.Context) error {
	pause := failPause
	for ctx.Err() == nil {
		if r.after != 0 && !r.wanted() {
			r.stopReading(clock.Now())
			r.standBy(ctx)
			pause = failPause
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
			r.pauseFor(ctx, pause)
			pause = r.nextPause(pause)
			r.awaitAnswer(ctx)
		case listed:
			pause = failPause
			r.waitForLeader(ctx)
		case found:
			pause = failPause
			sleep(ctx, r.batchPause())
		default:
			pause = failPause
		}
	}
	return nil
}

// nextPause is how long this box waits after the next call to a source that fails. A leader is
// relied upon. Any other box learns it as soon as its leader reads the source, and needs its own
// calls only where its way to the source alone is open: after a second try, in case an answer was
// lost, it finds that out within the time that it may be behind. In an outage of 8 s a box that
// may be 2 s behind makes 6 calls by both readers, where tries each 1.5 s made 16 (counted under
// simulated time).
func (r *reader) nextPause(pause time.Duration) time.Duration {
	if r.leads() {
		return min(failGrowth*pause, failMost)
	}
	return r.behind()
}

// pauseFor waits after a call that failed, no longer than a leader where the box has begun to lead
// meanwhile.
func (r *reader) pauseFor(ctx context.Context, pause time.Duration) {
	begun := clock.Now()
	for waited := time.Duration(0); ctx.Err() == nil && waited < pause; waited = clock.Since(begun) {
		if waited >= failMost && r.leads() {
			return
		}
		sleep(ctx, min(standbyLook, pause-waited))
	}
}

// awaitAnswer leaves it to the reader of endpoints to find out that the source answers again.
func (r *reader) awaitAnswer(ctx context.Context) {
	for ctx.Err() == nil && r.collection != Endpoints && r.away.Load() && r.wanted() && !r.leads() {
		sleep(ctx, standbyLook)
	}
}

// waitForLeader gives the leader time to publish its read before this box opens its own watch
// as well: after a start of all boxes their watches would be most of the calls to it.
func (r *reader) waitForLeader(ctx context.Context) {
	for until := clock.Now().Add(leaderWait); ctx.Err() == nil && clock.Now().Before(until) && !r.leads() && r.wanted(); {
		sleep(ctx, leaderPoll)
	}
}

// stopReading forgets what only holds while this box reads: it goes on later from what it
// receives meanwhile. Endpoints that may have lapsed keep their time to come back, and are listed
// then.
func (r *reader) stopReading(now time.Time) {
	if r.failing && now.Sub(r.asOf) >= r.lapse() {
		r.trusted = now.Add(lapseGrace)
	}
	r.afterOutage = r.afterOutage || r.uncertain
	r.after, r.failing, r.uncertain, r.holding = 0, false, false, false
	r.noteAway()
}

// noteAway shares with the other reader of this box whether the source answers.
func (r *reader) noteAway() {
	if r.collection == Endpoints {
		r.away.Store(r.failing)
	}
}

// resume goes on from the checkpoint that this box reached while it did not read, unless only a list shows
// what it may have missed.
func (r *reader) resume() {
	if r.after != 0 || r.forgotten || r.afterOutage {
		return
	}
	if r.hasDoubted() {
		r.afterOutage = true
		return
	}
	if m := r.checkpoint(); m.revision != 0 {
		r.after, r.asOf = m.revision, m.asOf
	}
}

// standBy waits until this box must read.
func (r *reader) standBy(ctx context.Context) {
	r.log.Info("Stopped reading the source: the leader's updates are current", "collection", r.collection.String(), "source_age", r.ages())
	for ctx.Err() == nil && !r.wanted() {
		sleep(ctx, standbyLook)
	}
	r.log.Info("Reads the source: the leader's updates are not current", "collection", r.collection.String(), "source_age", r.ages())
}

// step makes one call; it reports whether anything was found.
func (r *reader) step(ctx context.Context) (bool, error) {
	begun := clock.Now()
	r.begun = begun
	if r.uncertain && begun.After(r.trusted) {
		r.after, r.uncertain, r.holding, r.afterOutage = 0, false, false, true
	}
	r.resume()
	r.counted(r.reason())
	if r.after == 0 {
		return false, r.list(ctx, begun)
	}
	wait := r.watchWait(begun)
	b, err := r.source.Watch(ctx, r.collection, r.after, wait)
	now := clock.Now()
	if errors.As(err, &ErrForgotten{}) {
		r.log.Info("Source forgot its history and is listed anew", "collection", r.collection.String(), "revision", r.after.String())
		r.back(now)
		r.after, r.forgotten = 0, true
		return false, nil
	}
	if err != nil {
		return false, err
	}
	r.back(now)
	r.after = b.Revision
	r.take(b.Facts, now)
	r.asOf = now
	if quiet := begun.Add(wait); len(b.Facts) == 0 && quiet.Before(now) {
		r.asOf = quiet // the rest of the time is the answer's way
	}
	return len(b.Facts) > 0, nil
}

// noteEpoch compares a list's epoch with that of what this box knows. Where the source was restored from an older
// copy, endpoints that are missing get time to write their entries again.
func (r *reader) noteEpoch(b Batch, now time.Time) {
	before, epoch := max(r.epoch, r.checkpoint().revision.Epoch()), b.Revision.Epoch()
	r.epoch = epoch
	if before == 0 || before >= epoch {
		return
	}
	r.restored()
	r.trusted = later(r.trusted, now.Add(lapseGrace))
	r.log.Info("Source was restored from an older copy", "collection", r.collection.String(), "epoch_before", before,
		"revision_before", r.checkpoint().revision.String(), "revision", b.Revision.String())
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reason names why the next call is made.
func (r *reader) reason() string {
	switch {
	case r.asOf.IsZero():
		return reasonFirstList
	case r.forgotten:
		return reasonHistoryLost
	case r.afterOutage:
		return reasonAfterOutage
	case r.leads():
		return reasonLeader
	}
	return reasonNoStatus
}

// list reads the whole collection. Its pages are as of their reading, the first at begun.
func (r *reader) list(ctx context.Context, begun time.Time) error {
	b, err := r.source.List(ctx, r.collection)
	if err != nil {
		return err
	}
	now := clock.Now()
	r.back(now)
	r.noteEpoch(b, now)
	r.after, r.forgotten, r.afterOutage = b.Revision, false, false
	r.listed(b.Revision)
	r.snapshot(b, now)
	r.asOf = begun
	return nil
}

// watchWait returns how long the next watch may wait: others rely on an answer now and then,
// and the pause after the last one counts.
func (r *reader) watchWait(now time.Time) time.Duration {
	wait := max(watchTime(r.behind())-now.Sub(r.asOf), watchLeast)
	if r.failing {
		wait = watchShort
	}
	if r.uncertain {
		wait = min(wait, max(r.trusted.Sub(now), time.Millisecond))
	}
	return wait
}

// batchPause returns how long to wait after an answer that brought facts, so that the next
// ones come together.
func (r *reader) batchPause() time.Duration { return watchTime(r.behind()) * 3 / 4 }

// back notes that the source answers. Where it was away for so long that entries of endpoints
// may have lapsed, what is missing gets some time to come back. A call that failed alone is no
// reason to keep an endpoint that has left.
func (r *reader) back(now time.Time) {
	if !r.failing {
		return
	}
	r.failing = false
	away := now.Sub(r.asOf)
	if away >= r.lapse() {
		r.trusted = now.Add(lapseGrace)
		r.uncertain = true
	}
	r.log.Info("Source answers again", "collection", r.collection.String(), "revision", r.after.String(), "away_ms", away.Milliseconds())
}

// note reports how a call went, and logs when the source is lost. A box that holds something
// back is no source for others: the outage may have been its own alone.
func (r *reader) note(err error) {
	r.report(readOutcome{begun: r.begun, asOf: r.asOf, revision: r.after, current: err == nil && r.after != 0 && !r.holding})
	if err != nil && !r.failing {
		r.failing = true
		r.log.Info("Source does not answer", "collection", r.collection.String(), "revision", r.after.String(), "err", err.Error())
	}
	r.noteAway()
}

// take merges facts. An endpoint that is missing soon after an outage is kept
// until the source can be trusted again.
func (r *reader) take(facts []Fact, now time.Time) {
	var items []*wire.Item
	for _, f := range facts {
		if f.Removed && r.collection == Endpoints && now.Before(r.trusted) {
			r.uncertain = true
			r.holding = true
			continue
		}
		items = append(items, share.Pack(&wire.Item{Key: f.Key, Version: uint64(f.Revision), Value: f.Value, Removed: f.Removed, Settled: r.collection == Settled}))
	}
	r.table.Merge(items...)
}

// snapshot merges a whole list: endpoints that are not in it are gone.
func (r *reader) snapshot(b Batch, now time.Time) {
	r.confirm(b, now)
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
