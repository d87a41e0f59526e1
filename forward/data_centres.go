// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"
)

const (
	avoidDuration    = time.Second            // a data centre that did not answer is not asked for so long
	failureThreshold = 3                      // endpoints of one data centre that could not be reached
	failureWindow    = 700 * time.Millisecond // within so long mean that the way there is cut
	silenceTimeout   = 350 * time.Millisecond // a request without any answer for so long, while nothing else came from its data centre either, counts as a failure: a first event takes some 50 ms
)

// dataCentres remembers how the data centres answered lately, and which of them are avoided for
// it. Gateway.Cut says of others, by what the members tell, that they are out of touch.
type dataCentres struct {
	mu           sync.Mutex
	avoidedUntil map[string]time.Time            // by data centre: it is avoided until then
	failures     map[string]map[string]time.Time // by data centre and endpoint
	lastActivity map[string]time.Time            // by data centre: when anything came from an endpoint there
}

// recordActivity notes that something came from an endpoint of a data centre.
func (c *dataCentres) recordActivity(centre string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastActivity == nil {
		c.lastActivity = make(map[string]time.Time)
	}
	c.lastActivity[centre] = now
}

// recordSilence notes that a request sent some time ago has had no answer: a failure, where nothing
// at all came from the data centre meanwhile.
func (c *dataCentres) recordSilence(centre, endpoint string, sent, now time.Time) {
	c.mu.Lock()
	heard := c.lastActivity[centre].After(sent)
	c.mu.Unlock()
	if !heard {
		c.recordFailure(centre, endpoint, now)
	}
}

// avoid avoids a data centre for avoidFor.
func (c *dataCentres) avoid(centre string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidLocked(centre, now)
}

func (c *dataCentres) avoidLocked(centre string, now time.Time) {
	if c.avoidedUntil == nil {
		c.avoidedUntil = make(map[string]time.Time)
	}
	c.avoidedUntil[centre] = now.Add(avoidDuration)
}

// recordFailure notes that an endpoint of a data centre could not be reached: several in a
// short time are a cut, which other boxes' heartbeats show only later.
func (c *dataCentres) recordFailure(centre, endpoint string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures == nil {
		c.failures = make(map[string]map[string]time.Time)
	}
	if c.failures[centre] == nil {
		c.failures[centre] = make(map[string]time.Time)
	}
	c.failures[centre][endpoint] = now
	for e, at := range c.failures[centre] {
		if now.Sub(at) >= failureWindow {
			delete(c.failures[centre], e)
		}
	}
	if len(c.failures[centre]) >= failureThreshold {
		c.avoidLocked(centre, now)
	}
}

func (c *dataCentres) isAvoided(centre string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.avoidedUntil[centre])
}
