// SPDX-License-Identifier: Apache-2.0

package wire

import (
	"time"

	"cairnwick.example/ratelimit"
)

// NewRateLimit converts a limit to its message.
func NewRateLimit(l ratelimit.Limit) *RateLimit {
	return &RateLimit{Named: l.HasRate(), Rate: l.Rate(), Fragile: l.IsFragile(), Rejections: int64(l.Rejections())}
}

// Limit converts a message to the limit. A number that is NaN or out of range means no limit.
func (l *RateLimit) Limit() ratelimit.Limit {
	var limit ratelimit.Limit
	if l.GetNamed() {
		limit = ratelimit.PerSecond(l.GetRate())
	}
	if l.GetFragile() {
		limit = limit.WithRejections(float64(l.GetRejections()))
	}
	return limit
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

// Load returns the sender's load at the endpoint. slots is the number of requests that the endpoint runs at once.
func (w *LimitWord) Load(box string, slots int) ratelimit.Load {
	return ratelimit.Load{Box: box, InFlight: int(w.GetInFlight()), Rejected: w.GetRejected(), Slots: slots}
}
