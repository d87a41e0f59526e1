// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"cairnwick.example/wire"
)

const (
	// maxHistoryEnds bounds the endpoints of an endHistory.
	maxHistoryEnds = 256
	// maxHistoryContents bounds the requests, and the parts, that are kept for one endpoint, of all boxes together: some ten
	// requests run at once.
	maxHistoryContents = 256
	// historyTime is how long an end is kept. Leaders count it for an hour; callers retry a request that ended
	// endpoints within seconds or minutes.
	historyTime = 10 * time.Minute
)

// endHistory keeps recent ends of endpoints with the requests that ran there, as far as this box observed or received them.
// The zero value is empty.
type endHistory struct{ ends map[string]*recordedEnd }

type recordedEnd struct {
	contents    [][]byte // of requests
	parts       [][]byte
	commonParts [][]byte
	othersBegan bool
	at          time.Time // when the end was observed last
}

// add records a report; reports of several boxes on one endpoint are combined.
func (h *endHistory) add(end *wire.EndpointEnd, now time.Time) {
	if h.ends == nil {
		h.ends = make(map[string]*recordedEnd)
	}
	r := h.ends[end.GetEndpoint()]
	if r == nil {
		r = &recordedEnd{}
		h.ends[end.GetEndpoint()] = r
	}
	if at := now.Add(-positiveMessageTime(end.GetAgeMicros())); at.After(r.at) {
		r.at = at
	}
	h.removeExcess(now)
	r.contents = mergeDigests(r.contents, end.GetContents())
	r.parts = mergeDigests(r.parts, end.GetParts())
	r.commonParts = mergeDigests(r.commonParts, end.GetCommonParts())
	r.othersBegan = r.othersBegan || end.GetOthersBegan()
}

// mergeDigests adds those that are not listed, up to the limit.
func mergeDigests(list, more [][]byte) [][]byte {
	for _, d := range more {
		known := slices.ContainsFunc(list, func(o []byte) bool { return bytes.Equal(o, d) })
		if !known && len(list) < maxHistoryContents {
			list = append(list, d)
		}
	}
	return list
}

// removeExcess removes, if there are too many ends, the expired ones, or else the oldest. The oldest may be the one that was
// just added.
func (h *endHistory) removeExcess(now time.Time) {
	if len(h.ends) <= maxHistoryEnds {
		return
	}
	maps.DeleteFunc(h.ends, func(_ string, r *recordedEnd) bool { return now.Sub(r.at) >= historyTime })
	if len(h.ends) <= maxHistoryEnds {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(h.ends)), func(a, b string) int {
		return cmp.Or(h.ends[a].at.Compare(h.ends[b].at), cmp.Compare(a, b))
	})
	delete(h.ends, oldest)
}

// recent returns the ends that have not expired, by endpoint.
func (h *endHistory) recent(now time.Time) []*wire.EndpointEnd {
	var list []*wire.EndpointEnd
	for _, e := range slices.Sorted(maps.Keys(h.ends)) {
		if r := h.ends[e]; now.Sub(r.at) < historyTime {
			list = append(list, &wire.EndpointEnd{
				Endpoint:    e,
				Contents:    slices.Clone(r.contents),
				Parts:       slices.Clone(r.parts),
				CommonParts: slices.Clone(r.commonParts),
				OthersBegan: r.othersBegan,
				AgeMicros:   now.Sub(r.at).Microseconds(),
			})
		}
	}
	return list
}
