// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const lookPause = 20 * time.Millisecond

// await polls missing until it returns an empty string. If it does not within the limit, the script fails with
// the text and the last result of missing.
func await(ts *testscript.TestScript, limit time.Duration, text string, missing func() string) {
	end := time.Now().Add(limit)
	for {
		m := missing()
		if m == "" {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%s: %s", text, m)
		}
		time.Sleep(lookPause)
	}
}

// eachDaemon calls do for the gateway and the scheduler of every box.
func eachDaemon(w *world, do func(centre, box int, role string)) {
	for c := 1; c <= w.fleet.Spec.Centres; c++ {
		for b := 1; b <= w.fleet.Spec.Boxes; b++ {
			for _, role := range []string{"gateway", "scheduler"} {
				do(c, b, role)
			}
		}
	}
}
