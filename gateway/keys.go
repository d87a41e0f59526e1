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

// runWithKey runs a request. One with an idempotency key is not repeatable: it runs only after it has
// claimed the key at the key's home, the scheduler that stores its state, and then reports the
// outcome there.
func (g *Gateway) runWithKey(ctx context.Context, key, id string, run func() (Ran, *Failure)) *Failure {
	if key == "" {
		_, f := run()
		return f
	}
	home, f := g.beginKey(ctx, key, id)
	if f != nil {
		return f
	}
	ran, f := run()
	g.endKey(home, key, id, ran)
	return f
}

// beginKey claims a key at its home. It retries while the home changes or does not respond.
func (g *Gateway) beginKey(ctx context.Context, key, id string) (member.Member, *Failure) {
	startedAt := clock.Now()
	deadline := startedAt.Add(g.Timeouts.KeyClaim)
	for {
		home, ok := g.keyHome(key)
		state := wire.KeyState_KEY_STATE_NOT_HOME
		if ok {
			state = g.callBeginKey(ctx, home, key, id, deadline)
		}
		late := clock.Now().After(deadline)
		if state != wire.KeyState_KEY_STATE_NOT_HOME {
			return home, keyFailure(state, late, g.RetryAfter)
		}
		if late || ctx.Err() != nil {
			return home, &Failure{Code: CodeKeyHomeUnreachable, Ran: NotRun, Message: "the scheduler that stores the key's state does not respond", RetryAfter: g.RetryAfter}
		}
		sleep(ctx, failoverInterval)
	}
}

// keyHome returns the home of a key: rendezvous hashing selects a data centre of the configuration,
// and then a scheduler in it.
func (g *Gateway) keyHome(key string) (member.Member, bool) {
	dataCentre := policy.First(key, g.Catalog().DataCentres())
	return selectMember(key, g.schedulersOf(dataCentre))
}

// callBeginKey calls BeginKey at the home. If the call fails, the home is probed, and its state is treated like
// that of a scheduler that is no longer the home.
func (g *Gateway) callBeginKey(ctx context.Context, home member.Member, key, id string, deadline time.Time) wire.KeyState {
	call, cancel := context.WithDeadline(ctx, clock.SystemTime(deadline))
	defer cancel()
	reply, err := g.Schedulers.Scheduler(home.Address()).BeginKey(call, &wire.BeginKeyRequest{Key: key, Request: id})
	if err != nil {
		g.Probe(home.Name())
		return wire.KeyState_KEY_STATE_NOT_HOME
	}
	return reply.GetState()
}

// keyFailure converts the home's reply to a failure for the caller; nil: the request may run. A claim
// that arrives late is not used, since the home may have changed in the meantime.
func keyFailure(state wire.KeyState, late bool, retryAfter time.Duration) *Failure {
	switch state {
	case wire.KeyState_KEY_STATE_CLAIMED:
		if late {
			return &Failure{Code: CodeKeyHomeUnreachable, Ran: NotRun, Message: "the scheduler that stores the key's state responded too late", RetryAfter: retryAfter}
		}
		return nil
	case wire.KeyState_KEY_STATE_IN_PROGRESS:
		return &Failure{Code: CodeKeyInProgress, Ran: MayHaveRun, Message: "another attempt with this key is in progress", RetryAfter: retryAfter}
	case wire.KeyState_KEY_STATE_RAN:
		return &Failure{Code: CodeKeyRan, Ran: HasRun, Message: "a request with this key has been executed"}
	case wire.KeyState_KEY_STATE_TOO_OLD:
		return &Failure{Code: CodeKeyTooOld, Ran: MayHaveRun, Message: "this attempt was not executed; the state of the key is no longer known, so an earlier attempt may have been executed", RetryAfter: retryAfter}
	}
	return &Failure{Code: CodeKeyUnknown, Ran: MayHaveRun, Message: "an earlier attempt with this key may have been executed"}
}

// keyOutcome returns the state of a key whose attempt has ended. One that has certainly not run releases the key.
func keyOutcome(ran Ran) wire.KeyState {
	switch ran {
	case NotRun:
		return wire.KeyState_KEY_STATE_CLAIMED
	case HasRun:
		return wire.KeyState_KEY_STATE_RAN
	}
	return wire.KeyState_KEY_STATE_UNKNOWN
}

// endKey reports the outcome of an attempt to the key's home. If the call fails, the key stays in
// progress there, so that no other attempt runs.
func (g *Gateway) endKey(home member.Member, key, id string, ran Ran) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := g.Schedulers.Scheduler(home.Address()).EndKey(ctx, &wire.EndKeyRequest{Key: key, Request: id, State: keyOutcome(ran)})
	if err != nil {
		g.Log.Info("Outcome of a key could not be reported to its home", "key", key, "home", home.Name(), "err", err.Error())
	}
}
