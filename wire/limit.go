// SPDX-License-Identifier: Apache-2.0

package wire

import (
	"time"

	"cairnwick.example/ratelimit"
)

// NewRateLimit returns the message of a limit.
func NewRateLimit(l ratelimit.Limit) *RateLimit { return &RateLimit{Named: l.IsSet(), Rate: l.Rate()} }

// Limit returns the limit of a message; one that can't be meant is none.
func (l *RateLimit) Limit() ratelimit.Limit {
	if !l.GetNamed() {
		return ratelimit.Limit{}
	}
	return ratelimit.PerSecond(l.GetRate())
}

// NewLimitWord returns the message of what an endpoint said, with its age at now.
func NewLimitWord(endpoint string, w ratelimit.Observation, now time.Time) *LimitWord {
	return &LimitWord{Endpoint: endpoint, Limit: NewRateLimit(w.Limit), AgeMicros: now.Sub(w.At).Microseconds()}
}

// Word returns what an endpoint said, by a message that came at now.
func (w *LimitWord) Word(now time.Time) ratelimit.Observation {
	age := time.Duration(max(w.GetAgeMicros(), 0)) * time.Microsecond
	return ratelimit.Observation{Limit: w.GetLimit().Limit(), At: now.Add(-age)}
}
