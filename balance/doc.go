// SPDX-License-Identifier: Apache-2.0

// Package balance decides which endpoint reads a prompt, and which requests are refused because no
// endpoint would read theirs in time. It is for endpoints whose memory limits them before their request
// slots do: there the number of requests in progress says little about how long the next one waits.
//
// The decisions are pure: facts and times are passed in, and nothing here does input or output. Values
// are not safe for concurrent use; the caller's lock guards them.
package balance
