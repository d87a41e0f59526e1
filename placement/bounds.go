// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"cairnwick.example/balance"
	"cairnwick.example/forward"
)

// Bounds of values in messages of other boxes, far above what occurs. A wrong value would otherwise make an
// endpoint look empty or full for all boxes, and sums of such values overflow.
const (
	maxReportedRequests = 1 << 16   // of one box and adapter at an endpoint
	maxReportedTokens   = 1 << 30   // of all of them; the sum over thousands of boxes and adapters fits 64 bits
	maxRequestTokens    = 1 << 24   // of one prompt or output
	maxRequestTime      = time.Hour // until a request's target, or its end
	maxRequestRank      = 9
)

// boundedRequest returns a request with its values within bounds.
func boundedRequest(w forward.AdapterRequest) forward.AdapterRequest {
	w.PromptTokens = min(max(w.PromptTokens, 0), maxRequestTokens)
	w.OutputTokens = min(max(w.OutputTokens, 0), maxRequestTokens)
	w.Priority = min(max(w.Priority, 0), maxRequestRank)
	for _, d := range []*time.Duration{&w.TargetWait, &w.MaxWait, &w.Target} {
		*d = min(max(*d, -maxRequestTime), maxRequestTime)
	}
	for _, d := range []*time.Duration{&w.QueueLimit, &w.UrgentLimit, &w.MaxPause, &w.Elapsed} {
		*d = min(max(*d, 0), maxRequestTime)
	}
	return w
}

// boundedUse returns a use with its values within bounds. Package balance bounds the times and drops prompts read that can't be.
func boundedUse(u Use) Use {
	for _, n := range []*int{&u.Started, &u.Running, &u.Failed, &u.Streams} {
		*n = min(max(*n, 0), maxReportedRequests)
	}
	for _, n := range []*int{&u.PrefillTokens, &u.MemoryTokens} {
		*n = min(max(*n, 0), maxReportedTokens)
	}
	if u.Read.Prompts < 0 || u.Read.Prompts > maxReportedRequests {
		u.Read = balance.Observation{}
	}
	return u
}
