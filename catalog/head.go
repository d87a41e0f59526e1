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

// MaxAncestors is the maximum number of ancestors that a head document lists.
const MaxAncestors = 64

// MaxDocumentSize is the maximum size of a document in bytes. It is the platform's
// limit for one value.
const MaxDocumentSize = 1 << 20

// Head is the head document: a revision number, the digests of the heads that it
// descends from and the digests of its shards.
type Head struct {
	revision  int64
	digest    string            // of the document's text
	ancestors []string          // digests of earlier heads, newest first
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
		return Head{}, errors.New("catalog: head: revision: must be a positive integer")
	}
	if len(f.Ancestors) > MaxAncestors {
		return Head{}, errors.Errorf("catalog: head: ancestors: %d digests: keep only the newest %d", len(f.Ancestors), MaxAncestors)
	}
	if len(f.Shards) == 0 {
		return Head{}, errors.New("catalog: head: shards: must list at least one shard")
	}
	return Head{revision: f.Revision, digest: Digest(raw), ancestors: f.Ancestors, shards: f.Shards, raw: raw}, nil
}

// NewHead returns the head document of the revision after base, with the given
// shards. A zero base gives the first revision.
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
		return Head{}, errors.Wrap(err, "catalog: encode head")
	}
	return ParseHead(raw)
}

// Revision returns the revision number, which increases with each published head.
func (h Head) Revision() int64 { return h.revision }

// Digest returns the digest of the document's text.
func (h Head) Digest() string { return h.digest }

// Raw returns the document's text. The caller must not modify the slice.
func (h Head) Raw() []byte { return h.raw }

// Shards returns the sorted names of the shards.
func (h Head) Shards() []string { return slices.Sorted(maps.Keys(h.shards)) }

// ShardDigest returns the digest of a shard's text.
func (h Head) ShardDigest(name string) string { return h.shards[name] }

// DescendsFrom reports whether this head was derived from old, directly or through
// other heads. The list of ancestors is truncated to MaxAncestors, so an older
// ancestor cannot be told from an unrelated head: if old's revision is that far back,
// it counts as an ancestor.
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

// decode decodes JSON with comments and rejects unknown fields.
func decode(raw []byte, into any) error {
	if len(raw) > MaxDocumentSize {
		return errors.Errorf("%d bytes: split the document, the maximum size is %d", len(raw), MaxDocumentSize)
	}
	if err := checkNesting(raw); err != nil {
		return err
	}
	plain, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return errors.Wrap(err, "not JSON with comments")
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	return errors.Wrap(d.Decode(into), "unexpected structure")
}
