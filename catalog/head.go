// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// MaxAncestors is how many digests of earlier heads a head document names.
const MaxAncestors = 64

// MaxDocumentSize is the largest document that the platform holds, in bytes.
const MaxDocumentSize = 1 << 20

// Head is the head document: a revision, the heads that it is based on and the
// digests of its shards.
type Head struct {
	revision  int64
	digest    string            // of the document's text
	ancestors []string          // digests of earlier heads, the base first
	shards    map[string]string // digest by shard name
	raw       []byte
}

type headDocument struct {
	Revision  int64             `json:"revision"`
	Ancestors []string          `json:"ancestors"`
	Shards    map[string]string `json:"shards"`
}

// Digest returns the digest of a document: SHA-256 in hexadecimal.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// ParseHead reads a head document.
func ParseHead(raw []byte) (Head, error) {
	var f headDocument
	if err := decode(raw, &f); err != nil {
		return Head{}, errors.Wrap(err, "catalog: head")
	}
	if f.Revision <= 0 {
		return Head{}, errors.New("catalog: head: revision: write a whole number above zero")
	}
	if len(f.Ancestors) > MaxAncestors {
		return Head{}, errors.Errorf("catalog: head: ancestors: %d digests: keep the newest %d", len(f.Ancestors), MaxAncestors)
	}
	if len(f.Shards) == 0 {
		return Head{}, errors.New("catalog: head: shards: name at least one")
	}
	return Head{revision: f.Revision, digest: Digest(raw), ancestors: f.Ancestors, shards: f.Shards, raw: raw}, nil
}

// NewHead writes the head document that follows base with the given shards. A
// zero base makes the first revision.
func NewHead(base Head, shards map[string][]byte) (Head, error) {
	f := headDocument{Revision: base.revision + 1, Shards: make(map[string]string, len(shards))}
	if base.digest != "" {
		f.Ancestors = append([]string{base.digest}, base.ancestors...)
		f.Ancestors = f.Ancestors[:min(len(f.Ancestors), MaxAncestors)]
	}
	for n, raw := range shards {
		f.Shards[n] = Digest(raw)
	}
	raw, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return Head{}, errors.Wrap(err, "catalog: write head")
	}
	return ParseHead(raw)
}

// Revision returns the rising number of the document.
func (h Head) Revision() int64 { return h.revision }

// Digest returns the digest of the document's text.
func (h Head) Digest() string { return h.digest }

// Raw returns the document's text; do not change it.
func (h Head) Raw() []byte { return h.raw }

// Shards returns the sorted names of the shards.
func (h Head) Shards() []string { return slices.Sorted(maps.Keys(h.shards)) }

// ShardDigest returns the digest of a shard's text.
func (h Head) ShardDigest(name string) string { return h.shards[name] }

// DescendsFrom tells whether this head was made from old, directly or through heads
// in between. A head further back than MaxAncestors cannot be told apart from a
// stranger; it counts as followed when its revision lies that far back.
func (h Head) DescendsFrom(old Head) bool {
	if old.digest == "" {
		return true
	}
	if h.revision <= old.revision {
		return false
	}
	if slices.Contains(h.ancestors, old.digest) {
		return true
	}
	return len(h.ancestors) == MaxAncestors && h.revision-old.revision > MaxAncestors
}

// decode reads JSON with comments and refuses unknown fields.
func decode(raw []byte, into any) error {
	if len(raw) > MaxDocumentSize {
		return errors.Errorf("%d bytes: split it, a document holds %d at most", len(raw), MaxDocumentSize)
	}
	plain, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return errors.Wrap(err, "not JSON with comments")
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	return errors.Wrap(d.Decode(into), "wrong shape")
}
