// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"cmp"
	"slices"
)

// indexOf returns where each of the ranked names stands in names.
func indexOf(names, ranked []string) []int {
	at := make(map[string]int, len(names))
	for i, n := range names {
		at[n] = i
	}
	list := make([]int, len(ranked))
	for i, n := range ranked {
		list[i] = at[n]
	}
	return list
}

// sortedBy returns the list by falling score; equal scores keep their order.
func sortedBy(list []int, scores []float64) []int {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return list
}
