// SPDX-License-Identifier: Apache-2.0

// Package quarantine finds requests under which one endpoint ends after the other, and keeps
// them from the rest. Nothing here does input or output.
//
// A caller that gets no answer sends its request again, under a new ID and at any box; so a
// request is known by its Content.
//
// Lock order: each lock is taken alone.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintSize is how many bytes of a SHA-256 make a Content: two requests that differ do not
// meet in 128 bits, also where somebody looks for such a pair.
const fingerprintSize = 16

// Fingerprint names what a request asks for: its method, host and target, whose it is, and its body.
// Requests that differ in nothing else, such as their IDs, have the same one.
type Fingerprint [fingerprintSize]byte

// NewFingerprint returns the content of a request; target is the path and the query as the caller
// wrote them, organisation is empty for nobody's. Whose it is counts, so that no caller can have
// the requests of others kept away.
func NewFingerprint(method, host, target, organisation string, body []byte) Fingerprint {
	h := sha256.New()
	for _, t := range []string{method, host, target, organisation} {
		h.Write(binary.AppendUvarint(nil, uint64(len(t)))) // no field runs into the next
		h.Write([]byte(t))
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:fingerprintSize])
}

// ParseFingerprint reads what String returned; false where it is none.
func ParseFingerprint(text string) (c Fingerprint, ok bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != fingerprintSize {
		return Fingerprint{}, false
	}
	return Fingerprint(raw), true
}

// String returns the content in hexadecimal digits.
func (c Fingerprint) String() string { return hex.EncodeToString(c[:]) }

// maxPerMessage bounds the contents that one message names of one endpoint: more than an endpoint runs at a time.
const maxPerMessage = 512

// Encode returns contents for a message to another process.
func Encode(list []Fingerprint) [][]byte {
	raw := make([][]byte, 0, min(len(list), maxPerMessage))
	for _, c := range list[:min(len(list), maxPerMessage)] {
		raw = append(raw, c[:])
	}
	return raw
}

// Decode reads the contents of a message of another process; what is none is passed over.
func Decode(raw [][]byte) []Fingerprint {
	var list []Fingerprint
	for _, r := range raw[:min(len(raw), maxPerMessage)] {
		if len(r) == fingerprintSize {
			list = append(list, Fingerprint(r))
		}
	}
	return list
}

// maxPerLogLine bounds the contents that one line of a log names.
const maxPerLogLine = 32

// Strings returns contents for a line of a log.
func Strings(list []Fingerprint) []string {
	some := make([]string, 0, min(len(list), maxPerLogLine))
	for _, c := range list[:min(len(list), maxPerLogLine)] {
		some = append(some, c.String())
	}
	return some
}
