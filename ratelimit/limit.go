// SPDX-License-Identifier: Apache-2.0

// Package ratelimit enforces the rate limits that overloaded endpoints announce: the number of requests
// per second that an endpoint accepts from all boxes together. Nothing here does I/O, and the current
// time is passed in.
package ratelimit

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxRate is more requests per second than any endpoint receives, so a higher limit has no effect. It
// keeps sums of rates and times exact.
const maxRate = 1e6

// Limit is the number of requests per second that an endpoint accepts from all boxes together. The zero
// value is no limit.
type Limit struct {
	rate float64 // requests per second; from 0 to maxRate
	set  bool
}

// PerSecond returns a limit in requests per second. It returns no limit for NaN, negative values, and values
// above maxRate.
func PerSecond(rate float64) Limit {
	if !(rate >= 0 && rate <= maxRate) { // also true for NaN
		return Limit{}
	}
	return Limit{rate: rate, set: true}
}

// IsSet reports whether there is a limit.
func (l Limit) IsSet() bool { return l.set }

// Rate returns the requests per second; 0 if no requests are accepted, or if there is no limit.
func (l Limit) Rate() float64 { return l.rate }

// Parse parses the limits of a response, in decimal requests per second. The lowest of several counts, since
// two components of the endpoint may be overloaded. Infinity and values above maxRate are no limit. It returns
// an error if no value is valid and one is malformed. That means neither a limit nor the absence of one, so
// the caller keeps the previous limit.
func Parse(values []string) (Limit, error) {
	var l Limit
	var invalid error
	for _, v := range values {
		rate, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		switch {
		case math.IsInf(rate, 1): // no limit; includes values that overflow a float
		case err != nil || math.IsNaN(rate) || rate < 0:
			invalid = errors.Errorf("ratelimit: invalid limit %.40q: must be a decimal number of requests per second, 0 or more", v)
		case !l.set || rate < l.rate:
			l = PerSecond(rate)
		}
	}
	if l.set {
		return l, nil
	}
	return l, invalid
}
