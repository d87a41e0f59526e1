// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"testing"
	"time"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

func TestALevelIsForgottenWhenItIsOldOrNobodyDecides(t *testing.T) {
	c := quicktest.New(t)
	var l levels
	now := time.Now()
	_, known := l.of("far", now)
	c.Assert(known, quicktest.IsFalse)
	l.hear("far", &wire.UseReply{LevelMicros: 1500, LevelKnown: true}, now)
	cost, known := l.of("far", now)
	c.Assert(known, quicktest.IsTrue)
	c.Assert(cost, quicktest.Equals, 1500*time.Microsecond)
	_, known = l.of("far", now.Add(levelFor))
	c.Assert(known, quicktest.IsFalse)
	l.hear("far", &wire.UseReply{}, now)
	_, known = l.of("far", now)
	c.Assert(known, quicktest.IsFalse)
}
