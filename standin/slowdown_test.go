// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

// Guards against uneven runs whose engines are not slow.
func TestSlowEngineSkipsSteps(t *testing.T) {
	c := quicktest.New(t)
	for factor, steps := range map[float64]int{0: 100, 1: 100, 2: 50, 2.5: 40} {
		s, done := slowdown{factor: factor}, 0
		for range 100 {
			if !s.skipsStep() {
				done++
			}
		}
		c.Check(done, quicktest.Equals, steps, quicktest.Commentf("factor %v", factor))
	}
}

// Guards against an engine that stays slow, or fast, when told otherwise.
func TestSlowdownIsSetAndRefused(t *testing.T) {
	te := newTestEngine(t, nil)
	post := func(factor string) int {
		r, err := http.Post(te.url+"/control/slowdown?factor="+factor, "", nil)
		te.Assert(err, quicktest.IsNil)
		te.Assert(r.Body.Close(), quicktest.IsNil)
		return r.StatusCode
	}
	te.Check(post("2.5"), quicktest.Equals, http.StatusNoContent)
	te.Check(post("0.5"), quicktest.Equals, http.StatusBadRequest)
	te.Check(post(""), quicktest.Equals, http.StatusBadRequest)
	te.engine.mu.Lock()
	defer te.engine.mu.Unlock()
	te.Check(te.engine.slowdown.factor, quicktest.Equals, 2.5)
}

// Guards against runs that report no breach although an engine got more requests at once than its batch takes: the
// third and fourth unfinished request of an engine for two count, a request after others have ended does not.
func TestRequestsBeyondBatchAreCounted(t *testing.T) {
	te := newTestEngine(t, func(e *Engine) { e.QueueLimit = 10 })
	te.load("a@1")
	te.run("a@1", "")
	te.run("a@1", "")
	te.run("a@1", "")
	te.Assert(te.engine.Counts().OverLimit, quicktest.Equals, 0)
	for range 4 {
		defer te.start("a@1", "", 1_000_000).Body.Close()
	}
	te.Assert(te.engine.Counts().OverLimit, quicktest.Equals, 2)
}
