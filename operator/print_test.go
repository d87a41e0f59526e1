// SPDX-License-Identifier: Apache-2.0

package operator

import (
	"testing"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// Guards against a reason that schedulers send and cairnctl does not explain, and against texts for reasons that none
// sends.
func TestReasonsInUseHaveTexts(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	for number, name := range wire.Reason_name {
		r := wire.Reason(number)
		unused := r == wire.Reason_REASON_UNSPECIFIED || r == wire.Reason_REASON_NO_SLOT
		c.Check(ReasonText(r) == "", quicktest.Equals, unused, quicktest.Commentf("%s", name))
	}
}
