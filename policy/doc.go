// SPDX-License-Identifier: Apache-2.0

// Package policy holds the decisions: where a request goes, what is loaded and
// thrown out, who runs next, who is refused, and how fast to retry.
//
// Everything here is a function or a small table over typed facts, with the
// clock passed in; nothing does input or output.
package policy
