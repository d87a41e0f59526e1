// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"testing"

	"cairnwick.example/fleet"
	"cairnwick.example/member"
	"github.com/frankban/quicktest"
)

// Guards against a fault injection that fails by itself: it killed a daemon and then could not freeze it.
func TestKilledDaemonIsNotFrozen(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	f := fleet.New(fleet.Spec{})
	defer f.Stop()
	r := &faultRun{fleet: f}
	kill, freeze := r.killDaemon(1, 1, member.Gateway), r.freezeDaemon(1, 1, member.Gateway)
	c.Check(freeze.canFollow(kill), quicktest.IsFalse)
	c.Check(freeze.canFollow(freeze), quicktest.IsFalse)
	c.Check(kill.canFollow(freeze), quicktest.IsTrue) // a frozen process can be killed
	c.Check(r.freezeDaemon(1, 2, member.Gateway).canFollow(kill), quicktest.IsTrue)
	c.Check(r.publishVersion().canFollow(kill), quicktest.IsTrue)
}
