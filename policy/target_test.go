// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestWhereAnAdapterIsLoaded(t *testing.T) {
	const ms = time.Millisecond
	usual := LoadTarget{LoadTime: 250 * ms, FromStore: true, Preferred: true}
	for name, better := range map[string][2]LoadTarget{
		"the usual endpoint, of equals": {usual, {LoadTime: 250 * ms, FromStore: true}},
		"where memory has it":           {{LoadTime: 35 * ms, SlotUtilisation: 0.8}, usual},
		"where a slot is empty":         {{LoadTime: 250 * ms, FromStore: true}, {SlotWait: time.Second, LoadTime: 35 * ms, SlotUtilisation: 1, Preferred: true}},
		"where more slots are left":     {{LoadTime: 250 * ms, FromStore: true, SlotUtilisation: 0.2}, {LoadTime: 250 * ms, FromStore: true, SlotUtilisation: 0.9, Preferred: true}},
		"not behind long prompts":       {{LoadTime: 250 * ms, FromStore: true}, {LoadTime: 35 * ms, PrefillTime: 900 * ms, Preferred: true}},
		"where fewer prompts wait":      {{LoadTime: 250 * ms, FromStore: true}, {LoadTime: 250 * ms, PrefillTime: 200 * ms, FromStore: true, Preferred: true}},
	} {
		quicktest.Check(t, better[0].Cost() < better[1].Cost(), quicktest.IsTrue, quicktest.Commentf(name))
	}
}
