// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// runs is an endpoint's work on requests.
type runs struct{ begun, left chan struct{} }

func newRuns() runs { return runs{begun: make(chan struct{}, 8), left: make(chan struct{}, 8)} }

// work reads the request, begins its answer as told, and works until its caller leaves.
func (r runs) work(begin func(http.ResponseWriter)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body) // a server notices that its caller leaves only after the body
		begin(w)
		r.begun <- struct{}{}
		select {
		case <-q.Context().Done():
			r.left <- struct{}{}
		case <-time.After(2 * patience): // so that the test that fails ends
		}
	}
}

// await fails the test where what must come stays away.
func (s *site) await(what <-chan struct{}) {
	select {
	case <-what:
	case <-time.After(patience):
		s.c.Fatal("it has not come")
	}
}

const wholeByHand = headByHand + "Content-Length: 0\r\n\r\n"

func TestAStreamIsLeftWhenItsCallerLeaves(t *testing.T) {
	for name, begin := range map[string]func(http.ResponseWriter){
		"before its first event": func(http.ResponseWriter) {},
		"after its head": func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", streamType)
			_ = http.NewResponseController(w).Flush()
		},
		"after an event": func(w http.ResponseWriter) { sendEvents(w, 1, 1, false) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, resumable(time.Minute))
			r := newRuns()
			s.endpoint(t, r.work(begin))
			s.endpoint(t, r.work(begin)) // it may be resumed there, but not for nobody
			s.leavesOneOfTwo(t, r)
		})
	}
}

// leavesOneOfTwo checks that a caller that leaves while the first endpoint works is left
// there, and that the second one is not asked.
func (s *site) leavesOneOfTwo(t *testing.T, r runs) {
	caller := s.callByHand(t, wholeByHand)
	s.await(r.begun)
	s.c.Assert(caller.Close(), quicktest.IsNil)
	s.await(r.left)
	s.eventually(func() bool { return s.gateway.InFlight() == 0 })
	s.c.Assert(s.calls["e1"].Load()+s.calls["e2"].Load(), quicktest.Equals, int64(1))
}

func TestARepeatableRequestIsNotRepeatedForACallerThatLeft(t *testing.T) {
	s := newSite(t, repeatable(time.Minute))
	r := newRuns()
	for range 2 {
		s.endpoint(t, r.work(func(http.ResponseWriter) {}))
	}
	s.leavesOneOfTwo(t, r)
}

func TestACallerThatLeavesInItsBodyIsLeft(t *testing.T) {
	s := newSite(t, once(time.Minute))
	calls := s.endpoint(t, answerOK)
	caller := s.callByHand(t, headByHand+"Content-Length: 8\r\n\r\nhalf")
	s.eventually(func() bool { return s.gateway.InFlight() == 1 })
	s.c.Assert(caller.Close(), quicktest.IsNil)
	s.eventually(func() bool { return s.gateway.InFlight() == 0 })
	s.c.Assert(calls.Load(), quicktest.Equals, int64(0))
}

// slowPlacer has an adapter ready long after its caller left; it says when it is asked, and
// when it hears that nobody waits any more.
type slowPlacer struct{ asked, told chan struct{} }

// Place implements Placer.
func (p slowPlacer) Place(ctx context.Context, w AdapterRequest) (PlacementResult, error) {
	close(p.asked)
	<-ctx.Done()
	close(p.told)
	return PlacementResult{Ready: true, Endpoint: w.Endpoint.ID()}, nil
}

func TestARequestThatWaitsForAnAdapterIsLeftWithItsCaller(t *testing.T) {
	p := slowPlacer{asked: make(chan struct{}), told: make(chan struct{})}
	s, _ := askTwoCentres(t, p, "2s")
	caller := s.callByHand(t, headByHand+"Adapter: m/a\r\nContent-Length: 0\r\n\r\n")
	s.await(p.asked)
	s.c.Assert(caller.Close(), quicktest.IsNil)
	s.await(p.told)
	s.eventually(func() bool { return s.gateway.InFlight() == 0 })
	s.c.Assert(s.calls["e1"].Load()+s.calls["e2"].Load(), quicktest.Equals, int64(0))
}

// What came on the connection after the request ends net/http's watch for its close: such a
// caller is noticed when something is written to it, as here, or at its deadline.
func TestACallerWithBytesAfterItsRequestIsLeftAtTheNextEvent(t *testing.T) {
	s := newSite(t, resumable(time.Minute))
	r := newRuns()
	more := make(chan struct{})
	s.endpoint(t, func(w http.ResponseWriter, q *http.Request) {
		sendEvents(w, 1, 1, false)
		r.begun <- struct{}{}
		<-more
		for i := 2; q.Context().Err() == nil; i++ { // the first is answered with a reset, a later one fails
			sendEvents(w, i, i, false)
			time.Sleep(time.Millisecond)
		}
		r.left <- struct{}{}
	})
	caller := s.callByHand(t, wholeByHand+"POST")
	s.await(r.begun)
	s.c.Assert(caller.Close(), quicktest.IsNil)
	close(more)
	s.await(r.left)
	s.eventually(func() bool { return s.gateway.InFlight() == 0 })
}
