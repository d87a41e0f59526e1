// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cairnwick.example/clock"
	"github.com/frankban/quicktest"
)

// The model has steps of a second. Views of boxes lag behind the source by up to maxLag, and a stream may be resumed for
// streamAge.
const (
	modelStep  = time.Second
	maxLag     = 2 // steps
	streamAge  = 3 // steps
	modelSteps = 20
)

// sourceChange is a change of the source at a step: an endpoint of a version comes or goes.
type sourceChange struct {
	step    int
	id      string
	version string
	removed bool
}

// laggingView is a box's view, which learns each change some steps late.
type laggingView struct {
	view *View
	lags []int // by change
}

// learn applies the changes that the box learns of at a step.
func (b *laggingView) learn(step int, changes []sourceChange) {
	for i, ch := range changes {
		if ch.step+b.lags[i] != step {
			continue
		}
		if ch.removed {
			b.view.RemoveEndpoint(ch.id)
			continue
		}
		b.view.SetEndpoint(NewEndpoint(EndpointSpec{ID: ch.id, Service: "s", Software: ch.version}))
	}
}

// begins returns the versions at which the box may begin a stream.
func (b *laggingView) begins() map[string]bool {
	may := make(map[string]bool)
	for _, e := range b.view.Endpoints("s") {
		if b.view.SoftwareNewFor("s", e.Software(), maxLag*modelStep) == 0 {
			may[e.Software()] = true
		}
	}
	return may
}

// sole returns the version that the box takes for the only one that can have begun a stream.
func (b *laggingView) sole() (string, bool) {
	since := clock.Now().Add(-(streamAge + 2*maxLag) * modelStep)
	return b.view.SoleSoftware("s", since, since.Add(-time.Minute))
}

// forEachLag calls f with every combination of lags of the given number of changes.
func forEachLag(changes int, f func(lags []int)) {
	lags := make([]int, changes)
	for {
		f(lags)
		i := 0
		for ; i < changes && lags[i] == maxLag; i++ {
			lags[i] = 0
		}
		if i == changes {
			return
		}
		lags[i]++
	}
}

// Guards against a box that takes a version for the only one while another box, whose view lags as much, has begun a stream at
// another. All lags of two boxes are tried over a release that comes, stays and goes.
func TestSoleSoftwareIsWhatBeganEachStream(t *testing.T) {
	c := quicktest.New(t)
	for removedAt := 9; removedAt <= 14; removedAt++ {
		changes := []sourceChange{
			{step: 8, id: "e3", version: "v2"},
			{step: removedAt, id: "e3", version: "v2", removed: true},
		}
		forEachLag(len(changes), func(beginnerLags []int) {
			beginnerLags = append([]int(nil), beginnerLags...)
			forEachLag(len(changes), func(lags []int) { c.Assert(conflict(changes, beginnerLags, lags), quicktest.Equals, "") })
		})
	}
}

// Guards against a stream that begins at a version which most endpoints run before a box whose view lags behind knows of it.
func TestSoleSoftwareIsWhatBeganEachStreamInAFastRelease(t *testing.T) {
	c := quicktest.New(t)
	changes := []sourceChange{
		{step: 8, id: "e3", version: "v2"}, {step: 8, id: "e4", version: "v2"}, {step: 8, id: "e5", version: "v2"},
		{step: 8, id: "e0", version: "v1", removed: true}, {step: 9, id: "e1", version: "v1", removed: true},
	}
	forEachLag(len(changes), func(beginnerLags []int) {
		beginnerLags = append([]int(nil), beginnerLags...)
		forEachLag(len(changes), func(lags []int) { c.Assert(conflict(changes, beginnerLags, lags), quicktest.Equals, "") })
	})
}

// conflict returns a description of a stream that goes on at another version, empty if there is none.
func conflict(changes []sourceChange, beginnerLags, resumerLags []int) string {
	beginner, resumer := &laggingView{NewView(), beginnerLags}, &laggingView{NewView(), resumerLags}
	for _, b := range []*laggingView{beginner, resumer} {
		for _, id := range []string{"e0", "e1", "e2"} {
			b.view.SetEndpoint(NewEndpoint(EndpointSpec{ID: id, Service: "s", Software: "v1"}))
		}
	}
	begun := make(map[int]map[string]bool) // by step: versions of streams that began
	for step := range modelSteps {
		clock.SimulateSuspend(modelStep)
		beginner.learn(step, changes)
		resumer.learn(step, changes)
		begun[step] = beginner.begins()
		sole, ok := resumer.sole()
		for age := 0; ok && age <= streamAge; age++ {
			for version := range begun[step-age] {
				if version != sole {
					return fmt.Sprintf("changes %v, lags %v and %v: at step %d a stream of %s goes on at %s", changes, beginnerLags, resumerLags, step, version, sole)
				}
			}
		}
	}
	return ""
}

// forEachOrderedLag calls f with every combination of lags by which a box learns of the changes in their order.
func forEachOrderedLag(changes []sourceChange, f func(lags []int)) {
	forEachLag(len(changes), func(lags []int) {
		for i := 1; i < len(changes); i++ {
			if changes[i].step+lags[i] < changes[i-1].step+lags[i-1] {
				return
			}
		}
		f(append([]int(nil), lags...))
	})
}

// modelConfig is the configuration that all boxes of the model have in force.
func modelConfig() *Config {
	r := NewRoute(RouteSpec{Name: "r", Host: "h", Prefix: "/", Kind: Streaming, Resumable: true, Services: []WeightedService{{Name: "s", Weight: 1}}})
	return NewConfig(1, []*Route{r}, []*Service{NewService(ServiceSpec{Name: "s"})}, RequestLimits{})
}

// start fills the view of a box that starts at a step.
func (b *laggingView) start(step int, changes []sourceChange) {
	b.view.SetConfig(modelConfig())
	for _, id := range []string{"e0", "e1", "e2"} {
		if !removedBy(changes, b.lags, id, step) {
			b.view.SetEndpoint(NewEndpoint(EndpointSpec{ID: id, Service: "s", Software: "v1"}))
		}
	}
	for i, ch := range changes { // the state of the source at some time, nothing of what was before
		if known := ch.step+b.lags[i] <= step; known && !ch.removed && !removedBy(changes, b.lags, ch.id, step) {
			b.view.SetEndpoint(NewEndpoint(EndpointSpec{ID: ch.id, Service: "s", Software: ch.version}))
		}
	}
}

// removedBy reports whether a box with the given lags knows at a step that an endpoint was removed.
func removedBy(changes []sourceChange, lags []int, id string, step int) bool {
	for i, ch := range changes {
		if ch.id == id && ch.removed && ch.step+lags[i] <= step {
			return true
		}
	}
	return false
}

// proven returns the version that the box takes for the only one since the time that a stream of the longest age may have begun,
// and that time.
func (b *laggingView) proven() (string, time.Time, bool) {
	since := clock.Now().Add(-(streamAge + 2*maxLag) * modelStep)
	software, ok := b.view.SoleSoftware("s", since, since.Add(-time.Minute))
	return software, since, ok && b.view.StreamsStayedSince(since)
}

// adoptionConflict returns a description of a stream that goes on at another version at a box that starts at a step and adopts what
// another one has proven; empty if there is none. It also counts the streams that go on at that box.
func adoptionConflict(changes []sourceChange, begins, proves, resumes []int, start int) (description string, goneOn int) {
	beginner, witness, resumer := &laggingView{NewView(), begins}, &laggingView{NewView(), proves}, &laggingView{NewView(), resumes}
	beginner.start(-1, changes)
	witness.start(-1, changes)
	clock.SimulateSuspend(time.Minute) // both are old
	begun := make(map[int]map[string]bool)
	for step := range modelSteps {
		clock.SimulateSuspend(modelStep)
		beginner.learn(step, changes)
		witness.learn(step, changes)
		if step == start {
			resumer.start(step, changes)
		} else if step > start {
			resumer.learn(step, changes)
		}
		begun[step] = beginner.begins()
		if step < start {
			continue
		}
		if software, since, ok := witness.proven(); ok {
			resumer.view.AdoptSoleSoftware(SoleSoftwareClaim{Service: "s", Software: software, Config: 1, Since: since}, clock.Now().Add(-2*maxLag*modelStep))
		}
		sole, _, ok := resumer.proven()
		for age := 0; ok && age <= streamAge; age++ {
			for version := range begun[step-age] {
				goneOn++
				if version != sole {
					return fmt.Sprintf("changes %v, lags %v, %v and %v, start at %d: at step %d a stream of %s goes on at %s", changes, begins, proves, resumes, start, step, version, sole), goneOn
				}
			}
		}
	}
	return "", goneOn
}

// Guards against a box that adopts what another one has proven, and takes a version for the only one while a third box has begun a
// stream at another. All lags of three boxes and all starts are tried over a release that comes, stays and goes.
func TestAdoptedSoleSoftwareIsWhatBeganEachStream(t *testing.T) {
	c := quicktest.New(t)
	begun, simulated := time.Now(), clock.Now()
	c.Cleanup(func() { clock.SimulateSuspend(time.Since(begun) - clock.Now().Sub(simulated)) })
	total := 0
	for removedAt := 9; removedAt <= 13; removedAt++ {
		changes := []sourceChange{
			{step: 8, id: "e3", version: "v2"},
			{step: removedAt, id: "e3", version: "v2", removed: true},
		}
		forEachOrderedLag(changes, func(begins []int) {
			forEachOrderedLag(changes, func(proves []int) {
				forEachOrderedLag(changes, func(resumes []int) {
					for start := range 16 {
						conflict, goneOn := adoptionConflict(changes, begins, proves, resumes, start)
						c.Assert(conflict, quicktest.Equals, "")
						total += goneOn
					}
				})
			})
		})
	}
	c.Check(total > 0, quicktest.IsTrue) // the box goes on with streams before it has known the service for long enough itself
}

// Guards against a box that starts during a release and begins streams at a version that others, which take another one for the only
// one, do not know. Their views lag behind by half of the longest lag at most when they do.
func TestStartedBoxBeginsStreamsWhereOthersExpectThem(t *testing.T) {
	c := quicktest.New(t)
	changes := []sourceChange{
		{step: 8, id: "e3", version: "v2"},
		{step: 9, id: "e0", version: "v1", removed: true}, {step: 10, id: "e1", version: "v1", removed: true}, {step: 11, id: "e2", version: "v1", removed: true},
	}
	begun := 0
	forEachOrderedLag(changes, func(proofLags []int) {
		if slices.Max(proofLags) > maxLag/2 {
			return
		}
		forEachOrderedLag(changes, func(lags []int) {
			for start := 7; start < 15; start++ {
				resumer, starter := &laggingView{NewView(), proofLags}, &laggingView{NewView(), lags}
				resumer.start(-1, changes)
				clock.SimulateSuspend(2 * time.Minute) // it is old
				for step := range modelSteps {
					clock.SimulateSuspend(modelStep)
					resumer.learn(step, changes)
					if step == start {
						starter.start(step, changes)
					} else if step > start {
						starter.learn(step, changes)
					}
					sole, ok := resumer.sole()
					for version := range starter.begins() {
						begun++
						c.Assert(!ok || sole == version, quicktest.IsTrue, quicktest.Commentf("lags %v and %v, start at %d: at step %d a stream of %s goes on at %s", proofLags, lags, start, step, version, sole))
					}
				}
			}
		})
	})
	c.Check(begun > 0, quicktest.IsTrue)
}
