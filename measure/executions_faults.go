// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"context"
	"math/rand/v2"
	"time"

	"cairnwick.example/platform/platformtest"
)

// The kinds of faults.
const (
	faultCopies          = "copies"
	faultOverload        = "overload"
	faultUnproven        = "unproven"
	faultResets          = "resets"
	faultHalfCloses      = "half-closes"
	faultSilences        = "silences"
	faultFreezes         = "freezes"
	faultKills           = "kills"
	faultTakeovers       = "takeovers"
	faultMissingAdapters = "missing-adapters"
	faultBoxFailures     = "boxes"
	faultCrashingPart    = "crashing-part"
	faultRelease         = "release"
	faultBrokenResponses = "broken-responses"
)

// ExecutionFaults returns all kinds of faults.
func ExecutionFaults() []string {
	return []string{
		faultCopies, faultOverload, faultUnproven, faultResets, faultHalfCloses, faultSilences, faultFreezes, faultKills, faultTakeovers,
		faultMissingAdapters, faultBoxFailures, faultCrashingPart, faultRelease, faultBrokenResponses,
	}
}

// Shares of requests whose connections fail while that kind of fault is on.
const (
	resetShare     = 0.03
	halfCloseShare = 0.03
	silenceShare   = 0.005
	brokenShare    = 0.03
	uploadShare    = 0.5 // of long requests
)

// faultSeries is a series of faults, which runs until ctx ends.
type faultSeries func(ctx context.Context, random *rand.Rand) error

// faultSeries returns the chosen series. Copies and unproven refusals go on all the time.
func (r *executionsRun) faultSeries() []faultSeries {
	r.faults.Change(func(s *platformtest.FaultShares) {
		if r.induces(faultCopies) {
			s.Copies = r.Copies
		}
		if r.induces(faultUnproven) {
			s.Unproven = r.Unproven
		}
	})
	all := map[string]faultSeries{
		faultOverload:        r.overload,
		faultResets:          r.alternate(func(s *platformtest.FaultShares, on float64) { s.Resets = on * resetShare }),
		faultHalfCloses:      r.alternate(func(s *platformtest.FaultShares, on float64) { s.HalfCloses = on * halfCloseShare }),
		faultSilences:        r.alternate(func(s *platformtest.FaultShares, on float64) { s.Silences = on * silenceShare }),
		faultFreezes:         r.freezeEndpoints,
		faultKills:           r.killInTurn,
		faultTakeovers:       r.swapAddresses,
		faultMissingAdapters: r.forgetAdapters,
		faultBoxFailures: func(ctx context.Context, _ *rand.Rand) error {
			return boxFaults{fleet: r.fleet, seed: r.Seed, centres: r.centres, boxes: r.each, total: r.Boxes, settings: executionSettings}.run(ctx)
		},
		faultRelease: r.release,
		faultBrokenResponses: r.alternate(func(s *platformtest.FaultShares, on float64) {
			s.Broken, s.Uploads = on*brokenShare, on*uploadShare
		}),
	}
	var chosen []faultSeries
	for _, f := range ExecutionFaults() {
		if all[f] != nil && r.induces(f) {
			chosen = append(chosen, all[f])
		}
	}
	return chosen
}

// endFaults ends what is left of the faults.
func (r *executionsRun) endFaults() {
	r.faults.Change(func(s *platformtest.FaultShares) { *s = platformtest.FaultShares{} })
	for _, p := range r.places {
		p.endpoint().Thaw()
		p.endpoint().SetTaken(0)
	}
}

// alternate returns a series that switches a share on and off.
func (r *executionsRun) alternate(set func(s *platformtest.FaultShares, on float64)) faultSeries {
	return func(ctx context.Context, random *rand.Rand) error {
		for pause(ctx, random, time.Second) {
			r.faults.Change(func(s *platformtest.FaultShares) { set(s, 1) })
			pause(ctx, random, 4*time.Second)
			r.faults.Change(func(s *platformtest.FaultShares) { set(s, 0) })
		}
		return nil
	}
}

// overload has other callers use most or all of the slots of most endpoints, so that they reject requests that the boxes expect to fit.
func (r *executionsRun) overload(ctx context.Context, random *rand.Rand) error {
	for pause(ctx, random, 2*time.Second) {
		for _, p := range r.places {
			e := p.endpoint()
			if random.IntN(4) > 0 {
				e.SetTaken(e.Slots - random.IntN(1+e.Slots/4))
			}
		}
		pause(ctx, random, 4*time.Second)
		for _, p := range r.places {
			p.endpoint().SetTaken(0)
		}
	}
	return nil
}

// choose locks a random place and returns it; nil: another series uses it.
func (r *executionsRun) choose(random *rand.Rand) *endpointPlace {
	if p := r.places[random.IntN(len(r.places))]; p.changing.TryLock() {
		return p
	}
	return nil
}

func (r *executionsRun) freezeEndpoints(ctx context.Context, random *rand.Rand) error {
	for pause(ctx, random, time.Second) {
		var frozen []*endpointPlace
		for range 1 + random.IntN(1+len(r.places)/4) {
			if p := r.choose(random); p != nil {
				p.endpoint().Freeze()
				frozen = append(frozen, p)
			}
		}
		pause(ctx, random, 4*time.Second)
		for _, p := range frozen {
			p.endpoint().Thaw()
			p.changing.Unlock()
		}
	}
	return nil
}

// entryLifetime is how long the entry of an endpoint that has crashed stays in the store.
const entryLifetime = 2 * time.Second

// restart kills the endpoints at places, and starts others in their stead before the entries are removed.
func (r *executionsRun) restart(ctx context.Context, random *rand.Rand, places []*endpointPlace, change func()) error {
	var before []*platformtest.FaultyEndpoint
	for _, p := range places {
		before = append(before, p.endpoint())
		p.endpoint().Kill()
	}
	pause(ctx, random, entryLifetime)
	change()
	ctx = context.WithoutCancel(ctx) // the endpoints must run at the end of the run
	for _, p := range places {
		if err := r.startEndpoint(ctx, p, nil); err != nil {
			return err
		}
	}
	time.Sleep(time.Duration(random.Int64N(int64(entryLifetime))))
	for _, e := range before {
		if err := r.remove(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

func (r *executionsRun) killInTurn(ctx context.Context, random *rand.Rand) error {
	for pause(ctx, random, 2*time.Second) {
		p := r.choose(random)
		if p == nil {
			continue
		}
		err := r.restart(ctx, random, []*endpointPlace{p}, func() {})
		p.changing.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// swapAddresses has endpoints of both services end, and others start at each other's addresses.
func (r *executionsRun) swapAddresses(ctx context.Context, random *rand.Rand) error {
	for pause(ctx, random, 3*time.Second) {
		first, second := r.choose(random), r.choose(random)
		var err error
		if first != nil && second != nil && first.streams != second.streams {
			err = r.restart(ctx, random, []*endpointPlace{first, second}, func() { swapServices(first, second) })
		}
		for _, p := range []*endpointPlace{first, second} {
			if p != nil {
				p.changing.Unlock()
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func swapServices(first, second *endpointPlace) {
	for _, p := range []*endpointPlace{first, second} {
		p.mu.Lock()
		p.streams = !p.streams
		p.mu.Unlock()
	}
}

func (r *executionsRun) forgetAdapters(ctx context.Context, random *rand.Rand) error {
	for pause(ctx, random, 500*time.Millisecond) {
		r.places[random.IntN(len(r.places))].endpoint().ForgetAdapter()
	}
	return nil
}

// restartCrashed starts an endpoint anew after a request has crashed it, unless another series has done so.
func (r *executionsRun) restartCrashed(p *endpointPlace, crashed *platformtest.FaultyEndpoint) {
	r.crashes.Go(func() {
		p.changing.Lock()
		defer p.changing.Unlock()
		if p.endpoint() == crashed {
			_ = r.restart(context.Background(), rand.New(rand.NewPCG(r.Seed, 4)), []*endpointPlace{p}, func() {}) // without it, an endpoint is missing
		}
	})
}

// release replaces endpoints one after the other: each announces that it drains, ends and is followed by another one.
func (r *executionsRun) release(ctx context.Context, random *rand.Rand) error {
	for pause(ctx, random, time.Second) {
		p := r.choose(random)
		if p == nil {
			continue
		}
		err := r.replace(ctx, random, p)
		p.changing.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// drainTime is how long an endpoint serves after it has announced its end.
const drainTime = 3500 * time.Millisecond

func (r *executionsRun) replace(ctx context.Context, random *rand.Rand, p *endpointPlace) error {
	before := p.endpoint()
	if err := r.publish(ctx, p, "draining"); err != nil {
		return ignoreEnd(ctx, err)
	}
	before.Leave()
	select {
	case <-ctx.Done():
	case <-time.After(drainTime):
	}
	before.Kill()
	ctx = context.WithoutCancel(ctx)
	if err := r.remove(ctx, before); err != nil {
		return err
	}
	time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	return r.startEndpoint(ctx, p, nil)
}

// ignoreEnd returns no error if ctx has ended, since the run then ends too.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
