// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"fmt"
	"testing"
)

// BenchmarkPreferredOwner computes the owners of 153 endpoints among 32 schedulers, the size of one
// data centre of the target system. This is done whenever the set of schedulers changes.
func BenchmarkPreferredOwner(b *testing.B) {
	names := make([]string, 32)
	for i := range names {
		names[i] = fmt.Sprintf("dc1-box%d/scheduler", i)
	}
	for b.Loop() {
		for i := range 153 {
			PreferredOwner(fmt.Sprintf("dc1-engine%d", i), names)
		}
	}
}
