// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestBoxIsCutOffWhenSeveralEndpointsAcceptNoConnection(t *testing.T) {
	c := quicktest.New(t)
	var l links
	c.Check(l.recordConnect("s", "e1", 12, false), quicktest.Equals, linkUnchanged)
	c.Check(l.recordConnect("s", "e1", 12, false), quicktest.Equals, linkUnchanged) // the same endpoint again
	c.Check(l.recordConnect("s", "e2", 12, false), quicktest.Equals, linkUnchanged)
	c.Check(l.recordConnect("s", "e3", 12, true), quicktest.Equals, linkUnchanged) // only two have failed
	c.Check(l.recordConnect("s", "e4", 12, false), quicktest.Equals, linkUnchanged)
	c.Check(l.recordConnect("s", "e5", 12, false), quicktest.Equals, linkUnchanged)
	c.Check(l.recordConnect("s", "e6", 12, false), quicktest.Equals, linkLost)
	c.Check(l.recordConnect("other", "o1", 1, false), quicktest.Equals, linkLost)
	c.Check(l.recordConnect("s", "e1", 12, true), quicktest.Equals, linkRestored)
	c.Check(l.counts()["other"], quicktest.Equals, LinkCounts{CutOff: true, Failed: 1, Unreachable: 1, CutOffTimes: 1})
	c.Check(l.counts()["s"], quicktest.Equals, LinkCounts{Connected: 2, Failed: 6, CutOffTimes: 1})
}
