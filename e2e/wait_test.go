// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const pollInterval = 20 * time.Millisecond

// waitUntil polls missing until it returns an empty string. If it does not within the limit, the script fails with
// the text and the last result of missing.
func waitUntil(ts *testscript.TestScript, limit time.Duration, text string, missing func() string) {
	end := time.Now().Add(limit)
	for {
		m := missing()
		if m == "" {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%s: %s", text, m)
		}
		time.Sleep(pollInterval)
	}
}

// forEachDaemon calls f for the gateway and the scheduler of every box.
func forEachDaemon(state *scriptState, f func(centre, box int, role string)) {
	for c := 1; c <= state.fleet.Spec.Centres; c++ {
		for b := 1; b <= state.fleet.Spec.Boxes; b++ {
			for _, role := range []string{"gateway", "scheduler"} {
				f(c, b, role)
			}
		}
	}
}
