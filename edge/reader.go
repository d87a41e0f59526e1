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
	retryWatchTimeout   = 300 * time.Millisecond  // of a watch after a failure, until the source answers
	minWatchTimeout     = 50 * time.Millisecond   // of a watch that makes up for the time since the last answer
	initialRetryDelay   = 150 * time.Millisecond  // after a failed call, doubled up to failMost
	maxRetryDelay       = 600 * time.Millisecond  // a source that is back is read within it
	retryDelayFactor    = 2                       // times as long is the pause after the next one
	reappearGrace       = 2500 * time.Millisecond // endpoints that are missing after an outage have so long to come back
	confirmLapses       = 2                       // times a lapse after which an entry of a restored copy would be gone
	leaderSyncTimeout   = 600 * time.Millisecond  // a box finds its leader within it, and receives what that reads
	leaderPollInterval  = 50 * time.Millisecond   // how often it looks meanwhile
	standbyPollInterval = 100 * time.Millisecond  // how often a box that does not read looks whether it must
)

// reader reads one collection of the source into the table, while this box is one
// that reads.
type reader struct {
	collection   Collection
	source       Source
	decoder      Decoder
	table        *share.Table
	mustRead     func() bool       // whether this box reads now
	checkpoint   func() checkpoint // up to where nothing is missing, by what this box read or received
	leads        func() bool       // whether others rely on what it reads
	log          logr.Logger
	maxStaleness func() time.Duration // how far this box may be behind the source
	unreachable  *atomic.Bool         // whether the source does not answer the reader of endpoints; of both readers
	entryLapse   func() time.Duration // entries of endpoints may lapse where the source is away for so long
	onRead       func(o readResult)
	sourceAges   func() map[string]int64 // of the last reads, for the log
	onList       func(revision Revision) // is called with a list before it is applied
	onCall       func(reason string)     // is called before each call
	onRestore    func()                  // is called when the source came back from an older copy

	after             Revision  // up to which nothing is missing; zero: nothing is known
	epoch             uint64    // of the source's last list
	callStarted       time.Time // of the last call
	asOf              time.Time // the table is as the source said then; zero: never
	failing           bool
	graceUntil        time.Time // until then a missing endpoint may be one that lapsed
	relistPending     bool      // something was missing before trusted
	deferring         bool      // the source said that something is gone, which is not believed yet
	historyLost       bool      // the next list makes up for history that the source has forgotten
	relistAfterOutage bool      // the next list shows which endpoints have lapsed
	confirmAfter      time.Time // until then an entry of a restored copy may be of an endpoint that is gone
	confirmEpoch      uint64    // the epoch of that copy
}

// readResult is how a reader's call went.
type readResult struct {
	begun    time.Time // when the call was made: the source answered later, however long its answer took
	asOf     time.Time // the table is as the source said then
	revision Revision  // of the source, as of then
	current  bool      // the call succeeded, and nothing of it is held back
}

// run reads until ctx ends.
func (r *reader) run(ctx context.Context) error {
	pause := initialRetryDelay
	for ctx.Err() == nil {
		if r.after != 0 && !r.mustRead() {
			r.stopReading(clock.Now())
			r.standBy(ctx)
			pause = initialRetryDelay
			continue
		}
		listed := r.after == 0
		found, err := r.step(ctx)
		if ctx.Err() != nil {
			break
		}
		r.noteResult(err)
		switch {
		case err != nil:
			r.waitToRetry(ctx, pause)
			pause = r.nextRetryDelay(pause)
			r.awaitEndpointsReader(ctx)
		case listed:
			pause = initialRetryDelay
			r.waitForLeader(ctx)
		case found:
			pause = initialRetryDelay
			sleep(ctx, r.batchDelay())
		default:
			pause = initialRetryDelay
		}
	}
	return nil
}

// nextRetryDelay is how long this box waits after the next call to a source that fails. A leader is
// relied upon. Any other box learns it as soon as its leader reads the source, and needs its own
// calls only where its way to the source alone is open: after a second try, in case an answer was
// lost, it finds that out within the time that it may be behind. In an outage of 8 s a box that
// may be 2 s behind makes 6 calls by both readers, where tries each 1.5 s made 16 (counted under
// simulated time).
func (r *reader) nextRetryDelay(pause time.Duration) time.Duration {
	if r.leads() {
		return min(retryDelayFactor*pause, maxRetryDelay)
	}
	return r.maxStaleness()
}

// waitToRetry waits after a call that failed, no longer than a leader where the box has begun to lead
// meanwhile.
func (r *reader) waitToRetry(ctx context.Context, pause time.Duration) {
	begun := clock.Now()
	for waited := time.Duration(0); ctx.Err() == nil && waited < pause; waited = clock.Since(begun) {
		if waited >= maxRetryDelay && r.leads() {
			return
		}
		sleep(ctx, min(standbyPollInterval, pause-waited))
	}
}

// awaitEndpointsReader leaves it to the reader of endpoints to find out that the source answers again.
func (r *reader) awaitEndpointsReader(ctx context.Context) {
	for ctx.Err() == nil && r.collection != Endpoints && r.unreachable.Load() && r.mustRead() && !r.leads() {
		sleep(ctx, standbyPollInterval)
	}
}

// waitForLeader gives the leader time to publish its read before this box opens its own watch
// as well: after a start of all boxes their watches would be most of the calls to it.
func (r *reader) waitForLeader(ctx context.Context) {
	for until := clock.Now().Add(leaderSyncTimeout); ctx.Err() == nil && clock.Now().Before(until) && !r.leads() && r.mustRead(); {
		sleep(ctx, leaderPollInterval)
	}
}

// stopReading forgets what only holds while this box reads: it goes on later from what it
// receives meanwhile. Endpoints that may have lapsed keep their time to come back, and are listed
// then.
func (r *reader) stopReading(now time.Time) {
	if r.failing && now.Sub(r.asOf) >= r.entryLapse() {
		r.graceUntil = now.Add(reappearGrace)
	}
	r.relistAfterOutage = r.relistAfterOutage || r.relistPending
	r.after, r.failing, r.relistPending, r.deferring = 0, false, false, false
	r.shareReachability()
}

// shareReachability shares with the other reader of this box whether the source answers.
func (r *reader) shareReachability() {
	if r.collection == Endpoints {
		r.unreachable.Store(r.failing)
	}
}

// resumeFromCheckpoint goes on from the checkpoint that this box reached while it did not read, unless only a list shows
// what it may have missed.
func (r *reader) resumeFromCheckpoint() {
	if r.after != 0 || r.historyLost || r.relistAfterOutage {
		return
	}
	if r.hasUnconfirmed() {
		r.relistAfterOutage = true
		return
	}
	if m := r.checkpoint(); m.revision != 0 {
		r.after, r.asOf = m.revision, m.asOf
	}
}

// standBy waits until this box must read.
func (r *reader) standBy(ctx context.Context) {
	r.log.Info("Stopped reading the source: the leader's updates are current", "collection", r.collection.String(), "source_age", r.sourceAges())
	for ctx.Err() == nil && !r.mustRead() {
		sleep(ctx, standbyPollInterval)
	}
	r.log.Info("Reads the source: the leader's updates are not current", "collection", r.collection.String(), "source_age", r.sourceAges())
}

// step makes one call; it reports whether anything was found.
func (r *reader) step(ctx context.Context) (bool, error) {
	begun := clock.Now()
	r.callStarted = begun
	if r.relistPending && begun.After(r.graceUntil) {
		r.after, r.relistPending, r.deferring, r.relistAfterOutage = 0, false, false, true
	}
	r.resumeFromCheckpoint()
	r.onCall(r.callReason())
	if r.after == 0 {
		return false, r.list(ctx, begun)
	}
	wait := r.watchTimeout(begun)
	b, err := r.source.Watch(ctx, r.collection, r.after, wait)
	now := clock.Now()
	if errors.As(err, &ErrHistoryLost{}) {
		r.log.Info("Source forgot its history and is listed anew", "collection", r.collection.String(), "revision", r.after.String())
		r.noteAnswered(now)
		r.after, r.historyLost = 0, true
		return false, nil
	}
	if err != nil {
		return false, err
	}
	r.noteAnswered(now)
	r.after = b.Revision
	r.mergeFacts(b.Facts, now)
	r.asOf = now
	if quiet := begun.Add(wait); len(b.Facts) == 0 && quiet.Before(now) {
		r.asOf = quiet // the rest of the time is the answer's way
	}
	return len(b.Facts) > 0, nil
}

// checkEpoch compares a list's epoch with that of what this box knows. Where the source was restored from an older
// copy, endpoints that are missing get time to write their entries again.
func (r *reader) checkEpoch(b Batch, now time.Time) {
	before, epoch := max(r.epoch, r.checkpoint().revision.Epoch()), b.Revision.Epoch()
	r.epoch = epoch
	if before == 0 || before >= epoch {
		return
	}
	r.onRestore()
	r.graceUntil = later(r.graceUntil, now.Add(reappearGrace))
	r.log.Info("Source was restored from an older copy", "collection", r.collection.String(), "epoch_before", before,
		"revision_before", r.checkpoint().revision.String(), "revision", b.Revision.String())
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// callReason names why the next call is made.
func (r *reader) callReason() string {
	switch {
	case r.asOf.IsZero():
		return readFirst
	case r.historyLost:
		return readForgotten
	case r.relistAfterOutage:
		return readAfterOutage
	case r.leads():
		return readLeads
	}
	return readNotTold
}

// list reads the whole collection. Its pages are as of their reading, the first at begun.
func (r *reader) list(ctx context.Context, begun time.Time) error {
	b, err := r.source.List(ctx, r.collection)
	if err != nil {
		return err
	}
	now := clock.Now()
	r.noteAnswered(now)
	r.checkEpoch(b, now)
	r.after, r.historyLost, r.relistAfterOutage = b.Revision, false, false
	r.onList(b.Revision)
	r.mergeSnapshot(b, now)
	r.asOf = begun
	return nil
}

// watchTimeout returns how long the next watch may wait: others rely on an answer now and then,
// and the pause after the last one counts.
func (r *reader) watchTimeout(now time.Time) time.Duration {
	wait := max(maxAnswerInterval(r.maxStaleness())-now.Sub(r.asOf), minWatchTimeout)
	if r.failing {
		wait = retryWatchTimeout
	}
	if r.relistPending {
		wait = min(wait, max(r.graceUntil.Sub(now), time.Millisecond))
	}
	return wait
}

// batchDelay returns how long to wait after an answer that brought facts, so that the next
// ones come together.
func (r *reader) batchDelay() time.Duration { return maxAnswerInterval(r.maxStaleness()) * 3 / 4 }

// noteAnswered notes that the source answers. Where it was away for so long that entries of endpoints
// may have lapsed, what is missing gets some time to come noteAnswered. A call that failed alone is no
// reason to keep an endpoint that has left.
func (r *reader) noteAnswered(now time.Time) {
	if !r.failing {
		return
	}
	r.failing = false
	away := now.Sub(r.asOf)
	if away >= r.entryLapse() {
		r.graceUntil = now.Add(reappearGrace)
		r.relistPending = true
	}
	r.log.Info("Source answers again", "collection", r.collection.String(), "revision", r.after.String(), "away_ms", away.Milliseconds())
}

// noteResult reports how a call went, and logs when the source is lost. A box that holds something
// back is no source for others: the outage may have been its own alone.
func (r *reader) noteResult(err error) {
	r.onRead(readResult{begun: r.callStarted, asOf: r.asOf, revision: r.after, current: err == nil && r.after != 0 && !r.deferring})
	if err != nil && !r.failing {
		r.failing = true
		r.log.Info("Source does not answer", "collection", r.collection.String(), "revision", r.after.String(), "err", err.Error())
	}
	r.shareReachability()
}

// mergeFacts merges facts. An endpoint that is missing soon after an outage is kept
// until the source can be trusted again.
func (r *reader) mergeFacts(facts []Fact, now time.Time) {
	var items []*wire.Item
	for _, f := range facts {
		if f.Removed && r.collection == Endpoints && now.Before(r.graceUntil) {
			r.relistPending = true
			r.deferring = true
			continue
		}
		items = append(items, share.Pack(&wire.Item{Key: f.Key, Version: uint64(f.Revision), Value: f.Value, Removed: f.Removed, Settled: r.collection == Configuration}))
	}
	r.table.Merge(items...)
}

// mergeSnapshot merges a whole list: endpoints that are not in it are gone.
func (r *reader) mergeSnapshot(b Batch, now time.Time) {
	r.confirmResurrected(b, now)
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
	r.mergeFacts(facts, now)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
