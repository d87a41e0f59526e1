// SPDX-License-Identifier: Apache-2.0

// Package policy implements scheduling decisions: request placement, adapter
// loading and eviction, queue order, admission, and retry budgets.
//
// Everything here is a function or a small state machine over typed inputs. The
// current time is passed in, and nothing does I/O.
package policy
