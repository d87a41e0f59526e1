// SPDX-License-Identifier: Apache-2.0

package access

import (
	"sync"
	"time"
)

// Pool hands out what a data centre may spend of the organisations' quotas. Units are moved and
// never copied: what a pool gives to a box or to another data centre's pool it has no more. So
// over all pools no more is spent in a window than the rates bring in it and the bursts hold,
// as long as the shares that pools go by add up to one at the most. It is safe for concurrent use.
// The zero value is empty.
type Pool struct {
	mu      sync.Mutex
	buckets map[string]*bucket // by organisation
}

// bucket is what is left of one quota's share.
type bucket struct {
	level             float64 // units; below zero: a request was larger than the bucket
	limit             Limit   // of the last call
	refilledAt        time.Time
	shortfall         float64   // units that the last draw lacked
	lendersEmptyUntil time.Time // until then the other data centres are known to have none
	refused           backlog   // units that come back, as those that are told to wait now do
	reportedAt        time.Time // when it was last told that something was refused
}

// Demand is what a box asks of one organisation's quota.
type Demand struct {
	Organisation string
	Owed         float64   // spent already
	Returned     float64   // drawn and not needed
	Wanted       []float64 // of requests that wait, in their order
	Again        int       // of these, the first ones, that were asked for before
}

// Allowance is the answer to a demand.
type Allowance struct {
	Organisation string
	Paid         float64       // of what was owed
	Granted      int           // of the requests that wait, the first ones
	Wait         time.Duration // until the next one is likely granted; zero where all were
}

// refill brings the bucket up to now. A new one is empty: who counted before may have handed out
// all that the quota holds.
func (b *bucket) refill(l Limit, now time.Time) {
	if !b.refilledAt.IsZero() {
		b.level += l.Rate * max(now.Sub(b.refilledAt).Seconds(), 0)
	}
	b.level = min(b.level, l.Capacity)
	b.limit, b.refilledAt = l, now
}

// StartFilling begins to fill the bucket of a quota of which nothing has been drawn yet.
func (p *Pool) StartFilling(organisation string, l Limit, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.buckets[organisation] == nil {
		p.bucketLocked(organisation).refill(l, now)
	}
}

// Reset empties the pool: another one counted since.
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

// largeFraction is the part of a bucket from which a request counts as large: it is granted when so
// much is there, and leaves the bucket below zero. One that is larger than the bucket would else
// never be granted.
const largeFraction = 0.5

// borrowLatency is how long units take from another data centre, with the question that follows.
const borrowLatency = 25 * time.Millisecond

// Draw answers what a box asks of a quota at now.
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

// recordShortfall notes what could not be handed out.
func (b *bucket) recordShortfall(d Demand, a Allowance, now time.Time) {
	b.shortfall = max(d.Owed-a.Paid, 0)
	for i, w := range d.Wanted[a.Granted:] {
		b.shortfall += w
		if a.Granted+i >= d.Again {
			b.refused.add(w, now)
		}
	}
}

// TakeShortfalls returns how many units each organisation lacked at its last draw, of those that lacked
// any; they are counted as asked for elsewhere then.
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

// reservedFraction is the part of a bucket that a pool keeps for its own data centre when another one
// asks: requests there go on without a wait.
const reservedFraction = 0.5

// Lend takes units for another data centre's pool out of what this one does not need.
func (p *Pool) Lend(organisation string, units float64, l Limit, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucketLocked(organisation)
	b.refill(l, now)
	lent := min(max(units, 0), max(b.level-reservedFraction*l.Capacity, 0))
	b.level -= lent
	return lent
}

// AddBorrowed adds units that other pools lent. Where they lent none they are expected to have none
// for some time.
func (p *Pool) AddBorrowed(organisation string, units float64, now time.Time, retryAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucketLocked(organisation)
	b.level += max(units, 0)
	if units <= 0 {
		b.lendersEmptyUntil = now.Add(retryAfter)
	}
}

// shortageReportInterval is between two reports that an organisation lacks units.
const shortageReportInterval = time.Second

// ShortageReport tells whether it is time to report that an organisation lacks units, and what it has left.
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

// Level is what a pool has left of one quota.
type Level struct {
	Left     float64 `json:"left"` // units; below zero: the last request was larger than the share
	Capacity float64 `json:"most"` // units that the share holds
	Rate     float64 `json:"rate"` // units a second that the share brings
}

// Levels returns what is left, as of the last call, by organisation.
func (p *Pool) Levels() map[string]Level {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[string]Level, len(p.buckets))
	for o, b := range p.buckets {
		list[o] = b.currentLevel()
	}
	return list
}

// backlogWindow is how long those that were refused are expected to come back: callers are told
// times of a few hundred milliseconds.
const backlogWindow = time.Second

// backlog is what was asked for and refused lately, by halves of backlogTime.
type backlog struct {
	current, previous float64
	rotatedAt         time.Time // of now
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

// total returns what was refused total the last backlogTime.
func (b *backlog) total(now time.Time) float64 {
	b.rotate(now)
	return b.current + b.previous
}
