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
	retryWatchTimeout   = 300 * time.Millisecond  // watch timeout after a failure, until the source responds
	minWatchTimeout     = 50 * time.Millisecond   // lower bound of the watch timeout when the previous response is already old
	initialRetryDelay   = 150 * time.Millisecond  // doubled after each failed call, up to maxRetryDelay
	maxRetryDelay       = 600 * time.Millisecond  // upper bound of the delay before a recovered source is noticed
	retryDelayFactor    = 2                       // factor between successive retry delays
	reappearGrace       = 2500 * time.Millisecond // time for endpoints whose entries expired in an outage to publish them again
	confirmLapses       = 2                       // entries in a restored copy are given this many lapse periods to expire
	leaderSyncTimeout   = 600 * time.Millisecond  // enough for a box to find its leader and receive the leader's first read
	leaderPollInterval  = 50 * time.Millisecond   // how often it looks meanwhile
	standbyPollInterval = 100 * time.Millisecond  // how often a box that does not read checks whether it must
)

// reader copies one collection of the source into the table while this box has to read it.
type reader struct {
	collection   Collection
	source       Source
	decoder      Decoder
	table        *share.Table
	mustRead     func() bool       // whether this box has to read the source now
	checkpoint   func() checkpoint // the latest revision without gaps, from own reads and from other boxes
	leads        func() bool       // whether other boxes depend on this reader
	log          logr.Logger
	maxStaleness func() time.Duration // upper bound of how far this box may lag behind the source
	unreachable  *atomic.Bool         // whether the reader of endpoints gets no response; shared by both readers
	entryLapse   func() time.Duration // an outage of this length may let endpoint entries expire
	onRead       func(o readResult)
	sourceAges   func() map[string]int64 // ages of the last reads, for the log
	onList       func(revision Revision) // called with the revision of a list before the list is applied
	onCall       func(reason string)     // called before each call, with the reason for it
	onRestore    func()                  // called when the source was restored from an older copy
	// sentBy returns the earliest time at which a response that was read at now may have been sent; nil: that time.
	sentBy func(now time.Time) time.Time

	after             Revision  // the latest revision without gaps; zero: none
	epoch             uint64    // of the last list
	callStarted       time.Time // when the last call began
	asOf              time.Time // the table reflects the source at this time; zero: never read
	failing           bool
	graceUntil        time.Time // until then a missing endpoint may only have an expired entry
	relistPending     bool      // list again once graceUntil has passed
	deferring         bool      // removals were reported that are not applied yet
	historyLost       bool      // a list is needed since the source lost its history
	relistAfterOutage bool      // a list is needed to find endpoints that expired in an outage
	confirmAfter      time.Time // until then an entry in a restored copy may belong to an endpoint that is gone
	confirmEpoch      uint64    // the epoch that confirmAfter applies to
}

// readResult is the result of one call.
type readResult struct {
	startedAt time.Time // when the call was sent; the source responded at some later time
	asOf      time.Time // the table reflects the source at this time
	revision  Revision  // of the source at asOf
	current   bool      // the call succeeded and no removal is deferred
}

// run reads the source until ctx ends.
func (r *reader) run(ctx context.Context) error {
	delay := initialRetryDelay
	for ctx.Err() == nil {
		if r.after != 0 && !r.mustRead() {
			r.stopReading(clock.Now())
			r.standBy(ctx)
			delay = initialRetryDelay
			continue
		}
		listed := r.after == 0
		hasFacts, err := r.step(ctx)
		if ctx.Err() != nil {
			break
		}
		r.noteResult(err)
		switch {
		case err != nil:
			r.waitToRetry(ctx, delay)
			delay = r.nextRetryDelay(delay)
			r.awaitEndpointsReader(ctx)
		case listed:
			delay = initialRetryDelay
			r.waitForLeader(ctx)
		case hasFacts:
			delay = initialRetryDelay
			sleep(ctx, r.batchDelay())
		default:
			delay = initialRetryDelay
		}
	}
	return nil
}

// nextRetryDelay returns the delay before the next call to a source that fails. Other boxes depend on
// a leader, so it retries soon. A follower learns of the recovery from its leader and needs its own
// calls only where it alone can reach the source: after a second try, in case a response was lost, it
// retries once per maximum staleness. In a simulated outage of 8 s, a box with a maximum staleness of
// 2 s makes 6 calls with both readers; retries every 1.5 s made 16.
func (r *reader) nextRetryDelay(delay time.Duration) time.Duration {
	if r.leads() {
		return min(retryDelayFactor*delay, maxRetryDelay)
	}
	return r.maxStaleness()
}

// waitToRetry waits after a failed call. If the box has become leader meanwhile, it waits no longer
// than a leader does.
func (r *reader) waitToRetry(ctx context.Context, delay time.Duration) {
	started := clock.Now()
	for waited := time.Duration(0); ctx.Err() == nil && waited < delay; waited = clock.Since(started) {
		if waited >= maxRetryDelay && r.leads() {
			return
		}
		sleep(ctx, min(standbyPollInterval, delay-waited))
	}
}

// awaitEndpointsReader waits until the reader of endpoints finds that the source responds again, so
// that only one of the two readers probes it.
func (r *reader) awaitEndpointsReader(ctx context.Context) {
	for ctx.Err() == nil && r.collection != Endpoints && r.unreachable.Load() && r.mustRead() && !r.leads() {
		sleep(ctx, standbyPollInterval)
	}
}

// waitForLeader gives the leader time to publish its read before this box opens its own watch. Without
// the delay, the watches of all boxes after a simultaneous start would be most of the calls to the
// source.
func (r *reader) waitForLeader(ctx context.Context) {
	for until := clock.Now().Add(leaderSyncTimeout); ctx.Err() == nil && clock.Now().Before(until) && !r.leads() && r.mustRead(); {
		sleep(ctx, leaderPollInterval)
	}
}

// stopReading resets the state that is valid only while this box reads; it resumes later from what it
// has received meanwhile. Endpoints whose entries may have expired keep their grace period and are
// listed when reading resumes.
func (r *reader) stopReading(now time.Time) {
	if r.failing && now.Sub(r.asOf) >= r.entryLapse() {
		r.graceUntil = now.Add(reappearGrace)
	}
	r.relistAfterOutage = r.relistAfterOutage || r.relistPending
	r.after, r.failing, r.relistPending, r.deferring = 0, false, false, false
	r.shareReachability()
}

// shareReachability notifies the other reader of this box whether the source responds.
func (r *reader) shareReachability() {
	if r.collection == Endpoints {
		r.unreachable.Store(r.failing)
	}
}

// resumeFromCheckpoint continues after the revision that this box reached while it did not read,
// unless only a list can show what it may have missed.
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

// standBy waits until this box has to read.
func (r *reader) standBy(ctx context.Context) {
	r.log.Info("Stopped reading the source: the leader's updates are current", "collection", r.collection.String(), "source_age", r.sourceAges())
	for ctx.Err() == nil && !r.mustRead() {
		sleep(ctx, standbyPollInterval)
	}
	r.log.Info("Reads the source: the leader's updates are not current", "collection", r.collection.String(), "source_age", r.sourceAges())
}

// step makes one call and reports whether it returned any facts.
func (r *reader) step(ctx context.Context) (bool, error) {
	started := clock.Now()
	r.callStarted = started
	if r.relistPending && started.After(r.graceUntil) {
		r.after, r.relistPending, r.deferring, r.relistAfterOutage = 0, false, false, true
	}
	r.resumeFromCheckpoint()
	r.onCall(r.callReason())
	if r.after == 0 {
		return false, r.list(ctx, started)
	}
	wait := r.watchTimeout(started)
	b, err := r.source.Watch(ctx, r.collection, r.after, wait)
	now := clock.Now()
	if errors.As(err, &ErrHistoryLost{}) {
		r.log.Info("Source lost its change history; listing it again", "collection", r.collection.String(), "revision", r.after.String())
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
	if !b.BeganAt.IsZero() {
		r.asOf = b.BeganAt
	}
	if r.sentBy != nil {
		r.asOf = earlier(r.asOf, r.sentBy(now))
	}
	if timedOut := started.Add(wait); len(b.Facts) == 0 && timedOut.Before(now) {
		r.asOf = timedOut // the rest is the time that the response took to arrive, or a pause of this process
	}
	return len(b.Facts) > 0, nil
}

// checkEpoch compares the epoch of a list with the one this box knows. If the source was restored from
// an older copy, endpoints missing from it get time to publish their entries again.
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

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// callReason returns the reason for the next call, as counted in the metrics.
func (r *reader) callReason() string {
	switch {
	case r.asOf.IsZero():
		return reasonFirstList
	case r.historyLost:
		return reasonHistoryLost
	case r.relistAfterOutage:
		return reasonAfterOutage
	case r.leads():
		return reasonLeader
	}
	return reasonNoStatus
}

// list reads the whole collection. The result is as old as the start of the call, when its first page
// was read.
func (r *reader) list(ctx context.Context, started time.Time) error {
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
	r.asOf = started
	return nil
}

// watchTimeout returns the timeout of the next watch. Followers depend on regular responses, so the
// delay since the last one counts.
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

// batchDelay returns the delay after a response that contained facts, so that subsequent changes
// arrive in one batch.
func (r *reader) batchDelay() time.Duration { return maxAnswerInterval(r.maxStaleness()) * 3 / 4 }

// noteAnswered records that the source responds. After an outage long enough for endpoint entries to
// expire, missing endpoints get a grace period. A single failed call does not justify keeping an
// endpoint that has been removed.
func (r *reader) noteAnswered(now time.Time) {
	if !r.failing {
		return
	}
	r.failing = false
	outage := now.Sub(r.asOf)
	if outage >= r.entryLapse() {
		r.graceUntil = now.Add(reappearGrace)
		r.relistPending = true
	}
	r.log.Info("Source answers again", "collection", r.collection.String(), "revision", r.after.String(), "away_ms", outage.Milliseconds())
}

// noteResult reports the result of a call and logs when the source stops responding. While this box
// defers removals its state is not reported as current, since the outage may have affected this box
// alone.
func (r *reader) noteResult(err error) {
	r.onRead(readResult{startedAt: r.callStarted, asOf: r.asOf, revision: r.after, current: err == nil && r.after != 0 && !r.deferring})
	if err != nil && !r.failing {
		r.failing = true
		r.log.Info("Source does not answer", "collection", r.collection.String(), "revision", r.after.String(), "err", err.Error())
	}
	r.shareReachability()
}

// mergeFacts merges facts into the table. Removals of endpoints soon after an outage are deferred
// until the grace period has passed.
func (r *reader) mergeFacts(facts []Fact, now time.Time) {
	var items []*wire.Item
	for _, f := range facts {
		if f.Removed && r.collection == Endpoints && now.Before(r.graceUntil) {
			r.relistPending = true
			r.deferring = true
			continue
		}
		items = append(items, share.Compress(&wire.Item{Key: f.Key, Version: uint64(f.Revision), Value: f.Value, Removed: f.Removed, Settled: r.collection == Configuration}))
	}
	r.table.Merge(items...)
}

// mergeSnapshot merges a complete list; endpoints missing from it are removed.
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
