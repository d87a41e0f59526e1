// SPDX-License-Identifier: Apache-2.0

package access

import (
	"sync"
	"time"
)

// Pool grants the units that a data centre may spend of the organisations' quotas. Units are moved, never
// copied: the pool no longer has what it gives to a box or lends to another data centre's pool. So all pools
// together spend at most the rates and bursts in any window, if the shares of all pools add up to at most
// one. It is safe for concurrent use. The zero value is empty.
type Pool struct {
	mu      sync.Mutex
	buckets map[string]*bucket // by organisation
}

// bucket is the token bucket of the pool's share of one quota.
type bucket struct {
	level             float64 // units; negative after a request that was larger than the level
	limit             Limit   // as of the last call
	refilledAt        time.Time
	shortfall         float64   // units that the last draw requested in vain
	lendersEmptyUntil time.Time // until then, other data centres are assumed to have nothing to lend
	refused           backlog   // units of refused requests, which are expected to be retried
	reportedAt        time.Time // time of the last ShortageReport
}

// Demand is a request of a box for units of one organisation's quota.
type Demand struct {
	Organisation string
	Owed         float64   // spent already
	Returned     float64   // drawn and not used
	Wanted       []float64 // by waiting requests, in queue order
	Again        int       // number of the first of these that an earlier demand included
}

// Allowance is the answer to a Demand.
type Allowance struct {
	Organisation string
	Paid         float64       // part of Owed
	Granted      int           // number of the first waiting requests that may run
	Wait         time.Duration // until the next one is likely granted; zero if all were
}

// refill adds the units that accrued until now. A new bucket starts empty, since the previous leader may
// have granted all units.
func (b *bucket) refill(l Limit, now time.Time) {
	if !b.refilledAt.IsZero() {
		b.level += l.Rate * max(now.Sub(b.refilledAt).Seconds(), 0)
	}
	b.level = min(b.level, l.Capacity)
	b.limit, b.refilledAt = l, now
}

// StartFilling creates the bucket of a quota before its first draw, so that it starts to fill.
func (p *Pool) StartFilling(organisation string, l Limit, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.buckets[organisation] == nil {
		p.bucketLocked(organisation).refill(l, now)
	}
}

// Reset empties the pool, for when another box was the leader in the meantime.
func (p *Pool) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.buckets = nil
}

func (p *Pool) bucketLocked(organisation string) *bucket {
	if p.buckets == nil {
		p.buckets = make(map[string]*bucket)
	}
	b := p.buckets[organisation]
	if b == nil {
		b = new(bucket)
		p.buckets[organisation] = b
	}
	return b
}

// largeFraction is the fraction of a bucket above which a request is large. A large request is granted at that
// level and makes the level negative; otherwise one that exceeds the bucket would never be granted.
const largeFraction = 0.5

// borrowLatency is the time to borrow units from another data centre and settle again.
const borrowLatency = 25 * time.Millisecond

// Draw answers a demand.
func (p *Pool) Draw(d Demand, l Limit, now time.Time) Allowance {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := Allowance{Organisation: d.Organisation}
	b := p.bucketLocked(d.Organisation)
	b.refill(l, now)
	b.level = min(b.level+max(d.Returned, 0), l.Capacity)
	a.Paid = min(max(d.Owed, 0), max(b.level, 0))
	b.level -= a.Paid
	for _, w := range d.Wanted {
		if b.level < min(w, largeFraction*l.Capacity) || b.level <= 0 {
			break
		}
		b.level -= w
		a.Granted++
	}
	b.recordShortfall(d, a, now)
	if a.Granted < len(d.Wanted) {
		next := min(d.Wanted[a.Granted], largeFraction*l.Capacity)
		a.Wait = waitFor(max(next, b.refused.total(now))-b.level, l.Rate)
		if !now.Before(b.lendersEmptyUntil) {
			a.Wait = min(a.Wait, borrowLatency)
		}
	}
	return a
}

// recordShortfall records the units that Draw could not grant.
func (b *bucket) recordShortfall(d Demand, a Allowance, now time.Time) {
	b.shortfall = max(d.Owed-a.Paid, 0)
	for i, w := range d.Wanted[a.Granted:] {
		b.shortfall += w
		if a.Granted+i >= d.Again {
			b.refused.add(w, now)
		}
	}
}

// TakeShortfalls returns the units that organisations lacked at their last draw, without those that lacked none,
// and clears them: the caller asks other data centres for them.
func (p *Pool) TakeShortfalls() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[string]float64)
	for o, b := range p.buckets {
		if b.shortfall > 0 {
			list[o] = b.shortfall
			b.shortfall = 0
		}
	}
	return list
}

// reservedFraction is the fraction of a bucket that a pool does not lend to other data centres, so that
// local requests need not wait.
const reservedFraction = 0.5

// Lend removes up to the given units for another data centre's pool, and returns how many.
func (p *Pool) Lend(organisation string, units float64, l Limit, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucketLocked(organisation)
	b.refill(l, now)
	granted := min(max(units, 0), max(b.level-reservedFraction*l.Capacity, 0))
	b.level -= granted
	return granted
}

// AddBorrowed adds units that other pools granted. If they granted none, they are assumed to have none until
// retryAfter has passed.
func (p *Pool) AddBorrowed(organisation string, units float64, now time.Time, retryAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucketLocked(organisation)
	b.level += max(units, 0)
	if units <= 0 {
		b.lendersEmptyUntil = now.Add(retryAfter)
	}
}

// shortageReportInterval is the minimum time between two reports of one organisation's shortage.
const shortageReportInterval = time.Second

// ShortageReport returns the level of a quota that is short of units, and whether it is time to report it.
func (p *Pool) ShortageReport(organisation string, now time.Time) (Level, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucketLocked(organisation)
	if now.Sub(b.reportedAt) < shortageReportInterval {
		return Level{}, false
	}
	b.reportedAt = now
	return b.currentLevel(), true
}

func (b *bucket) currentLevel() Level {
	return Level{Left: b.level, Capacity: b.limit.Capacity, Rate: b.limit.Rate}
}

// Level is the state of the pool's share of one quota.
type Level struct {
	Left     float64 `json:"left"` // units; negative after a request that was larger than the level
	Capacity float64 `json:"most"` // units that the share can hold
	Rate     float64 `json:"rate"` // units per second that the share gains
}

// Levels returns the levels as of the last call, by organisation.
func (p *Pool) Levels() map[string]Level {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[string]Level, len(p.buckets))
	for o, b := range p.buckets {
		list[o] = b.currentLevel()
	}
	return list
}

// backlogWindow is the time within which refused callers are expected to retry. Their retry times are a few
// hundred milliseconds.
const backlogWindow = time.Second

// backlog sums the units that were refused within the last backlogWindow, in two halves of it.
type backlog struct {
	current, previous float64
	rotatedAt         time.Time // start of current
}

func (b *backlog) rotate(now time.Time) {
	switch since := now.Sub(b.rotatedAt); {
	case since >= backlogWindow:
		*b = backlog{rotatedAt: now}
	case since >= backlogWindow/2:
		*b = backlog{previous: b.current, rotatedAt: now}
	}
}

func (b *backlog) add(units float64, now time.Time) {
	b.rotate(now)
	b.current += units
}

// total returns the units that were refused within the last backlogWindow.
func (b *backlog) total(now time.Time) float64 {
	b.rotate(now)
	return b.current + b.previous
}
