// SPDX-License-Identifier: Apache-2.0

package origin

import (
	"strconv"
	"testing"
	"time"

	"cairnwick.example/quarantine"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

func keyOf(attempt string) Key { return NewKey(quarantine.Fingerprint{}, attempt) }

func TestOriginMatchesTheSameSoftwareOfTheSameServiceOnly(t *testing.T) {
	c := quicktest.New(t)
	endpoint := func(id, service, software string) *topology.Endpoint {
		return topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: service, Software: software})
	}
	began := Of(endpoint("e1", "s", "v1"))
	for _, x := range []struct {
		endpoint *topology.Endpoint
		matches  bool
	}{
		{endpoint("e1", "s", "v1"), true},
		{endpoint("e2", "s", "v1"), true},
		{endpoint("e2", "s", "v1.0"), false}, // versions are not parsed
		{endpoint("e2", "s", "v10"), false},
		{endpoint("e2", "s", " v1"), false},
		{endpoint("e2", "s", ""), false},
		{endpoint("e1", "other", "v1"), false},
	} {
		c.Check(began.Matches(x.endpoint), quicktest.Equals, x.matches)
	}
	unknown := Of(endpoint("e1", "s", ""))
	c.Check(unknown.Matches(endpoint("e1", "s", "")), quicktest.IsTrue)
	c.Check(unknown.Matches(endpoint("e2", "s", "")), quicktest.IsFalse)
	c.Check(unknown.Matches(endpoint("e1", "s", "v1")), quicktest.IsFalse)
	c.Check(Origin{Service: "s"}.Matches(endpoint("", "s", "")), quicktest.IsFalse)
}

func TestKeyOfAnotherRequestOrAttemptDiffers(t *testing.T) {
	c := quicktest.New(t)
	of := func(organisation, body, attempt string) Key {
		return NewKey(quarantine.NewFingerprint("POST", "h", "/", organisation, []byte(body)), attempt)
	}
	c.Assert(of("o", "body", "1"), quicktest.Equals, of("o", "body", "1"))
	for _, other := range []Key{of("p", "body", "1"), of("o", "other", "1"), of("o", "body", "2"), of("o", "body", "")} {
		c.Check(of("o", "body", "1"), quicktest.Not(quicktest.Equals), other)
	}
}

func TestOriginNeverChanges(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	table := Table{MaxRecords: 10}
	record := func(software string, keep time.Duration) Record {
		return Record{Key: keyOf("a"), Origin: Origin{Service: "s", Software: software}, Expires: now.Add(keep)}
	}
	c.Assert(table.Add(record("v1", time.Second), true), quicktest.IsTrue)
	c.Assert(table.Add(record("v1", time.Second), false), quicktest.IsFalse)
	c.Assert(table.Add(record("v1", time.Minute), false), quicktest.IsTrue)
	r, known := table.Find(keyOf("a"), now.Add(30*time.Second))
	c.Assert(known, quicktest.IsTrue)
	c.Assert(r.Origin.Software, quicktest.Equals, "v1")
	table.Add(record("v2", time.Second), false) // the caller used an ID twice
	_, known = table.Find(keyOf("a"), now)
	c.Assert(known, quicktest.IsFalse)
	table.Add(record("v1", time.Hour), false)
	_, known = table.Find(keyOf("a"), now)
	c.Assert(known, quicktest.IsFalse)
}

func TestTableIsBoundedAndExpires(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	table := Table{MaxRecords: 3}
	for i := range 10 {
		table.Add(Record{Key: keyOf(strconv.Itoa(i)), Origin: Origin{Software: "v1"}, Expires: now.Add(time.Duration(i) * time.Second)}, i%2 == 0)
	}
	c.Assert(table.Len(), quicktest.Equals, 3)
	_, known := table.Find(keyOf("6"), now)
	c.Assert(known, quicktest.IsFalse)
	_, known = table.Find(keyOf("7"), now)
	c.Assert(known, quicktest.IsTrue)
	_, known = table.Find(keyOf("7"), now.Add(7*time.Second))
	c.Assert(known, quicktest.IsFalse)
	c.Assert(table.Own(now), quicktest.HasLen, 1)
	table.Expire(now.Add(8 * time.Second))
	c.Assert(table.Len(), quicktest.Equals, 1)
}

func TestKeysOfWrongLengthAreRejected(t *testing.T) {
	c := quicktest.New(t)
	for _, n := range []int{0, 1, 15, 17, 1 << 10} {
		_, ok := ParseKey(make([]byte, n))
		c.Check(ok, quicktest.IsFalse)
	}
}
