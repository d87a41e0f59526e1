// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"sync"
	"time"
)

// coverage is the time for which this box has followed the source without a gap. In a gap, a version of an endpoint's
// software may have come and left again. The zero value covers nothing.
type coverage struct {
	mu      sync.Mutex
	since   time.Time            // end of the last gap
	until   time.Time            // the latest time up to which the source was read
	adopted map[string]time.Time // by service: an earlier time since which another box has had no gap
}

// extend records that the source was read up to a time, by this box or by one that it follows. A read that comes more than
// lag after the one before ends a gap.
func (v *coverage) extend(asOf, now time.Time, lag time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.until) >= lag {
		v.since, v.adopted = now, nil
	}
	if asOf.After(v.until) {
		v.until = asOf
	}
}

// adopt records that another box, which agrees with this one about a service, has had no gap since a time.
func (v *coverage) adopt(service string, since time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.adopted == nil {
		v.adopted = make(map[string]time.Time)
	}
	if known, ok := v.adopted[service]; !ok || since.Before(known) {
		v.adopted[service] = since
	}
}

// covers reports whether there was no gap for a service since a time.
func (v *coverage) covers(service string, since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	adopted, ok := v.adopted[service]
	return !since.Before(v.since) || (ok && !since.Before(adopted))
}

// extendCoverage records how far the source has been read by now.
func (n *Node) extendCoverage(now time.Time) {
	if age, ok := n.sourceAge(); ok {
		n.covered.extend(now.Add(-age), now, n.behind())
	}
}
