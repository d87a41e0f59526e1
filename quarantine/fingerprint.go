// SPDX-License-Identifier: Apache-2.0

// Package quarantine detects requests that terminate one endpoint after another, and blocks them
// from the remaining endpoints. Nothing here does I/O.
//
// A caller that gets no response sends its request again, with a new ID and through any box, so
// requests are identified by a Fingerprint. Requests that differ may terminate endpoints by what they have in
// common, so the parts of their prompts that others may share have fingerprints too. Those to which endpoints
// begin to respond are cleared, by whichever box observed it.
//
// Lock order: Counter.mu is taken before the locks of List and begunParts.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintSize is the number of bytes kept of a SHA-256 hash. 128 bits resist collisions, including
// deliberate ones.
const fingerprintSize = 16

// Fingerprint identifies a request by its method, host, target, organisation and body. Requests that
// differ only in other headers, such as the request ID, have the same fingerprint.
type Fingerprint [fingerprintSize]byte

// NewFingerprint returns the fingerprint of a request. The target is the path and query as the caller
// wrote them; the organisation is empty for public routes. It includes the organisation so that no
// caller can get the requests of others blocked.
func NewFingerprint(method, host, target, organisation string, body []byte) Fingerprint {
	h := sha256.New()
	for _, t := range []string{method, host, target, organisation} {
		h.Write(binary.AppendUvarint(nil, uint64(len(t)))) // prevents ambiguous field boundaries
		h.Write([]byte(t))
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:fingerprintSize])
}

// ParseFingerprint parses the result of String; ok is false if it is invalid.
func ParseFingerprint(text string) (f Fingerprint, ok bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != fingerprintSize {
		return Fingerprint{}, false
	}
	return Fingerprint(raw), true
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// maxPerMessage bounds the fingerprints that a message contains per endpoint. An endpoint runs fewer
// requests at a time.
const maxPerMessage = 512

// Encode converts fingerprints for a message to another process.
func Encode(list []Fingerprint) [][]byte {
	raw := make([][]byte, 0, min(len(list), maxPerMessage))
	for _, f := range list[:min(len(list), maxPerMessage)] {
		raw = append(raw, f[:])
	}
	return raw
}

// Decode converts the fingerprints of a message from another process. Invalid ones are skipped.
func Decode(raw [][]byte) []Fingerprint {
	var list []Fingerprint
	for _, r := range raw[:min(len(raw), maxPerMessage)] {
		if len(r) == fingerprintSize {
			list = append(list, Fingerprint(r))
		}
	}
	return list
}

// maxPerLogLine bounds the fingerprints in a log line.
const maxPerLogLine = 32

// Contents returns the fingerprints of suspects.
func Contents(suspects []Suspect) []Fingerprint {
	list := make([]Fingerprint, 0, len(suspects))
	for _, s := range suspects {
		list = append(list, s.Content)
	}
	return list
}

// Strings formats fingerprints for a log line.
func Strings(list []Fingerprint) []string {
	some := make([]string, 0, min(len(list), maxPerLogLine))
	for _, f := range list[:min(len(list), maxPerLogLine)] {
		some = append(some, f.String())
	}
	return some
}
