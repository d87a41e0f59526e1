// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"syscall"

	"cairnwick.example/fleet"
	"cairnwick.example/member"
)

// replaceHalf restarts the daemons of the second box of every data centre, one after the other.
func replaceHalf(f *fleet.Fleet) disturbance {
	return func() error {
		for c := 1; c <= f.Spec.Centres; c++ {
			for _, role := range []string{member.Scheduler, member.Gateway} {
				if err := f.Terminate(fleet.DaemonName(c, 2, role), syscall.SIGTERM); err != nil {
					return err
				}
				if err := f.StartDaemon(c, 2, role); err != nil {
					return err
				}
			}
		}
		return nil
	}
}
