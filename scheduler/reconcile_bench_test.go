// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"fmt"
	"testing"
)

// BenchmarkOwner is the rendezvous of 153 endpoints among 32 schedulers, those of
// one data centre at the size of letter 1. It is done when the schedulers change.
func BenchmarkOwner(b *testing.B) {
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
