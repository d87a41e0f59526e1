// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"
)

const (
	avoidDuration    = time.Second            // how long a data centre that did not respond is avoided
	failureThreshold = 3                      // unreachable endpoints of one data centre
	failureWindow    = 700 * time.Millisecond // failureThreshold failures within it indicate that the network to the data centre is cut
	silenceTimeout   = 350 * time.Millisecond // a request without a response for this time, while no other data came from its data centre, counts as a failure: a first event takes some 50 ms
)

// dataCentres tracks which data centres failed recently, as seen by this box, and are avoided. Those that
// the members report as dead are covered by Gateway.Unreachable.
type dataCentres struct {
	mu           sync.Mutex
	avoidedUntil map[string]time.Time            // by data centre
	failures     map[string]map[string]time.Time // by data centre and endpoint
	lastActivity map[string]time.Time            // by data centre: when data last came from one of its endpoints
}

// recordActivity records that data came from an endpoint of a data centre.
func (c *dataCentres) recordActivity(centre string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastActivity == nil {
		c.lastActivity = make(map[string]time.Time)
	}
	c.lastActivity[centre] = now
}

// recordSilence records a request that has had no response since sent. It is a failure if no data at all
// came from the data centre meanwhile.
func (c *dataCentres) recordSilence(centre, endpoint string, sent, now time.Time) {
	c.mu.Lock()
	active := c.lastActivity[centre].After(sent)
	c.mu.Unlock()
	if !active {
		c.recordFailure(centre, endpoint, now)
	}
}

// avoid avoids a data centre for avoidDuration.
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

// recordFailure records that an endpoint of a data centre could not be reached. Several in a short time
// indicate a network partition, before other boxes' heartbeats show it.
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

// forgiveFailures clears the failures of all data centres.
func (c *dataCentres) forgiveFailures() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.avoidedUntil)
	clear(c.failures)
}
