// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"bytes"

	"github.com/pkg/errors"
)

// maxNesting is how deeply objects and arrays of a document may be nested. The parser calls itself for each level, and the program
// ends if its stack overflows.
const maxNesting = 100

// checkNesting returns an error if a text of JSON with comments may be nested more deeply than maxNesting.
func checkNesting(raw []byte) error {
	depth := 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = endOfString(raw, i)
		case '/':
			i = endOfComment(raw, i)
		case '[', '{':
			if depth++; depth > maxNesting {
				return errors.Errorf("byte %d: objects and arrays are nested more deeply than %d levels: flatten the document", i, maxNesting)
			}
		case ']', '}':
			depth--
		}
	}
	return nil
}

// endOfString returns the index of the last byte of the string that begins at start.
func endOfString(raw []byte, start int) int {
	for i := start + 1; i < len(raw); i++ {
		switch raw[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(raw)
}

// endOfComment returns the index of the last byte of the comment that begins at start; start if there is none.
func endOfComment(raw []byte, start int) int {
	for opening, closing := range map[string]string{"//": "\n", "/*": "*/"} {
		rest, ok := bytes.CutPrefix(raw[start:], []byte(opening))
		if !ok {
			continue
		}
		if n := bytes.Index(rest, []byte(closing)); n >= 0 {
			return start + len(opening) + n + len(closing) - 1
		}
		return len(raw)
	}
	return start
}
