// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"

	"github.com/frankban/quicktest"
)

// Users saw a request reach the endpoint that had just turned it away again, up to four times within 30 ms,
// and be refused; each time it used up one of the retries that all boxes share.
//
// The order of events: the only endpoint that holds an adapter turns a request away. Its box leaves that
// endpoint out, and asks a leader to load the adapter at another one. The leader knows nothing of the
// refusal, and names the endpoint that holds the adapter.
//
// The cause: what a box leaves out stayed with the box, and the leader's word went before it. Leaders are told
// what to avoid; one of an older version is not, so its word is looked at again.
//
// The evidence: 89 of 668 attempts that were turned away went to an endpoint that had turned the same
// request away before; with the mend taken out the endpoint here gets four.
func TestARetryDoesNotGoBackToTheEndpointThatTurnedItAway(t *testing.T) {
	s, _ := askTwoCentres(t, elsewherePlacer("e3"), "2s")
	holder := s.endpoint(t, refuseUnrun)
	s.move("e3", "dc")
	s.askAdapter()
	s.c.Assert(holder.Load(), quicktest.Equals, int64(1))
}
