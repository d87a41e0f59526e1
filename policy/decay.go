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
func (c *DecayingCounter) Add(n float64, now time.Time, halfLife time.Duration) {
	c.count = c.decayed(now, halfLife) + n
	c.updatedAt = now
}

// Rate returns the events per second at now.
func (c *DecayingCounter) Rate(now time.Time, halfLife time.Duration) float64 {
	return c.decayed(now, halfLife) * math.Ln2 / halfLife.Seconds()
}

// Count returns the decayed number of events at now.
func (c *DecayingCounter) Count(now time.Time, halfLife time.Duration) float64 {
	return c.decayed(now, halfLife)
}

func (c *DecayingCounter) decayed(now time.Time, halfLife time.Duration) float64 {
	if c.count == 0 {
		return 0
	}
	age := now.Sub(c.updatedAt).Seconds()
	return c.count * math.Exp2(-age/halfLife.Seconds())
}
