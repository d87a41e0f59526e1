// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"cairnwick.example/clock"
	"github.com/frankban/quicktest"
)

// Guards against a request that is sent after its deadline, since the box was late while it opened a connection.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	calls := s.endpoint(t, answerOK)
	const late = 5 * time.Second
	s.gateway.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		clock.SimulateSuspend(late)
		t.Cleanup(func() { clock.SimulateSuspend(-late) })
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusGatewayTimeout)
	s.c.Check(calls.Load(), quicktest.Equals, int64(0))
	s.c.Check(s.gateway.upstream(s.gateway.View.Endpoint("e1")).health(clock.Now()).down, quicktest.IsFalse)
}

// Guards against endpoints that get more time than their callers have left, since the box has read the request late.
func TestDeadlineCountsTheTimeThatARequestWaitedUnread(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	calls := s.endpoint(t, answerOK)
	s.gateway.ReadDelay = func() time.Duration { return 3 * time.Second }
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusGatewayTimeout)
	s.c.Check(calls.Load(), quicktest.Equals, int64(0))
}
