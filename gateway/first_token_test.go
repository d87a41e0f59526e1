// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"testing"
	"time"

	"cairnwick.example/member"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// Guards against placement by times that are too old or out of range, and against an older scheduler's state, which has
// none, counting as a time.
func TestExpectedFirstTokenIsBoundedAndExpires(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	for micros, want := range map[int64]time.Duration{0: 0, -1: 0, 250_000: 250 * time.Millisecond, 1 << 62: maxFirstToken} {
		states := newStateCache()
		states.update("e1", "a@1", &wire.EndpointFacts{Running: 1, Limit: 2, FirstTokenMicros: micros, QueueMicros: 100_000}, now)
		list, _ := states.get("a@1", []string{"e1"}, now)
		c.Check(list[0].FirstToken, quicktest.Equals, want)
		c.Check(list[0].Queue, quicktest.Equals, min(want, 100*time.Millisecond))
		list, _ = states.get("a@1", []string{"e1"}, now.Add(stateTTL+time.Millisecond))
		c.Check(list[0].FirstToken, quicktest.Equals, time.Duration(0))
	}
}

// A decision shows the times that it compared.
func TestCandidateShowsExpectedFirstToken(t *testing.T) {
	state := policy.EndpointState{Loaded: true, Known: true, Age: 8552 * time.Millisecond, FirstToken: 53 * time.Millisecond}
	quicktest.Check(t, newCandidate("e1", 0, state).GetNote(), quicktest.Equals, "adapter probably loaded, first token expected after 53ms as of 8.552s ago")
	quicktest.Check(t, newCandidate("e1", 0, policy.EndpointState{}).GetNote(), quicktest.Equals, "no recent state")
}

// Guards against callers that wait for reports of first tokens when the workers are busy.
func TestFirstTokenIsDroppedIfWorkersAreBusy(t *testing.T) {
	c := quicktest.New(t)
	g := newGateway(c, ScopeDataCentre)
	h := heldGrant{owner: member.Member{}, grant: &wire.Grant{Id: 7}, endpoint: "e1", adapter: "a@1"}
	for range releaseBuffer + 1 {
		g.reportFirstToken(h, time.Second)
	}
	r := <-g.releases
	c.Assert(r.firstToken.GetId(), quicktest.Equals, uint64(7))
	c.Assert(r.firstToken.GetTookMicros(), quicktest.Equals, time.Second.Microseconds())
	c.Assert(r.adapter, quicktest.Equals, "a@1")
}

// Guards against prompts without a length: they would not count as work of an endpoint.
func TestPromptLengthIsEstimated(t *testing.T) {
	c := quicktest.New(t)
	for body, want := range map[string]int{
		`{"model": "a"}`:                                     0,
		`{"model": "a", "prompt": "123456"}`:                 2, // eight bytes with its quotes
		`{"model": "a", "messages": [{"content": "hello"}]}`: 6,
	} {
		q, f := parseTestRequest(newGateway(c, ScopeDataCentre), body)
		c.Assert(f == nil, quicktest.IsTrue)
		c.Check(q.promptTokens, quicktest.Equals, want, quicktest.Commentf("%s", body))
	}
}
