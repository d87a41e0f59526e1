// SPDX-License-Identifier: Apache-2.0

package balance

import "time"

const (
	// pauseQuantile is the part of the streams whose longest pauses stay within the estimate. Streams that ran while
	// their endpoint read nothing have short pauses and say little of one that reads without a break.
	pauseQuantile = 0.97
	pauseStep     = 0.02 // part by which one stream moves the estimate, after the first fifty
	minPause      = 5 * time.Millisecond
	maxPause      = 10 * time.Second // bound of one observation
	// firstPause bounds the estimate after the first stream. The estimate falls by at most 1.5% for each shorter pause, later
	// by 0.06%, so that it would take thousands of streams to forget a first one of seconds.
	firstPause = 100 * time.Millisecond
)

// pauseModel estimates the longest pause between two events of a stream at an endpoint of ordinary speed that reads
// prompts without a break, as a quantile of the streams' longest pauses.
type pauseModel struct {
	estimate time.Duration // zero: no stream was observed
	count    float64       // streams observed, up to 1/pauseStep
}

// observe moves the estimate by a small part, so that it settles where the observations exceed it as often as
// the quantile says. The first steps are longer: a new owner took some hundred streams to learn the pauses.
func (m *pauseModel) observe(pause time.Duration) {
	pause = min(max(pause, minPause), maxPause)
	m.count = min(m.count+1, 1/pauseStep)
	step := 1 / m.count
	switch {
	case m.estimate == 0:
		m.estimate = min(pause, firstPause)
	case pause > m.estimate:
		m.estimate += time.Duration(step * pauseQuantile * float64(m.estimate))
	default:
		m.estimate -= time.Duration(step * (1 - pauseQuantile) * float64(m.estimate))
	}
}

// ObservePause records the longest pause between two events of a stream that ended at an endpoint.
func (s *Speeds) ObservePause(endpoint string, pause time.Duration, now time.Time) {
	if pause > 0 {
		s.pauses.observe(time.Duration(float64(min(pause, maxPause)) / s.Slowdown(endpoint, now)))
	}
}

// Pause predicts the longest pause between two events of a stream at an endpoint that reads prompts without a break;
// zero: not known yet.
func (s *Speeds) Pause(endpoint string, now time.Time) time.Duration {
	return time.Duration(s.Slowdown(endpoint, now) * float64(s.pauses.estimate))
}
