// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against a box that uses the holder that it sees itself: it knows only its own requests there.
func TestOwnersChoiceIsUsedThoughAnotherEndpointHoldsTheAdapter(t *testing.T) {
	s := newBalancedSite(t, onceRoute(2*time.Second), memoryBound, readyAt("e2"))
	s.add(t, "dc", true, answerOK)
	s.add(t, "dc", false, answerOK)
	for range 4 {
		s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
	}
	s.c.Assert(s.calls["e2"].Load(), quicktest.Equals, int64(4))
	s.c.Assert(s.calls["e1"].Load(), quicktest.Equals, int64(0))
	for _, w := range s.placer.requests() {
		s.c.Assert(w.Balance, quicktest.IsTrue)
	}
}

// Guards against base-model requests that go by the box's own view: they take the same time and memory of the endpoints.
func TestBaseModelRequestsAreBalanced(t *testing.T) {
	s := newBalancedSite(t, onceRoute(2*time.Second), memoryBound, readyAt("e2"))
	s.add(t, "dc", false, answerOK)
	s.add(t, "dc", false, answerOK)
	for range 4 {
		s.c.Assert(s.status("m"), quicktest.Equals, http.StatusOK)
	}
	s.c.Assert(s.calls["e2"].Load(), quicktest.Equals, int64(4))
	list := s.placer.requests()
	s.c.Assert(list, quicktest.HasLen, 4)
	s.c.Assert(list[0].Balance, quicktest.IsTrue)
	s.c.Assert(list[0].Adapter, quicktest.Equals, topology.Adapter{Model: "m"})
}

// Guards against a change for services that publish no memory, or enough for their slots: a holder is used without a call, and
// an owner is asked for a load only.
func TestServiceThatIsNotMemoryBoundTakesTheOldPath(t *testing.T) {
	for _, engine := range []topology.EngineSpec{
		{AdapterSlots: 2, BatchSize: 96},
		{AdapterSlots: 2, BatchSize: 16, MemoryTokens: 121_000},
	} {
		s := newBalancedSite(t, onceRoute(2*time.Second), engine, readyAt("e2"))
		s.add(t, "dc", true, answerOK)
		s.add(t, "dc", false, answerOK)
		s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
		s.c.Assert(s.status("m"), quicktest.Equals, http.StatusOK)
		s.c.Assert(s.calls["e1"].Load() > 0, quicktest.IsTrue)
		s.c.Assert(s.placer.requests(), quicktest.HasLen, 0)
		s.c.Assert(s.status("m/other"), quicktest.Equals, http.StatusOK)
		list := s.placer.requests()
		s.c.Assert(list, quicktest.HasLen, 1)
		s.c.Assert(list[0].Balance, quicktest.IsFalse)
		s.c.Assert(list[0].OutputTokens, quicktest.Equals, 0)
		s.c.Assert(list[0].Target, quicktest.Equals, time.Duration(0))
		s.c.Assert(list[0].QueueLimit, quicktest.Equals, time.Duration(0))
	}
}

// Guards against a full data centre that refuses requests while another has capacity, and against requests that ask each
// data centre in turn.
func TestBusyGoesOnToAtMostThreeDataCentres(t *testing.T) {
	free := ""
	s := newBalancedSite(t, onceRoute(2*time.Second), memoryBound, func(_ context.Context, w AdapterRequest) (PlacementResult, error) {
		if w.Endpoint.DataCentre() == free {
			return PlacementResult{Ready: true, Endpoint: w.Endpoint.ID()}, nil
		}
		return PlacementResult{Busy: true, RetryAfter: 70 * time.Millisecond, Reason: "busy"}, nil
	})
	for _, centre := range []string{"dc", "d2", "d3", "d4"} {
		s.add(t, centre, true, answerOK)
	}
	s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusServiceUnavailable)
	asked := centresOf(s.placer.requests())
	s.c.Assert(asked, quicktest.HasLen, 3)
	s.c.Assert(asked[0], quicktest.Equals, "dc")
	s.c.Assert(slices.Compact(slices.Sorted(slices.Values(asked))), quicktest.HasLen, 3)
	free = asked[1]
	s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
	s.c.Assert(centresOf(s.placer.requests()), quicktest.DeepEquals, asked[:2])
}

// Guards against requests that wait for a silent leader until their deadline, though an endpoint that the box sees holds
// their adapter: half of the remaining target is the longest wait at each of three data centres.
func TestSilentOwnersAreNotWaitedForIfAHolderIsSeen(t *testing.T) {
	const target = 600 * time.Millisecond
	r := onceRoute(5 * time.Second)
	r.LatencyTarget = target
	s := newBalancedSite(t, r, memoryBound, func(ctx context.Context, _ AdapterRequest) (PlacementResult, error) {
		<-ctx.Done()
		return PlacementResult{}, ctx.Err()
	})
	s.add(t, "dc", true, answerOK)
	began := time.Now()
	s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
	took := time.Since(began)
	s.c.Assert(took >= target/2 && took < target, quicktest.IsTrue, quicktest.Commentf("%v", took))
	s.add(t, "d2", false, answerOK)
	s.add(t, "d3", false, answerOK)
	s.add(t, "d4", false, answerOK)
	began = time.Now()
	s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
	took = time.Since(began)
	s.c.Assert(took < target/2+100*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", took))
	s.c.Assert(s.placer.requests(), quicktest.HasLen, 1+1) // the owners of other data centres would load the adapter again
}

// Guards against a second load of an adapter while its endpoint changes owners: owners of other data centres were asked, and
// loaded it.
func TestHolderIsUsedWhileItsOwnerChanges(t *testing.T) {
	s := newBalancedSite(t, onceRoute(5*time.Second), memoryBound, func(context.Context, AdapterRequest) (PlacementResult, error) {
		return PlacementResult{OwnerChanging: true, RetryAfter: time.Second, Reason: "the endpoint's owner has not settled"}, nil
	})
	s.add(t, "d2", true, answerOK)
	s.add(t, "dc", false, answerOK)
	s.add(t, "d3", false, answerOK)
	s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
	s.c.Assert(centresOf(s.placer.requests()), quicktest.DeepEquals, []string{"d2"})
}

// Guards against a request that is sent to an endpoint whose owner has just refused it: the owner of another data centre's
// holder had not settled, and the box chose among the holders of all data centres.
func TestBusyHolderIsNotUsedWhileAnotherChangesOwners(t *testing.T) {
	s := newBalancedSite(t, onceRoute(5*time.Second), memoryBound, func(_ context.Context, w AdapterRequest) (PlacementResult, error) {
		if w.Endpoint.DataCentre() == "dc" {
			return PlacementResult{Busy: true, RetryAfter: time.Second, Reason: "busy"}, nil
		}
		return PlacementResult{OwnerChanging: true, RetryAfter: time.Second, Reason: "the endpoint's owner has not settled"}, nil
	})
	busy := s.add(t, "dc", true, answerOK)
	changing := s.add(t, "d2", true, answerOK)
	s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
	s.c.Assert(s.calls[busy].Load(), quicktest.Equals, int64(0))
	s.c.Assert(s.calls[changing].Load(), quicktest.Equals, int64(1))
}

// Guards against refusals that name loads whatever lacks, and against callers that are not told that no retry will be served. A
// leader of an older build sends no code.
func TestRefusalSaysWhatTheOwnerLacks(t *testing.T) {
	for _, k := range []struct {
		code   Code
		noRoom bool
		text   string
	}{
		{"", false, "adapter_not_loaded\n"},
		{CodeNoSlot, false, "adapter_slots_in_use\n"},
		{CodeEndpointsBusy, true, "endpoints_busy: no room before the request's deadline\n"},
	} {
		s := newBalancedSite(t, onceRoute(5*time.Second), memoryBound, func(context.Context, AdapterRequest) (PlacementResult, error) {
			return PlacementResult{Busy: true, RetryAfter: time.Second, Code: k.code, NoRoom: k.noRoom}, nil
		})
		s.add(t, "dc", true, answerOK)
		status, text, err := s.answer(t.Context(), "m/a")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Assert(status, quicktest.Equals, http.StatusServiceUnavailable)
		s.c.Assert(text, quicktest.Equals, k.text)
	}
}

// Guards against a wait of a fraction of a target that has passed: the request returns late, and an owner that answers in some
// milliseconds must still be heard.
func TestOwnerIsHeardThoughTheTargetHasPassed(t *testing.T) {
	r := onceRoute(5 * time.Second)
	r.LatencyTarget = time.Nanosecond
	s := newBalancedSite(t, r, memoryBound, func(ctx context.Context, _ AdapterRequest) (PlacementResult, error) {
		select {
		case <-time.After(20 * time.Millisecond):
			return PlacementResult{Ready: true, Endpoint: "e2"}, nil
		case <-ctx.Done():
			return PlacementResult{}, ctx.Err()
		}
	})
	s.add(t, "dc", true, answerOK)
	s.add(t, "dc", false, answerOK)
	s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
	s.c.Assert(s.calls["e2"].Load(), quicktest.Equals, int64(1))
}

// Guards against a data centre that is cut off and refuses its requests, though it sees a holder, and against the refusal of an
// owner of an older version, which answers for a load only.
func TestHolderIsUsedWhileNoOwnerAnswers(t *testing.T) {
	for name, answer := range map[string]PlacementResult{
		"changing": {OwnerChanging: true, RetryAfter: time.Second},
		"older":    {RetryAfter: time.Second, Reason: "the endpoint leaves"},
		"error":    {},
	} {
		t.Run(name, func(t *testing.T) {
			s := newBalancedSite(t, onceRoute(2*time.Second), memoryBound, func(context.Context, AdapterRequest) (PlacementResult, error) {
				if answer.RetryAfter == 0 {
					return PlacementResult{}, errors.New("no leader")
				}
				return answer, nil
			})
			s.add(t, "dc", false, answerOK)
			s.add(t, "dc", true, answerOK)
			s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
			s.c.Assert(s.calls["e2"].Load(), quicktest.Equals, int64(1))
		})
	}
}

// Guards against figures of the owner that get lost: the leader learns speeds from the tokens ahead, and the log and the metric of
// errors compare with the expected time.
func TestOwnersFiguresReachObserverAndPrediction(t *testing.T) {
	s := newBalancedSite(t, onceRoute(2*time.Second), memoryBound, func(context.Context, AdapterRequest) (PlacementResult, error) {
		return PlacementResult{Ready: true, Endpoint: "e1", AheadTokens: 4321, FirstToken: 987 * time.Millisecond}, nil
	})
	s.add(t, "dc", true, streamOne)
	s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
	ahead, _, _ := s.runs.snapshot()
	s.c.Assert(ahead, quicktest.DeepEquals, []int{4321})
	q := &request{service: s.gateway.View.Config().Service("app"), call: Call{Adapter: topology.Adapter{Model: "m", Name: "a"}}}
	d := s.gateway.newDispatch(q, target{endpoint: s.gateway.View.Endpoint("e1"), aheadTokens: 4321, firstToken: 987 * time.Millisecond})
	s.c.Assert(q.predictedFirstToken, quicktest.Equals, 987*time.Millisecond)
	s.c.Assert(d.unreadTokens, quicktest.Equals, 4321)
	d.finish()
}

// Guards against an owner of an older version: it answers without tokens ahead, and the box predicts by its own view.
func TestAnswerWithoutFiguresIsUsedAsBefore(t *testing.T) {
	s := newBalancedSite(t, onceRoute(2*time.Second), memoryBound, readyAt("e1"))
	s.add(t, "dc", true, streamOne)
	s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
	ahead, _, _ := s.runs.snapshot()
	s.c.Assert(ahead, quicktest.DeepEquals, []int{0})
}

// Guards against an owner that sends requests to an endpoint that refuses this box's connections.
func TestUnhealthyEndpointsAreInAvoid(t *testing.T) {
	s := newBalancedSite(t, onceRoute(2*time.Second), memoryBound, readyAt("e1"))
	s.add(t, "dc", true, answerOK)
	s.add(t, "dc", true, answerOK)
	s.add(t, "dc", true, answerOK)
	s.gateway.upstream(s.gateway.View.Endpoint("e2")).markDown(time.Now())
	s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
	s.c.Assert(s.placer.requests()[0].Avoid, quicktest.DeepEquals, []string{"e2"})
}

// Guards against a repeated request that the owner sends to the endpoint that has just failed it.
func TestEndpointThatFailedTheRequestIsInAvoid(t *testing.T) {
	s := newBalancedSite(t, repeatableRoute(2*time.Second), memoryBound, func(_ context.Context, w AdapterRequest) (PlacementResult, error) {
		for _, id := range []string{"e1", "e2"} {
			if !slices.Contains(w.Avoid, id) {
				return PlacementResult{Ready: true, Endpoint: id}, nil
			}
		}
		return PlacementResult{Busy: true}, nil
	})
	s.add(t, "dc", true, dropConnection)
	s.add(t, "dc", true, answerOK)
	s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
	_, failed, _ := s.runs.snapshot()
	s.c.Assert(failed, quicktest.DeepEquals, []string{"e1"}) // once
}

// Guards against requests that are refused though an endpoint could serve them: a data centre that the box avoids was asked
// since no other one has the model, and all its endpoints were in Avoid.
func TestOnlyDataCentreWithTheModelIsNotInAvoid(t *testing.T) {
	s := newBalancedSite(t, onceRoute(2*time.Second), memoryBound, readyAt("e1"))
	s.add(t, "d2", true, answerOK)
	s.endpoint(t, answerOK) // in the own data centre, without the model
	s.gateway.dataCentres.avoid("d2", time.Now())
	s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
	s.c.Assert(s.placer.requests()[0].Avoid, quicktest.HasLen, 0)
}

// Guards against callers that leave and make their endpoint count as failing, and against runs that never end.
func TestCallerThatLeftIsNoFailure(t *testing.T) {
	arrived := make(chan bool, 1)
	s := newBalancedSite(t, onceRoute(5*time.Second), memoryBound, readyAt("e1"))
	s.add(t, "dc", true, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body
		arrived <- true
		<-r.Context().Done()
	})
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-arrived
		leave()
	}()
	_, err := s.call(ctx, "m/a")
	s.c.Assert(err, quicktest.Not(quicktest.IsNil))
	s.eventuallyFinished()
	_, failed, _ := s.runs.snapshot()
	s.c.Assert(failed, quicktest.HasLen, 0)
}

// Guards against callers that leave while an owner is asked, and whose call to it goes on, or whose request is counted at
// a holder of the adapter.
func TestCallerThatLeavesEndsTheCallToTheOwner(t *testing.T) {
	asked, ended := make(chan bool, 8), make(chan bool, 8)
	s := newBalancedSite(t, onceRoute(5*time.Second), memoryBound, func(ctx context.Context, _ AdapterRequest) (PlacementResult, error) {
		asked <- true
		<-ctx.Done()
		ended <- true
		return PlacementResult{}, ctx.Err()
	})
	s.add(t, "dc", true, answerOK)
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-asked
		leave()
	}()
	_, err := s.call(ctx, "m/a")
	s.c.Assert(err, quicktest.Not(quicktest.IsNil))
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		s.c.Fatal("the call to the owner goes on")
	}
	for range 200 {
		if s.gateway.InFlight() == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.c.Assert(s.calls["e1"].Load(), quicktest.Equals, int64(0))
	s.c.Assert(s.runs.started, quicktest.Equals, 0)
}

// Guards against requests that each wait for the owner in a data centre that is cut off: the next one goes elsewhere at once.
func TestDataCentreOfUnreachableOwnerIsAvoided(t *testing.T) {
	for _, unreachable := range []bool{true, false} {
		s := newBalancedSite(t, onceRoute(5*time.Second), memoryBound, func(_ context.Context, w AdapterRequest) (PlacementResult, error) {
			switch {
			case w.Endpoint.DataCentre() != "d2":
				return PlacementResult{Ready: true, Endpoint: "e2"}, nil
			case unreachable:
				return PlacementResult{}, errors.Wrap(ErrOwnerUnreachable, "no route")
			}
			return PlacementResult{}, context.DeadlineExceeded // it may be slow, or wait for a load
		})
		s.add(t, "d2", true, answerOK)
		s.add(t, "dc", false, answerOK)
		for range 2 {
			s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusOK)
		}
		asked := []string{"d2", "dc", "dc"}
		if !unreachable {
			asked = []string{"d2", "dc", "d2", "dc"}
		}
		s.c.Assert(centresOf(s.placer.requests()), quicktest.DeepEquals, asked)
	}
}

// Guards against a retry time of half a second, since one owner was silent, where another has answered that there is no room.
func TestAnswerOfAnOwnerGoesBeforeTheSilenceOfAnother(t *testing.T) {
	s := newBalancedSite(t, onceRoute(5*time.Second), memoryBound, func(_ context.Context, w AdapterRequest) (PlacementResult, error) {
		if w.Endpoint.DataCentre() == "dc" {
			return PlacementResult{Busy: true, RetryAfter: 4 * time.Second, NoRoom: true, Code: CodeEndpointsBusy, Reason: "full"}, nil
		}
		return PlacementResult{}, errors.Wrap(ErrOwnerUnreachable, "no route")
	})
	s.add(t, "dc", false, answerOK)
	s.add(t, "d2", false, answerOK)
	s.c.Assert(s.status("m/a"), quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Assert(s.gateway.Stats.Refusals.String(), quicktest.Contains, string(CodeEndpointsBusy))
}
