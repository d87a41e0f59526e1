// SPDX-License-Identifier: Apache-2.0

package edge

import "time"

// Bounds of values in messages of other boxes, far above what occurs. A value beyond them is an error of the sender;
// sums over thousands of bounded values don't overflow, and neither does the conversion of microseconds.
const (
	maxMessageCount = 1 << 40 // as of token counts in the headers of callers
	maxMessageTime  = 24 * time.Hour
)

// messageCount returns a count that another box sent; a negative one counts as zero.
func messageCount(n int64) int { return int(min(max(n, 0), maxMessageCount)) }

// messageTime returns a time that another box sent in microseconds. It may be negative: a target may have passed.
func messageTime(micros int64) time.Duration {
	const most = int64(maxMessageTime / time.Microsecond)
	return time.Duration(min(max(micros, -most), most)) * time.Microsecond
}

// positiveMessageTime returns a time that can't be negative; a negative one counts as zero.
func positiveMessageTime(micros int64) time.Duration { return max(messageTime(micros), 0) }
