// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// firstTokenHalfLife is the half-life of the excess of an expected time over the shortest one, so that an endpoint
	// that was slow is tried again: one of three times the shortest time after 4 s, one of thirty times after 8 s.
	firstTokenHalfLife = time.Second
	// firstTokenTolerance is the relative difference up to which two times count as equal. Predictions are no more
	// accurate than that, and without it requests would leave an endpoint with a cached prefix for a millisecond.
	firstTokenTolerance = 0.1
	// TrialInterval is how long the last observed first token may refuse requests at an idle endpoint. After it, one
	// request is admitted as a trial, so that an endpoint that has recovered is not refused by old observations.
	TrialInterval = 2 * time.Second
)

// PreferSoonest moves the endpoint with the shortest expected time to first token to the front of an order, among the
// alternatives of its first one. The order stays if no time is known for its first endpoint.
func PreferSoonest(order, alternatives []int, states []EndpointState) []int {
	if len(order) == 0 || states[order[0]].FirstToken <= 0 {
		return order
	}
	var candidates []int
	shortest := time.Duration(math.MaxInt64)
	for _, i := range alternatives {
		if states[i].FirstToken > 0 {
			candidates = append(candidates, i)
			shortest = min(shortest, states[i].currentFirstToken())
		}
	}
	best := soonest(candidates, states, shortest)
	if best < 0 {
		return order
	}
	rest := slices.DeleteFunc(slices.Clone(order), func(i int) bool { return i == best })
	return append([]int{best}, rest...)
}

// soonest returns the first candidate whose time counts as equal to the shortest, or -1. One whose time does only
// because of its age goes before the others: the request shows whether it is still slow.
func soonest(candidates []int, states []EndpointState, shortest time.Duration) int {
	best := -1
	limit := time.Duration((1 + firstTokenTolerance) * float64(shortest))
	for _, i := range candidates {
		if agedFirstToken(states[i], shortest) > limit {
			continue
		}
		if states[i].currentFirstToken() > limit {
			return i
		}
		if best < 0 {
			best = i
		}
	}
	return best
}

// agedFirstToken returns the expected time of an endpoint, whose excess over the shortest one decays with its age.
func agedFirstToken(s EndpointState, shortest time.Duration) time.Duration {
	decay := math.Exp2(-s.Age.Seconds() / firstTokenHalfLife.Seconds())
	return shortest + time.Duration(float64(s.currentFirstToken()-shortest)*decay)
}

// currentFirstToken returns the expected time to first token less the part of the queue that has been served since the
// state was received.
func (s EndpointState) currentFirstToken() time.Duration {
	return s.FirstToken - min(s.Queue, s.Age)
}

// FirstTokenForecast is what is expected of a request at one endpoint.
type FirstTokenForecast struct {
	Ahead    time.Duration // until the endpoint reads the request's prompt
	Own      time.Duration // from then to the first token
	Deadline time.Duration // the request's remaining time
	Idle     bool          // the endpoint has no prompt to read and no request waits for it
	Observed bool          // a first token of the endpoint has been observed
	Age      time.Duration // since the last one, if Observed
}

// IsTrial reports whether a request is admitted only because the speed of the idle endpoint was not observed recently.
func (f FirstTokenForecast) IsTrial() bool {
	_, refuse := f.Refuse()
	return !refuse && f.Ahead+f.Own > f.Deadline
}

// Refuse reports whether a request is refused because its first token is expected after its deadline, and the time
// after which it is expected to be admitted if no other request arrives. An idle endpoint admits any request if its
// speed was not observed recently.
func (f FirstTokenForecast) Refuse() (retryAfter time.Duration, refuse bool) {
	untilTrial := time.Duration(0)
	if f.Observed {
		untilTrial = max(0, TrialInterval-f.Age)
	}
	switch {
	case f.Ahead+f.Own <= f.Deadline, f.Idle && untilTrial == 0:
		return 0, false
	case f.Own <= f.Deadline:
		return f.Ahead + f.Own - f.Deadline, true
	}
	if !f.Idle {
		return max(f.Ahead, untilTrial, f.Own), true // the prompts that it reads take that long at this speed
	}
	return untilTrial, true
}
