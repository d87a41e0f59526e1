// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"cairnwick.example/fleet"
)

// boxFaults induces faults in boxes on the users' platform, on a fixed seed.
type boxFaults struct {
	fleet    *fleet.Fleet
	seed     uint64
	centres  int
	boxes    int    // of each data centre
	total    int    // of all data centres together, filled in turn; zero: boxes in each
	settings string // of the boxes; empty: fleet.EdgeSettings
}

// isMissing reports whether a box does not exist because total is less than the boxes of all data centres.
func (r boxFaults) isMissing(at [2]int) bool {
	return r.total > 0 && (at[0]-1)*r.boxes+at[1] > r.total
}

// run kills, freezes and stops boxes, up to half of them at the same time, until ctx ends.
func (r boxFaults) run(ctx context.Context) error {
	random := rand.New(rand.NewPCG(r.seed, 1))
	for pause(ctx, random, 2*time.Second) {
		var failed [][2]int
		for range 1 + random.IntN(max(r.centres*r.boxes/2, 1)) {
			failed = append(failed, [2]int{1 + random.IntN(r.centres), 1 + random.IntN(r.boxes)})
		}
		fault := random.IntN(3)
		failed = slices.DeleteFunc(failed, r.isMissing)
		for _, at := range failed {
			r.fail(at, fault)
		}
		pause(ctx, random, faultTime(fault))
		for _, at := range failed {
			if err := r.restore(at, fault); err != nil {
				return err
			}
		}
	}
	return nil
}

// The faults of a box.
const (
	freezeBox = iota
	killBox
	stopBox
)

// faultTime bounds how long a fault lasts. A box that is frozen for longer than its view may lag wakes up with endpoints that
// others have seen leave.
func faultTime(fault int) time.Duration {
	if fault == freezeBox {
		return 6 * time.Second
	}
	return time.Second
}

// fail induces a fault. A box that was chosen twice has failed already.
func (r boxFaults) fail(at [2]int, fault int) {
	name := fleet.DaemonName(at[0], at[1], "edge")
	switch fault {
	case freezeBox:
		_ = r.fleet.Signal(name, syscall.SIGSTOP)
	case killBox:
		_ = r.fleet.Terminate(name, syscall.SIGKILL)
	case stopBox:
		_ = r.fleet.Terminate(name, syscall.SIGTERM)
	}
}

// restore ends a fault.
func (r boxFaults) restore(at [2]int, fault int) error {
	name := fleet.DaemonName(at[0], at[1], "edge")
	if fault == freezeBox {
		return r.fleet.Signal(name, syscall.SIGCONT)
	}
	if r.fleet.PID(name) != 0 {
		return nil // chosen twice, and started
	}
	settings := r.settings
	if settings == "" {
		settings = fleet.EdgeSettings
	}
	return r.fleet.StartEdge(context.Background(), at[0], at[1], settings, nil)
}
