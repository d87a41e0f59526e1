// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"
)

// maxKindShare is the part of the bound that request bodies, or responses, may use at most, as a
// fraction. The rest is left to the other kind: large bodies would otherwise disconnect callers that read,
// and callers that do not read would have ordinary requests refused.
const (
	maxKindShareNum = 3
	maxKindShareDen = 4
)

// HeldByteCounts describes the memory that a box uses for callers.
type HeldByteCounts struct {
	Bytes        int64 `json:"bytes"`        // held now
	Limit        int64 `json:"limit"`        // zero: none, and nothing is counted
	Disconnected int64 `json:"disconnected"` // callers disconnected because they did not read
	Refused      int64 `json:"refused"`      // request bodies
}

// heldBytes bounds the memory for request bodies and for what callers have not taken of their
// responses. A body that does not fit is refused. If a response does not fit, the largest ones are evicted until it
// does, itself possibly among them.
//
// Its mutex is the last one to be taken: no callback is called with it held.
type heldBytes struct {
	limit        int64
	stallTimeout time.Duration
	fullTimeout  time.Duration

	mu           sync.Mutex
	bodies       int64
	responses    int64
	byResponse   map[*heldResponse]struct{} // those with bytes
	disconnected int64
	refused      int64
}

// heldResponse is the part of one response that its caller has not taken.
type heldResponse struct {
	onEvict func() // called once, without a lock held, from the goroutine of any request

	// Guarded by the mutex of heldBytes.
	bytes   int64
	evicted bool // its bytes no longer count
}

func newHeldBytes(limit int64) *heldBytes {
	return &heldBytes{
		limit:        limit,
		stallTimeout: defaultStallTimeout,
		fullTimeout:  defaultFullTimeout,
		byResponse:   make(map[*heldResponse]struct{}),
	}
}

func (h *heldBytes) kindLimit() int64 { return h.limit / maxKindShareDen * maxKindShareNum }

// fitsBody reports whether n more bytes of a request body fit now.
func (h *heldBytes) fitsBody(n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fitsBodyLocked(n)
}

func (h *heldBytes) fitsBodyLocked(n int64) bool {
	return h.bodies+n <= h.kindLimit() && h.bodies+h.responses+n <= h.limit
}

// addBody counts n more bytes of a request body, unless they do not fit.
func (h *heldBytes) addBody(n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.fitsBodyLocked(n) {
		return false
	}
	h.bodies += n
	return true
}

func (h *heldBytes) removeBody(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bodies -= n
}

func (h *heldBytes) countRefused() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused++
}

func (h *heldBytes) countDisconnected() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disconnected++
}

// add counts n more bytes of a response. It reports false if the response is evicted.
func (h *heldBytes) add(r *heldResponse, n int64) bool {
	evicted, ok := h.reserve(r, n)
	for _, e := range evicted {
		e.onEvict()
	}
	return ok
}

// reserve is add without the callbacks of the evicted responses.
func (h *heldBytes) reserve(r *heldResponse, n int64) (evicted []*heldResponse, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.evicted {
		return nil, false
	}
	r.bytes += n
	h.responses += n
	h.byResponse[r] = struct{}{}
	for h.responses > h.kindLimit() || h.bodies+h.responses > h.limit {
		e := h.largestLocked()
		h.dropLocked(e)
		e.evicted = true
		evicted = append(evicted, e)
	}
	return evicted, !r.evicted
}

// largestLocked returns the response with the most bytes. There is one while responses exceed a limit, since bodies
// alone are within it.
func (h *heldBytes) largestLocked() *heldResponse {
	var largest *heldResponse
	for r := range h.byResponse {
		if largest == nil || r.bytes > largest.bytes {
			largest = r
		}
	}
	return largest
}

// remove counts n bytes of a response less: the caller has taken them.
func (h *heldBytes) remove(r *heldResponse, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.evicted {
		return
	}
	r.bytes -= n
	h.responses -= n
	if r.bytes == 0 {
		delete(h.byResponse, r)
	}
}

// drop counts no byte of a response any more.
func (h *heldBytes) drop(r *heldResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropLocked(r)
}

func (h *heldBytes) dropLocked(r *heldResponse) {
	h.responses -= r.bytes
	r.bytes = 0
	delete(h.byResponse, r)
}

func (h *heldBytes) counts() HeldByteCounts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HeldByteCounts{Bytes: h.bodies + h.responses, Limit: h.limit, Disconnected: h.disconnected, Refused: h.refused}
}
