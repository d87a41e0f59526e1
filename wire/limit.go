// SPDX-License-Identifier: Apache-2.0

package wire

import (
	"time"

	"cairnwick.example/ratelimit"
)

// NewRateLimit converts a limit to its message.
func NewRateLimit(l ratelimit.Limit) *RateLimit { return &RateLimit{Named: l.IsSet(), Rate: l.Rate()} }

// Limit converts a message to the limit. A rate that is NaN or out of range means no limit.
func (l *RateLimit) Limit() ratelimit.Limit {
	if !l.GetNamed() {
		return ratelimit.Limit{}
	}
	return ratelimit.PerSecond(l.GetRate())
}

// NewLimitWord converts an observation of an endpoint's limit to its message, which holds the age of the
// observation at now.
func NewLimitWord(endpoint string, o ratelimit.Observation, now time.Time) *LimitWord {
	return &LimitWord{Endpoint: endpoint, Limit: NewRateLimit(o.Limit), AgeMicros: now.Sub(o.At).Microseconds()}
}

// Observation converts a message that was received at now to the observation. A negative age counts as 0.
func (w *LimitWord) Observation(now time.Time) ratelimit.Observation {
	age := time.Duration(max(w.GetAgeMicros(), 0)) * time.Microsecond
	return ratelimit.Observation{Limit: w.GetLimit().Limit(), At: now.Add(-age)}
}
