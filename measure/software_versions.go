// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"cairnwick.example/fleet"
	"cairnwick.example/load"
)

// SoftwareVersions reads streams from boxes on the users' platform while boxes are killed, frozen, stopped and started again and
// engines are replaced by other software versions, on a fixed seed. Both series overlap. It checks that no caller gets
// events of two versions. Set the fields before Run.
type SoftwareVersions struct {
	Bin  string
	Dir  string
	Time time.Duration
	Seed uint64
	Rate float64 // streams per second

	// Restart has all engines replaced by the next version from time to time, and then boxes killed at the same moment: RestartAll,
	// RestartHalf or RestartCentre. Empty: engines and boxes fail one by one.
	Restart       string
	LongestReturn time.Duration // until callers come back for the rest of a stream; zero: soon
}

// The boxes that are killed at the same moment.
const (
	RestartAll    = "all"
	RestartHalf   = "half"
	RestartCentre = "centre" // those of a data centre
)

const (
	versionCentres  = 2
	versionBoxes    = 2 // of each data centre
	versionEngines  = 3 // of each data centre
	versionAdapters = 6
	streamEvents    = 60
	ownedDelay      = 3 * time.Second // from the start of the boxes until the engines have owners
)

// Run writes the report to w. It returns ErrBreach if a stream holds events of two versions.
func (s SoftwareVersions) Run(ctx context.Context, w io.Writer) error {
	f := fleet.New(fleet.Spec{Bin: s.Bin, Dir: s.Dir, Centres: versionCentres, Engines: versionEngines, Adapters: 9, Slots: 9, BatchSize: 16})
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return err
	}
	r := versionsRun{SoftwareVersions: s, fleet: f, registrations: make(map[[2]int]string)}
	if err := r.start(ctx); err != nil {
		return err
	}
	list := r.callers()
	inner, cancel := context.WithCancel(ctx)
	faults := boxFaults{fleet: f, seed: s.Seed, centres: versionCentres, boxes: versionBoxes}
	series := []func(context.Context) error{faults.run, r.replaceEngines}
	if s.Restart != "" {
		series = []func(context.Context) error{func(ctx context.Context) error { return r.turnOver(ctx, faults) }}
	}
	ended := make(chan error, len(series))
	for _, run := range series {
		go func() { ended <- run(inner) }()
	}
	load.RunStreams(ctx, s.Rate, list)
	cancel()
	for range series {
		if err := <-ended; err != nil && ctx.Err() == nil && inner.Err() == nil {
			return err
		}
	}
	n := load.CountStreams(list)
	fmt.Fprintf(w, "seed=%d streams=%d begun=%d complete=%d mixed=%d taken_up=%d gone_on=%d refusals=%d codes=%v\n",
		s.Seed, n.Streams, n.Begun, n.Complete, n.Mixed, n.TakenUp, n.GoneOn, n.Refusals, n.Codes)
	if n.Mixed > 0 {
		return ErrBreach
	}
	fmt.Fprintln(w, "no breach: no stream holds events of two software versions")
	return nil
}

// versionsRun is one run of SoftwareVersions.
type versionsRun struct {
	SoftwareVersions

	fleet         *fleet.Fleet
	registrations map[[2]int]string // keys, by engine; used by start and replaceEngines
}

func (r versionsRun) start(ctx context.Context) error {
	if err := r.fleet.PublishStreamConfig(ctx); err != nil {
		return err
	}
	for c := 1; c <= versionCentres; c++ {
		for e := 1; e <= versionEngines; e++ {
			if err := r.replaceEngine(ctx, [2]int{c, e}, fmt.Sprintf("v%d", e%2)); err != nil {
				return err
			}
		}
	}
	for c := 1; c <= versionCentres; c++ {
		for b := 1; b <= versionBoxes; b++ {
			if err := r.fleet.StartEdge(ctx, c, b, fleet.EdgeSettings, nil); err != nil {
				return err
			}
		}
	}
	time.Sleep(ownedDelay)
	return nil
}

// callers returns the callers of all streams, with boxes and adapters in rotation.
func (r versionsRun) callers() []*load.StreamCaller {
	var urls []string
	for c := 1; c <= versionCentres; c++ {
		for b := 1; b <= versionBoxes; b++ {
			urls = append(urls, "http://"+r.fleet.CallersAddress(c, b)+"/a/x")
		}
	}
	list := make([]*load.StreamCaller, int(r.Time.Seconds()*r.Rate))
	for i := range list {
		first := i % len(urls)
		list[i] = &load.StreamCaller{
			URLs: append(append([]string{}, urls[first:]...), urls[:first]...), Host: "h.example", Model: fmt.Sprintf("advice/a%d", i%versionAdapters+1), Events: streamEvents,
			LongestReturn: r.LongestReturn,
		}
	}
	return list
}

// pause waits for a random time of less than limit; false if ctx ended.
func pause(ctx context.Context, random *rand.Rand, limit time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(random.Int64N(int64(limit)))):
		return true
	}
}

// replaceEngines restarts engines with other versions until ctx ends.
func (r versionsRun) replaceEngines(ctx context.Context) error {
	random := rand.New(rand.NewPCG(r.Seed, 2))
	for pause(ctx, random, 3*time.Second) {
		software := fmt.Sprintf("v%d", random.IntN(4))
		if err := r.replaceEngine(ctx, [2]int{1 + random.IntN(versionCentres), 1 + random.IntN(versionEngines)}, software); err != nil {
			return err
		}
	}
	return nil
}

// turnOverTime is the longest time between two releases. By then boxes have run for long enough to know which versions there were.
const turnOverTime = 50 * time.Second

// turnOver replaces all engines by the next version, one soon after the other, and then kills boxes at the same moment, until ctx ends.
func (r versionsRun) turnOver(ctx context.Context, boxes boxFaults) error {
	random := rand.New(rand.NewPCG(r.Seed, 3))
	for version := 2; pause(ctx, random, turnOverTime); version++ {
		for c := 1; c <= versionCentres; c++ {
			for e := 1; e <= versionEngines; e++ {
				if err := r.replaceEngine(ctx, [2]int{c, e}, fmt.Sprintf("v%d", version)); err != nil {
					return err
				}
				pause(ctx, random, 300*time.Millisecond)
			}
		}
		pause(ctx, random, 3*time.Second)
		killed := r.chooseBoxes(random)
		for _, at := range killed {
			boxes.fail(at, killBox)
		}
		pause(ctx, random, faultTime(killBox))
		for _, at := range killed {
			if err := boxes.restore(at, killBox); err != nil {
				return err
			}
		}
	}
	return nil
}

// chooseBoxes returns the boxes that are killed at the same moment.
func (r versionsRun) chooseBoxes(random *rand.Rand) [][2]int {
	centre := 1 + random.IntN(versionCentres)
	var chosen [][2]int
	for c := 1; c <= versionCentres; c++ {
		for b := 1; b <= versionBoxes; b++ {
			if r.Restart == RestartAll || (r.Restart == RestartCentre && c == centre) || (r.Restart == RestartHalf && (b+c)%2 == 0) {
				chosen = append(chosen, [2]int{c, b})
			}
		}
	}
	return chosen
}

// replaceEngine restarts an engine with a version, in place of its previous run.
func (r versionsRun) replaceEngine(ctx context.Context, at [2]int, software string) error {
	if before := r.registrations[at]; before != "" {
		if err := r.fleet.Delete(ctx, before); err != nil {
			return err
		}
	}
	key, err := r.fleet.RestartEngine(ctx, at[0], at[1], software)
	r.registrations[at] = key
	return err
}
