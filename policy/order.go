// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"cmp"
	"slices"
)

// indexesOf returns the index in names of each ranked name.
func indexesOf(names, ranked []string) []int {
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

// sortByScore returns the list in descending order of scores; the sort is stable.
func sortByScore(list []int, scores []float64) []int {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return list
}
