// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net/http"
	"strconv"
)

// slowdown makes an engine skip steps, so that each token takes longer. A restart of the engine does not reset it.
type slowdown struct {
	factor float64 // time for each token, relative to the normal time; up to 1: normal
	due    float64 // part of the next step that is due
}

// skipsStep advances by one step of normal length and reports whether the engine does nothing in it.
func (s *slowdown) skipsStep() bool {
	if s.factor <= 1 {
		return false
	}
	s.due += 1 / s.factor
	if s.due < 1 {
		return true
	}
	s.due--
	return false
}

// setSlowdown handles POST /control/slowdown: with factor=N, each token takes N times the normal time.
func (e *Engine) setSlowdown(w http.ResponseWriter, q *http.Request) {
	factor, err := strconv.ParseFloat(q.URL.Query().Get("factor"), 64)
	if err != nil || factor < 1 {
		http.Error(w, "factor: must be a number of at least 1", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = slowdown{factor: factor}
	w.WriteHeader(http.StatusNoContent)
}

// unfinishedLocked returns the number of admitted runs that have not ended.
func (e *Engine) unfinishedLocked() int {
	n := 0
	for _, r := range e.runs {
		if !r.ended() {
			n++
		}
	}
	return n
}
