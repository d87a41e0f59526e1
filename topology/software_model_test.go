// SPDX-License-Identifier: Apache-2.0

package topology

import (
	"fmt"
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
		if !b.view.IsNewSoftware("s", e.Software(), maxLag*modelStep) {
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
