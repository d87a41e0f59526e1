// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"testing"
	"time"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

func TestLoadCostIsDroppedWhenExpiredOrUnknown(t *testing.T) {
	c := quicktest.New(t)
	var l loadCosts
	now := time.Now()
	_, known := l.get("far", now)
	c.Assert(known, quicktest.IsFalse)
	l.update("far", &wire.UseReply{LevelMicros: 1500, LevelKnown: true}, now)
	cost, known := l.get("far", now)
	c.Assert(known, quicktest.IsTrue)
	c.Assert(cost, quicktest.Equals, 1500*time.Microsecond)
	_, known = l.get("far", now.Add(loadCostTTL))
	c.Assert(known, quicktest.IsFalse)
	l.update("far", &wire.UseReply{}, now)
	_, known = l.get("far", now)
	c.Assert(known, quicktest.IsFalse)
}
