// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestLoadTargetCost(t *testing.T) {
	const ms = time.Millisecond
	preferred := LoadTarget{LoadTime: 250 * ms, FromStore: true, Preferred: true}
	for name, better := range map[string][2]LoadTarget{
		"default endpoint if costs are equal": {preferred, {LoadTime: 250 * ms, FromStore: true}},
		"endpoint with the weights in memory": {{LoadTime: 35 * ms, SlotUtilisation: 0.8}, preferred},
		"endpoint with a free slot":           {{LoadTime: 250 * ms, FromStore: true}, {SlotWait: time.Second, LoadTime: 35 * ms, SlotUtilisation: 1, Preferred: true}},
		"endpoint with fewer slots in use":    {{LoadTime: 250 * ms, FromStore: true, SlotUtilisation: 0.2}, {LoadTime: 250 * ms, FromStore: true, SlotUtilisation: 0.9, Preferred: true}},
		"no long queued prompts":              {{LoadTime: 250 * ms, FromStore: true}, {LoadTime: 35 * ms, PrefillTime: 900 * ms, Preferred: true}},
		"fewer queued prompts":                {{LoadTime: 250 * ms, FromStore: true}, {LoadTime: 250 * ms, PrefillTime: 200 * ms, FromStore: true, Preferred: true}},
	} {
		quicktest.Check(t, better[0].Cost() < better[1].Cost(), quicktest.IsTrue, quicktest.Commentf(name))
	}
}
