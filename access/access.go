// SPDX-License-Identifier: Apache-2.0

// Package access authenticates callers by their API keys and enforces the quotas of organisations, which
// hold over all boxes together.
//
// A quota is tracked at two levels. A Pool, on the box that leads a data centre, grants the units
// of that data centre. An Account, on each box, tracks what the box has spent and not yet drawn from
// the pool, so that most requests need not wait for another box.
//
// Nothing here does I/O, and the current time is passed in.
package access

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Digest is the hash of an API key. Boxes store, exchange and log digests, never keys.
type Digest [sha256.Size]byte

// KeyDigest returns the SHA-256 digest of a key.
func KeyDigest(key string) Digest { return sha256.Sum256([]byte(key)) }

// Credential is the API key that a caller presents. The zero value is none.
type Credential struct {
	set    bool
	digest Digest
}

// NewCredential returns the credential of a request with these keys. Several keys count as none: choosing one
// of them would mean deciding who pays.
func NewCredential(keys []string) Credential {
	if len(keys) != 1 || keys[0] == "" {
		return Credential{}
	}
	return Credential{set: true, digest: KeyDigest(keys[0])}
}

// IsSet reports whether the caller presents exactly one key.
func (c Credential) IsSet() bool { return c.set }

// Spec is the configuration of an organisation.
type Spec struct {
	Name     string
	Keys     []Digest // of all its API keys
	Priority int      // 0 is the highest; takes precedence over the priority of a route
	Quota    Quota
}

// Organisation is a customer that may call. It is immutable.
type Organisation struct{ spec Spec }

// Name returns the unique name.
func (o *Organisation) Name() string { return o.spec.Name }

// Priority returns the priority; 0 is the highest.
func (o *Organisation) Priority() int { return o.spec.Priority }

// Quota returns the quota over all boxes.
func (o *Organisation) Quota() Quota { return o.spec.Quota }

// Keys returns the digests of its API keys. Callers must not modify the slice.
func (o *Organisation) Keys() []Digest { return o.spec.Keys }

// Directory holds the organisations of a configuration. It is immutable. The nil directory belongs to a
// configuration without organisations, which requires no API keys.
type Directory struct {
	list   []*Organisation
	byKey  map[Digest]*Organisation
	byName map[string]*Organisation
}

// NewDirectory returns a directory of organisations; nil if there are none. A key that several organisations
// list belongs to the first of them. Errors name the organisation and the field.
func NewDirectory(specs []Spec) (*Directory, error) {
	if len(specs) == 0 {
		return nil, nil
	}
	d := &Directory{byKey: make(map[Digest]*Organisation), byName: make(map[string]*Organisation, len(specs))}
	for i, s := range specs {
		if s.Name == "" {
			return nil, errors.Errorf("access: organisation at index %d: name is missing", i)
		}
		if d.byName[s.Name] != nil {
			return nil, errors.Errorf("access: organisation %q: duplicate name", s.Name)
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

// check returns an error that names the first invalid field.
func (s Spec) check() error {
	if s.Priority < 0 {
		return errors.Errorf("priority: invalid value %d: must be 0 or more", s.Priority)
	}
	return s.Quota.check()
}

// Find returns the organisation of a credential; nil if there is none.
func (d *Directory) Find(c Credential) *Organisation {
	if d == nil || !c.set {
		return nil
	}
	return d.byKey[c.digest]
}

// ByName returns the organisation with a name; nil if there is none.
func (d *Directory) ByName(name string) *Organisation {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// All returns the organisations in configuration order. Callers must not modify the slice.
func (d *Directory) All() []*Organisation {
	if d == nil {
		return nil
	}
	return d.list
}

// OwnerName returns the name of the organisation that a key belongs to; empty if there is none.
func (d *Directory) OwnerName(k Digest) string {
	if d == nil || d.byKey[k] == nil {
		return ""
	}
	return d.byKey[k].Name()
}

// Short returns the first n bytes of a digest in hexadecimal, for logs.
func (k Digest) Short(n int) string { return hex.EncodeToString(k[:n]) }

// KeyChange is a key whose organisation changed. An empty name is no organisation.
type KeyChange struct {
	Key           Digest
	Before, After string
}

// KeyChanges returns the keys whose organisation differs between two directories: first the removed and
// moved ones, then the added ones.
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
