// SPDX-License-Identifier: Apache-2.0

// Package metrics provides histograms and traffic counters that are exported by expvar.
//
// The number of names is bounded: a Family creates no more members at its maximum and counts
// the rest under Other, so that callers cannot grow a daemon's memory with new names.
package metrics

import (
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Other is the name of the member that counts all names that a full family has no member for.
const Other = "other"

const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Histogram counts durations. Use NewHistogram to create one.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram // microseconds; guarded by mu
}

// NewHistogram returns an empty histogram with a range of 1 µs to 10 min.
func NewHistogram() *Histogram {
	return &Histogram{counts: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Observe counts d. A duration out of range is counted as the nearest one in range.
func (h *Histogram) Observe(d time.Duration) {
	n := min(max(d.Microseconds(), minMicros), maxMicros)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.counts.RecordValue(n) // cannot fail, since n is in range
}

// Quantile returns the q-th percentile of the durations.
func (h *Histogram) Quantile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.counts.ValueAtQuantile(q)) * time.Microsecond
}

// Count returns the number of observed durations.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts.TotalCount()
}

// Mean returns the mean of the observed durations.
func (h *Histogram) Mean() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.counts.Mean() * float64(time.Microsecond))
}

// String implements expvar.Var: it returns the histogram as JSON, in milliseconds.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(q float64) float64 { return float64(h.counts.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf(`{"count":%d,"mean_ms":%.3f,"p50_ms":%.3f,"p95_ms":%.3f,"p99_ms":%.3f,"max_ms":%.3f}`,
		h.counts.TotalCount(), h.counts.Mean()/1000, ms(50), ms(95), ms(99), float64(h.counts.Max())/1000)
}

// Family is a bounded set of histograms by name, such as one for each class or reason.
type Family struct {
	mu         sync.Mutex
	maxMembers int
	members    map[string]*Histogram // at most maxMembers besides Other; guarded by mu
}

// NewFamily returns a family with at most maxMembers members besides Other.
func NewFamily(maxMembers int) *Family {
	return &Family{maxMembers: maxMembers, members: make(map[string]*Histogram)}
}

// Observe counts d for the member with the name.
func (f *Family) Observe(name string, d time.Duration) { f.Member(name).Observe(d) }

// Member returns the histogram of the name. For a new name it creates one, or returns that
// of Other if the family is full.
func (f *Family) Member(name string) *Histogram {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h, ok := f.members[name]; ok {
		return h
	}
	if len(f.members) >= f.maxMembers {
		name = Other
	}
	if f.members[name] == nil {
		f.members[name] = NewHistogram()
	}
	return f.members[name]
}

// String implements expvar.Var: it returns the histograms by name as JSON.
func (f *Family) String() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := new(expvar.Map).Init()
	for n, h := range f.members {
		m.Set(n, h)
	}
	return m.String()
}
