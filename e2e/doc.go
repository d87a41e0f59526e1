// SPDX-License-Identifier: Apache-2.0

// Package e2e tests whole systems of real processes by scripts under testdata.
package e2e
