// SPDX-License-Identifier: Apache-2.0

package main

// cases are the cases by name.
var cases = map[string]func(g *rig){
	"seeds-down":   playSeedsDown,
	"shared-token": playSharedToken,
}
