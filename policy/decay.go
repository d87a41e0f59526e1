// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"time"
)

// DecayingCounter is a rate of requests that fades with a half-life.
type DecayingCounter struct {
	count     float64 // faded count of requests
	updatedAt time.Time
}

// Add counts n requests at now.
func (p *DecayingCounter) Add(n float64, now time.Time, halfLife time.Duration) {
	p.count = p.decayed(now, halfLife) + n
	p.updatedAt = now
}

// Rate returns requests a second at now.
func (p *DecayingCounter) Rate(now time.Time, halfLife time.Duration) float64 {
	return p.decayed(now, halfLife) * math.Ln2 / halfLife.Seconds()
}

// Count returns how many requests there were, those of long ago counting less.
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
