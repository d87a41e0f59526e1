// SPDX-License-Identifier: Apache-2.0

// Package ratelimit enforces the limits that overloaded endpoints announce: the number of requests
// per second that an endpoint accepts from all boxes together, and the number that it can reject. Nothing here does I/O, and the current
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

// Limit is what an endpoint accepts from all boxes together: a number of requests per second, and a number of
// rejections per second without which it would crash. The zero value is no limit.
type Limit struct {
	rate       float64 // requests per second; from 0 to maxRate
	set        bool
	rejections int // per second; from 0 to maxRate
	fragile    bool
}

// PerSecond returns a limit in requests per second. It returns no limit for NaN, negative values, and values
// above maxRate.
func PerSecond(rate float64) Limit {
	if !(rate >= 0 && rate <= maxRate) { // also true for NaN
		return Limit{}
	}
	return Limit{rate: rate, set: true}
}

// WithRejections returns the limit with the number of rejections per second that the endpoint survives. Fractions
// are cut off. NaN, negative values and values above maxRate are no limit.
func (l Limit) WithRejections(perSecond float64) Limit {
	l.rejections, l.fragile = 0, false
	if perSecond >= 0 && perSecond <= maxRate { // false for NaN
		l.rejections, l.fragile = int(perSecond), true
	}
	return l
}

// IsSet reports whether there is a limit of requests or of rejections.
func (l Limit) IsSet() bool { return l.set || l.fragile }

// HasRate reports whether the number of requests is limited.
func (l Limit) HasRate() bool { return l.set }

// IsFragile reports whether the number of rejections is limited.
func (l Limit) IsFragile() bool { return l.fragile }

// Rejections returns the rejections per second that the endpoint survives; 0 if any crashes it, or if there is no limit.
func (l Limit) Rejections() int { return l.rejections }

// Rate returns the requests per second; 0 if no requests are accepted, or if there is no such limit.
func (l Limit) Rate() float64 { return l.rate }

// Parse parses the limits of a response, in decimal requests per second. The lowest of several counts, since
// two components of the endpoint may be overloaded. Infinity and values above maxRate are no limit. It returns
// an error if no value is valid and one is malformed. That means neither a limit nor the absence of one, so
// the caller keeps the previous limit.
func Parse(values []string) (Limit, error) {
	lowest, err := parseLowest(values)
	return PerSecond(lowest), err
}

// ParseRejections adds to l the numbers of rejections per second in a response, which are parsed like those of Parse.
func ParseRejections(l Limit, values []string) (Limit, error) {
	lowest, err := parseLowest(values)
	return l.WithRejections(lowest), err
}

// parseLowest returns the lowest valid value; NaN if there is none.
func parseLowest(values []string) (float64, error) {
	lowest := math.NaN()
	var invalid error
	for _, v := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		switch {
		case math.IsInf(n, 1): // no limit; includes values that overflow a float
		case err != nil || math.IsNaN(n) || n < 0:
			invalid = errors.Errorf("ratelimit: invalid limit %.40q: must be a decimal number per second, 0 or more", v)
		case n <= maxRate && !(lowest <= n):
			lowest = n
		}
	}
	if math.IsNaN(lowest) {
		return lowest, invalid
	}
	return lowest, nil
}
