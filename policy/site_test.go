// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestWhereAnAdapterIsLoaded(t *testing.T) {
	const ms = time.Millisecond
	usual := SiteFacts{Load: 250 * ms, Fetched: true, Usual: true}
	for name, better := range map[string][2]SiteFacts{
		"the usual endpoint, of equals": {usual, {Load: 250 * ms, Fetched: true}},
		"where memory has it":           {{Load: 35 * ms, Taken: 0.8}, usual},
		"where a slot is empty":         {{Load: 250 * ms, Fetched: true}, {Empty: time.Second, Load: 35 * ms, Taken: 1, Usual: true}},
		"where more slots are left":     {{Load: 250 * ms, Fetched: true, Taken: 0.2}, {Load: 250 * ms, Fetched: true, Taken: 0.9, Usual: true}},
		"not behind long prompts":       {{Load: 250 * ms, Fetched: true}, {Load: 35 * ms, Read: 900 * ms, Usual: true}},
		"where fewer prompts wait":      {{Load: 250 * ms, Fetched: true}, {Load: 250 * ms, Read: 200 * ms, Fetched: true, Usual: true}},
	} {
		quicktest.Check(t, better[0].Cost() < better[1].Cost(), quicktest.IsTrue, quicktest.Commentf(name))
	}
}
