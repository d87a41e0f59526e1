// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/member"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
)

// runKeyed runs a request. One that is not repeatable, which a key says, runs only
// when the home of the key lets this attempt run it, and the home is told how it ended.
func (g *Gateway) runKeyed(ctx context.Context, key, id string, run func() *Failure) *Failure {
	if key == "" {
		return run()
	}
	home, f := g.beginKey(ctx, key, id)
	if f != nil {
		return f
	}
	f = run()
	g.endKey(home, key, id, f)
	return f
}

// beginKey claims the key at its home.
func (g *Gateway) beginKey(ctx context.Context, key, id string) (member.Member, *Failure) {
	asked := clock.Now()
	until := asked.Add(g.Spans.Key)
	for {
		home, ok := g.keyHome(key)
		state := wire.KeyState_KEY_STATE_NOT_HOME
		if ok {
			state = g.askHome(ctx, home, key, id, until)
		}
		late := clock.Now().After(until)
		if state != wire.KeyState_KEY_STATE_NOT_HOME {
			return home, keyFailure(state, late, g.Spans.Retry)
		}
		if late || ctx.Err() != nil {
			return home, &Failure{Code: CodeKeyHome, Ran: NotRun, Message: "the home of the key does not answer", Retry: g.Spans.Retry}
		}
		pause(ctx, failoverPause)
	}
}

// keyHome returns the scheduler that keeps a key: one data centre by the key
// and the configuration, and one scheduler in it.
func (g *Gateway) keyHome(key string) (member.Member, bool) {
	centre := policy.First(key, g.Catalog().DataCentres())
	return pick(key, g.schedulersOf(centre))
}

func (g *Gateway) askHome(ctx context.Context, home member.Member, key, id string, until time.Time) wire.KeyState {
	call, cancel := context.WithDeadline(ctx, clock.SystemTime(until))
	defer cancel()
	a, err := g.Schedulers.Scheduler(home.Address()).BeginKey(call, &wire.BeginKeyRequest{Key: key, Request: id})
	if err != nil {
		g.Probe(home.Name())
		return wire.KeyState_KEY_STATE_NOT_HOME
	}
	return a.GetState()
}

// keyFailure turns the home's word into the caller's answer; nil lets the
// request run. A claim that came late is not used, since the home may have
// changed since it was given.
func keyFailure(state wire.KeyState, late bool, retry time.Duration) *Failure {
	switch state {
	case wire.KeyState_KEY_STATE_CLAIMED:
		if late {
			return &Failure{Code: CodeKeyHome, Ran: NotRun, Message: "the home of the key answered late", Retry: retry}
		}
		return nil
	case wire.KeyState_KEY_STATE_IN_PROGRESS:
		return &Failure{Code: CodeKeyInProgress, Ran: Unknown, Message: "another attempt with this key is under way", Retry: retry}
	case wire.KeyState_KEY_STATE_RAN:
		return &Failure{Code: CodeKeyRan, Ran: DidRun, Message: "a request with this key ran"}
	case wire.KeyState_KEY_STATE_TOO_OLD:
		return &Failure{Code: CodeKeyTooOld, Ran: Unknown, Message: "this attempt did not run; whether an earlier one with this key did is not known here", Retry: retry}
	}
	return &Failure{Code: CodeKeyUnknown, Ran: Unknown, Message: "an earlier attempt with this key may have run"}
}

// endKey tells the home how the attempt ended. When the home is not reached the
// key stays in progress there, which is safe.
func (g *Gateway) endKey(home member.Member, key, id string, f *Failure) {
	state := wire.KeyState_KEY_STATE_RAN
	if f != nil {
		state = wire.KeyState_KEY_STATE_UNKNOWN
		if f.Ran == NotRun {
			state = wire.KeyState_KEY_STATE_CLAIMED
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := g.Schedulers.Scheduler(home.Address()).EndKey(ctx, &wire.EndKeyRequest{Key: key, Request: id, State: state})
	if err != nil {
		g.Log.Info("Home of a key was not told", "key", key, "home", home.Name(), "err", err.Error())
	}
}
