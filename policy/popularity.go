// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"time"
)

// Popularity is a rate of requests that fades with a half-life.
type Popularity struct {
	weight float64 // faded count of requests
	at     time.Time
}

// Add counts n requests at now.
func (p *Popularity) Add(n float64, now time.Time, halfLife time.Duration) {
	p.weight = p.faded(now, halfLife) + n
	p.at = now
}

// Rate returns requests a second at now.
func (p *Popularity) Rate(now time.Time, halfLife time.Duration) float64 {
	return p.faded(now, halfLife) * math.Ln2 / halfLife.Seconds()
}

// Count returns how many requests there were, those of long ago counting less.
func (p *Popularity) Count(now time.Time, halfLife time.Duration) float64 {
	return p.faded(now, halfLife)
}

func (p *Popularity) faded(now time.Time, halfLife time.Duration) float64 {
	if p.weight == 0 {
		return 0
	}
	age := now.Sub(p.at).Seconds()
	return p.weight * math.Exp2(-age/halfLife.Seconds())
}
