// SPDX-License-Identifier: Apache-2.0

// Package e2e tests complete systems of real processes, mostly with the scripts in testdata.
package e2e
