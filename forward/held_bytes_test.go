// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math/rand/v2"
	"testing"

	"github.com/frankban/quicktest"
)

// evictionLog records which responses were evicted.
type evictionLog map[string]int

func (l evictionLog) response(name string) *heldResponse {
	return &heldResponse{onEvict: func() { l[name]++ }}
}

// Guards against bodies that exceed the bound, and against bytes that stay counted after a refusal.
func TestBodyBeyondBoundIsNotCounted(t *testing.T) {
	c := quicktest.New(t)
	h := newHeldBytes(400)
	c.Assert(h.addBody(300), quicktest.IsTrue)
	c.Assert(h.addBody(1), quicktest.IsFalse) // a quarter is left to responses
	h.removeBody(300)
	c.Assert(h.counts().Bytes, quicktest.Equals, int64(0))
	c.Assert(h.addBody(300), quicktest.IsTrue)
}

// Guards against large bodies that have callers disconnected who read their responses.
func TestBodiesLeaveRoomForResponses(t *testing.T) {
	c := quicktest.New(t)
	h, log := newHeldBytes(400), evictionLog{}
	for h.addBody(10) {
		continue
	}
	c.Assert(h.add(log.response("a"), 50), quicktest.IsTrue)
	c.Assert(h.add(log.response("b"), 50), quicktest.IsTrue)
	c.Assert(log, quicktest.HasLen, 0)
}

// Guards against callers that do not read and have the requests of others refused.
func TestResponsesLeaveRoomForBodies(t *testing.T) {
	c := quicktest.New(t)
	h, log := newHeldBytes(400), evictionLog{}
	for range 10 {
		h.add(log.response("a"), 60)
	}
	c.Assert(h.addBody(100), quicktest.IsTrue)
}

// Guards against the disconnection of a caller that reads in place of one that does not.
func TestLargestResponseIsEvicted(t *testing.T) {
	c := quicktest.New(t)
	h, log := newHeldBytes(400), evictionLog{}
	large, small, reading := log.response("large"), log.response("small"), log.response("reading")
	c.Assert(h.add(large, 200), quicktest.IsTrue)
	c.Assert(h.add(small, 90), quicktest.IsTrue)
	for range 100 {
		c.Assert(h.add(reading, 10), quicktest.IsTrue)
		h.remove(reading, 10)
	}
	c.Assert(log, quicktest.HasLen, 0)
	c.Assert(h.add(reading, 20), quicktest.IsTrue)
	c.Assert(log, quicktest.DeepEquals, evictionLog{"large": 1})
	c.Assert(h.counts().Bytes, quicktest.Equals, int64(110))

	h.remove(large, 200) // the block that was being written
	c.Assert(h.add(large, 1), quicktest.IsFalse)
	c.Assert(h.counts().Bytes, quicktest.Equals, int64(110))
	c.Assert(log["large"], quicktest.Equals, 1)
}

// Guards against other callers being disconnected for one response that is too large.
func TestResponseBeyondBoundEvictsItself(t *testing.T) {
	c := quicktest.New(t)
	h, log := newHeldBytes(400), evictionLog{}
	c.Assert(h.add(log.response("small"), 10), quicktest.IsTrue)
	c.Assert(h.add(log.response("large"), 301), quicktest.IsFalse)
	c.Assert(log, quicktest.DeepEquals, evictionLog{"large": 1})
}

// Guards against more bytes than the bound, and against counts that drift, in any order of events.
func TestBoundHoldsInAnyOrder(t *testing.T) {
	c := quicktest.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	h, log := newHeldBytes(1000), evictionLog{}
	responses, bodies := make([]*heldResponse, 8), int64(0)
	for i := range responses {
		responses[i] = log.response("r")
	}
	for range 20000 {
		i, n := r.IntN(len(responses)), int64(1+r.IntN(200))
		switch r.IntN(5) {
		case 0, 1:
			if !h.add(responses[i], n) {
				responses[i] = log.response("r")
			}
		case 2:
			h.remove(responses[i], min(n, responses[i].bytes))
		case 3:
			if h.addBody(n) {
				bodies += n
			}
		case 4:
			h.removeBody(min(n, bodies))
			bodies -= min(n, bodies)
		}
		total := bodies
		for _, held := range responses {
			total += held.bytes
		}
		c.Assert(h.counts().Bytes, quicktest.Equals, total)
		c.Assert(total <= 1000, quicktest.IsTrue)
	}
	c.Assert(log["r"] > 0, quicktest.IsTrue)
}
