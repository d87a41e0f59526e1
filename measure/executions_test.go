// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"cairnwick.example/platform/platformtest"
	"github.com/frankban/quicktest"
)

// Guards against a fault run that counts a broken promise as kept, a repetition as allowed, or one that is allowed as broken.
func TestFaultRunJudgesExecutions(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	once, resumable, plain := executionKinds[0], executionKinds[1], executionKinds[2]
	executed, rejected := platformtest.Attempt{Executed: true, Status: 200}, platformtest.Attempt{Status: 503}
	for _, test := range []struct {
		kind           executionKind
		status         int
		attempts       []platformtest.Attempt
		refused, twice byService
	}{
		{once, http.StatusServiceUnavailable, []platformtest.Attempt{executed}, byService{streams: 1}, byService{}},
		{once, http.StatusTooManyRequests, []platformtest.Attempt{executed, rejected}, byService{streams: 1}, byService{}},
		{plain, http.StatusRequestTimeout, []platformtest.Attempt{rejected, executed}, byService{plain: 1}, byService{}},
		{plain, http.StatusMisdirectedRequest, []platformtest.Attempt{executed, executed}, byService{plain: 1}, byService{plain: 1}},
		{once, http.StatusOK, []platformtest.Attempt{executed, executed}, byService{}, byService{streams: 1}},
		{once, 0, []platformtest.Attempt{executed, rejected, executed}, byService{}, byService{streams: 1}},
		{once, http.StatusBadGateway, []platformtest.Attempt{rejected, executed}, byService{}, byService{}},
		{once, http.StatusServiceUnavailable, []platformtest.Attempt{rejected, rejected}, byService{}, byService{}},
		{resumable, http.StatusServiceUnavailable, []platformtest.Attempt{executed, executed}, byService{}, byService{}},
	} {
		var n executionsReport
		n.judge(&executionCall{kind: test.kind, status: test.status}, test.attempts, time.Time{})
		c.Check(n.refused, quicktest.Equals, test.refused, quicktest.Commentf("%+v", test))
		c.Check(n.twice, quicktest.Equals, test.twice, quicktest.Commentf("%+v", test))
		c.Check(n.breached(), quicktest.Equals, test.refused != byService{} || test.twice != byService{})
	}
}

// Guards against refused requests that are assigned to the wrong cause.
func TestFaultRunTellsCausesApart(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	executed, rejected, unproven := platformtest.Attempt{Executed: true, Status: 200}, platformtest.Attempt{Status: 503}, platformtest.Attempt{Executed: true, Status: 503}
	var n executionsReport
	for _, attempts := range [][]platformtest.Attempt{{executed}, {rejected, executed}, {unproven}, {rejected, unproven}} {
		n.judge(&executionCall{kind: executionKinds[0], status: http.StatusServiceUnavailable}, attempts, time.Time{})
	}
	c.Check([]int{n.refused.streams, n.first, n.unproven}, quicktest.DeepEquals, []int{4, 2, 2})
}

// Guards against settings of a fault run that are ignored.
func TestFaultRunRejectsUnknownNames(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	valid := Executions{Boxes: 2, Endpoints: 4, Rate: 1, Faults: ExecutionFaults(), CopyForms: platformtest.CopyForms()}
	c.Check(valid.validate(), quicktest.IsNil)
	for message, change := range map[string]func(*Executions){
		".*unknown fault \"none\".*":   func(s *Executions) { s.Faults = []string{"none"} },
		".*unknown form \"none\".*":    func(s *Executions) { s.CopyForms = []string{"none"} },
		".*rate: must be positive.*":   func(s *Executions) { s.Rate = 0 },
		".*must be from 0 to 1":        func(s *Executions) { s.Unproven = 2 },
		".*at least one box and two.*": func(s *Executions) { s.Boxes = 0 },
	} {
		s := valid
		change(&s)
		c.Check(s.validate(), quicktest.ErrorMatches, message)
	}
}

// Guards against callers that go on sending to boxes that are not ready, or stop when none is.
func TestBalancerTakesOutBoxesThatAreNotReady(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	first, second := &balancedBox{callers: "first"}, &balancedBox{callers: "second"}
	b := newBalancer([]*balancedBox{first, second})
	chosen := func() map[string]bool {
		names := make(map[string]bool)
		for range 99 {
			names[b.choose(random)] = true
		}
		return names
	}
	b.record(first, false)
	c.Check(chosen(), quicktest.DeepEquals, map[string]bool{"first": true, "second": true}) // a single miss
	b.record(first, false)
	c.Check(chosen(), quicktest.DeepEquals, map[string]bool{"second": true})
	b.record(second, false)
	b.record(second, false)
	c.Check(chosen(), quicktest.DeepEquals, map[string]bool{"first": true, "second": true})
	b.record(first, true)
	c.Check(chosen(), quicktest.DeepEquals, map[string]bool{"first": true})
}
