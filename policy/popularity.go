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

// Width returns how many homes an adapter should have: enough that its own
// load, in requests running at a time, fills no home by more than share of its
// limit.
func Width(rate float64, service time.Duration, limit int, share float64) int {
	if limit <= 0 || share <= 0 {
		return 1
	}
	homes := rate * service.Seconds() / (float64(limit) * share)
	return max(1, int(math.Ceil(homes)))
}
