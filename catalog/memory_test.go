// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"testing"

	"github.com/frankban/quicktest"
)

// Guards against placement by expected times where the published configuration doesn't ask for it. The cases are those
// of topology.EngineSpec.IsMemoryBound.
func TestIsMemoryBound(t *testing.T) {
	c := quicktest.New(t)
	for _, k := range []struct {
		running, tokens int
		want            bool
	}{
		{running: 96, tokens: 121_000, want: true},
		{running: 59, tokens: 121_000, want: false}, // 2,050 tokens for each request
		{running: 60, tokens: 121_000, want: true},
		{running: 96, tokens: 0, want: false},
		{running: 96, tokens: 2047, want: false},
		{running: 96, tokens: 2048, want: true},
		{running: 0, tokens: 121_000, want: false},
	} {
		c.Check(Endpoint{maxRunning: k.running, memoryTokens: k.tokens}.IsMemoryBound(), quicktest.Equals, k.want, quicktest.Commentf("%+v", k))
	}
}
