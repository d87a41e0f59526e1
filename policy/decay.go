// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"time"
)

// DecayingCounter counts events, whose weight decays with a half-life.
type DecayingCounter struct {
	count     float64 // as of updatedAt
	updatedAt time.Time
}

// Add counts n events at now.
func (p *DecayingCounter) Add(n float64, now time.Time, halfLife time.Duration) {
	p.count = p.decayed(now, halfLife) + n
	p.updatedAt = now
}

// Rate returns the events per second at now.
func (p *DecayingCounter) Rate(now time.Time, halfLife time.Duration) float64 {
	return p.decayed(now, halfLife) * math.Ln2 / halfLife.Seconds()
}

// Count returns the decayed number of events at now.
func (p *DecayingCounter) Count(now time.Time, halfLife time.Duration) float64 {
	return p.decayed(now, halfLife)
}

func (p *DecayingCounter) decayed(now time.Time, halfLife time.Duration) float64 {
	if p.count == 0 {
		return 0
	}
	age := now.Sub(p.updatedAt).Seconds()
	return p.count * math.Exp2(-age/halfLife.Seconds())
}
