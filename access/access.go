// SPDX-License-Identifier: Apache-2.0

// Package access decides who may call, and how much: which organisation a caller's key belongs
// to, and what is left of the organisation's quota, which holds over all boxes together.
//
// A quota is counted twice. A Pool, at the box that leads a data centre, hands out what the data
// centre may spend. An Account, at each box, holds what the box has spent and not yet drawn
// from a pool, so that most requests wait for no other box.
//
// Everything here is a table or a function with the time passed in; nothing does input or output.
package access

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Digest stands for a key. Boxes keep, tell each other and log digests, never keys.
type Digest [sha256.Size]byte

// KeyDigest returns the digest of a key.
func KeyDigest(key string) Digest { return sha256.Sum256([]byte(key)) }

// Credential is what a caller shows. The zero value shows none.
type Credential struct {
	set    bool
	digest Digest
}

// NewCredential returns the credential of a caller that shows these keys. One that shows several has shown
// none: a box that chose one of them would decide who pays.
func NewCredential(keys []string) Credential {
	if len(keys) != 1 || keys[0] == "" {
		return Credential{}
	}
	return Credential{set: true, digest: KeyDigest(keys[0])}
}

// IsSet tells whether the caller shows one key.
func (c Credential) IsSet() bool { return c.set }

// Spec is an organisation as its source describes it.
type Spec struct {
	Name     string
	Keys     []Digest // each stands for the organisation
	Priority int      // 0 is the most urgent; comes before that of a route
	Quota    Quota
}

// Organisation is one of those that may call. It never changes.
type Organisation struct{ spec Spec }

// Name returns the organisation's name.
func (o *Organisation) Name() string { return o.spec.Name }

// Priority returns the rank; 0 is the most urgent.
func (o *Organisation) Priority() int { return o.spec.Priority }

// Quota returns how much the organisation may ask.
func (o *Organisation) Quota() Quota { return o.spec.Quota }

// Keys returns the digests of its keys; do not change the list.
func (o *Organisation) Keys() []Digest { return o.spec.Keys }

// Directory is all organisations of one configuration. It never changes. The nil directory is
// that of a configuration without organisations, which asks no caller for a key.
type Directory struct {
	list   []*Organisation
	byKey  map[Digest]*Organisation
	byName map[string]*Organisation
}

// NewDirectory returns the directory of some organisations; nil for none. A key that two of them
// list stands for the first. Errors name the organisation and the field.
func NewDirectory(specs []Spec) (*Directory, error) {
	if len(specs) == 0 {
		return nil, nil
	}
	d := &Directory{byKey: make(map[Digest]*Organisation), byName: make(map[string]*Organisation, len(specs))}
	for i, s := range specs {
		if s.Name == "" {
			return nil, errors.Errorf("access: organisation %d: name is missing: give it a text", i)
		}
		if d.byName[s.Name] != nil {
			return nil, errors.Errorf("access: organisation %q: name stands twice: give each its own", s.Name)
		}
		if err := s.check(); err != nil {
			return nil, errors.Wrapf(err, "access: organisation %q", s.Name)
		}
		o := &Organisation{spec: s}
		d.list = append(d.list, o)
		d.byName[s.Name] = o
		for _, k := range s.Keys {
			if d.byKey[k] == nil {
				d.byKey[k] = o
			}
		}
	}
	return d, nil
}

// check names the field that can't be meant.
func (s Spec) check() error {
	if s.Priority < 0 {
		return errors.Errorf("priority: %d: give 0 or more", s.Priority)
	}
	return s.Quota.check()
}

// Find returns the organisation of a credential; nil where there is none.
func (d *Directory) Find(c Credential) *Organisation {
	if d == nil || !c.set {
		return nil
	}
	return d.byKey[c.digest]
}

// ByName returns the organisation with a name; nil where there is none.
func (d *Directory) ByName(name string) *Organisation {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// All returns every organisation in the order of the configuration; do not change the list.
func (d *Directory) All() []*Organisation {
	if d == nil {
		return nil
	}
	return d.list
}

// OwnerName returns the name of the organisation that a key stands for; empty for none.
func (d *Directory) OwnerName(k Digest) string {
	if d == nil || d.byKey[k] == nil {
		return ""
	}
	return d.byKey[k].Name()
}

// Short returns the first bytes of a digest, for people.
func (k Digest) Short(n int) string { return hex.EncodeToString(k[:n]) }

// KeyChange is a key that stands for another organisation than before; an empty name: for none.
type KeyChange struct {
	Key           Digest
	Before, After string
}

// KeyChanges returns the keys that changed between two directories, those that went first.
func KeyChanges(before, after *Directory) []KeyChange {
	var list []KeyChange
	for _, o := range before.All() {
		for _, k := range o.Keys() {
			if was, is := before.OwnerName(k), after.OwnerName(k); was != is && was == o.Name() {
				list = append(list, KeyChange{Key: k, Before: was, After: is})
			}
		}
	}
	for _, o := range after.All() {
		for _, k := range o.Keys() {
			if before.OwnerName(k) == "" && after.OwnerName(k) == o.Name() {
				list = append(list, KeyChange{Key: k, After: o.Name()})
			}
		}
	}
	return list
}
