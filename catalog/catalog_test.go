// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

const validShard = `{
  "bases": [{"name": "advice"}],
  "classes": [{"name": "counter", "priority": 1, "deadline": "5s", "default": true}], // documents may contain comments
  "endpoints": [{"name": "e1", "data_centre": "d1", "base": "advice", "address": "127.0.0.1:1", "slots": 4, "running": 8}],
  "adapters": [{"name": "roses", "base": "advice", "versions": {"1": "p/1", "2": "p/2"}, "aliases": {"live": "2"}}],
}`

func build(c *quicktest.C, base Head, text string) (*Catalog, error) {
	shards := map[string][]byte{"all": []byte(text)}
	h, err := NewHead(base, shards)
	c.Assert(err, quicktest.IsNil)
	return Build(h, shards, nil)
}

func TestResolveVersionsAndAliases(t *testing.T) {
	c := quicktest.New(t)
	k, err := build(c, Head{}, validShard)
	c.Assert(err, quicktest.IsNil)
	for wanted, got := range map[string]string{"roses": "roses@2", "roses@live": "roses@2", "roses@1": "roses@1"} {
		m, err := k.Resolve(wanted)
		c.Assert(err, quicktest.IsNil)
		c.Assert(m.String(), quicktest.Equals, got)
	}
}

func TestResolveRejectsUnknownNames(t *testing.T) {
	c := quicktest.New(t)
	k, err := build(c, Head{}, validShard)
	c.Assert(err, quicktest.IsNil)
	for wanted, kind := range map[string]string{"tulips": "adapter", "roses@9": "version"} {
		_, err := k.Resolve(wanted)
		var u *UnknownError
		c.Assert(errors.As(err, &u), quicktest.IsTrue)
		c.Assert(u.Kind, quicktest.Equals, kind)
	}
}

func TestBuildReportsAllProblems(t *testing.T) {
	c := quicktest.New(t)
	invalid := strings.NewReplacer(`"base": "advice", "address": "127.0.0.1:1", "slots": 4`, `"base": "gone", "address": "x", "slots": 0`,
		`"live": "2"`, `"live": "9"`).Replace(validShard)
	_, err := build(c, Head{}, invalid)
	var e *ValidationError
	c.Assert(errors.As(err, &e), quicktest.IsTrue)
	c.Assert(e.Problems, quicktest.HasLen, 4)
	c.Assert(err, quicktest.ErrorMatches, `(?s).*endpoints\[e1\]\.slots: 0: must be a positive integer.*`)
}

func TestBuildRejectsUnknownFields(t *testing.T) {
	c := quicktest.New(t)
	_, err := build(c, Head{}, `{"clases": []}`)
	c.Assert(err, quicktest.ErrorMatches, `(?s).*unknown field "clases".*`)
}

func TestBuildRejectsShardWithWrongDigest(t *testing.T) {
	c := quicktest.New(t)
	h, err := NewHead(Head{}, map[string][]byte{"all": []byte(validShard)})
	c.Assert(err, quicktest.IsNil)
	_, err = Build(h, map[string][]byte{"all": []byte("{}")}, nil)
	c.Assert(err, quicktest.ErrorMatches, `(?s).*publish the shard with the digest in the head document.*`)
}

func TestDrainingDataCentreDrainsItsEndpoints(t *testing.T) {
	c := quicktest.New(t)
	k, err := build(c, Head{}, strings.Replace(validShard, "{\n", `{"data_centres": [{"name": "d1", "state": "draining"}],`, 1))
	c.Assert(err, quicktest.IsNil)
	e, _ := k.Endpoint("e1")
	c.Assert(e.State(), quicktest.Equals, Draining)
}

func TestDescendsFrom(t *testing.T) {
	c := quicktest.New(t)
	shards := map[string][]byte{"all": []byte(validShard)}
	first, _ := NewHead(Head{}, shards)
	second, _ := NewHead(first, shards)
	sibling, _ := NewHead(first, map[string][]byte{"other": []byte("{}")})
	third, _ := NewHead(second, shards)
	c.Assert(third.DescendsFrom(first), quicktest.IsTrue)
	c.Assert(third.DescendsFrom(sibling), quicktest.IsFalse)
	c.Assert(first.DescendsFrom(second), quicktest.IsFalse)
}

func TestBuildWith11000Adapters(t *testing.T) {
	c := quicktest.New(t)
	const shardCount, each = 8, 1375
	shards := map[string][]byte{"all": []byte(validShard)}
	for i := range shardCount {
		raw := adapterShard(i*each, each)
		c.Assert(len(raw) < MaxDocumentSize, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(raw)))
		shards[fmt.Sprintf("adapters-%d", i)] = raw
	}
	h, err := NewHead(Head{}, shards)
	c.Assert(err, quicktest.IsNil)
	k, err := Build(h, shards, nil)
	c.Assert(err, quicktest.IsNil)
	c.Assert(k.Adapters(), quicktest.HasLen, shardCount*each+1)
}

func adapterShard(first, count int) []byte {
	var b strings.Builder
	b.WriteString(`{"adapters": [`)
	for i := first; i < first+count; i++ {
		fmt.Fprintf(&b, `{"name":"adapter-%05d","base":"advice","versions":{"1":"adapters/adapter-%05d/1","2":"adapters/adapter-%05d/2"},"aliases":{"live":"2"}},`, i, i, i)
	}
	b.WriteString("]}")
	return []byte(b.String())
}

func TestParseShardRejectsOversizedDocument(t *testing.T) {
	_, err := ParseShard(adapterShard(0, 11000))
	quicktest.Assert(t, err, quicktest.ErrorMatches, ".*split the document, the maximum size is 1048576.*")
}

func TestBuildReusesUnchangedShard(t *testing.T) {
	c := quicktest.New(t)
	shards := map[string][]byte{"all": []byte(validShard), "adapters": adapterShard(0, 3)}
	h, err := NewHead(Head{}, shards)
	c.Assert(err, quicktest.IsNil)
	old, err := Build(h, shards, nil)
	c.Assert(err, quicktest.IsNil)
	shards["more"] = adapterShard(2, 3)
	h, err = NewHead(h, shards)
	c.Assert(err, quicktest.IsNil)
	_, err = Build(h, shards, old)
	c.Assert(err, quicktest.ErrorMatches, `(?s).*adapters\[adapter-00002\]: duplicate name: keep only one of them.*`)
	shards["more"] = adapterShard(3, 3)
	h, err = NewHead(h, shards)
	c.Assert(err, quicktest.IsNil)
	next, err := Build(h, shards, old)
	c.Assert(err, quicktest.IsNil)
	m, err := next.Resolve("adapter-00001@1")
	c.Assert(err, quicktest.IsNil)
	c.Assert(m.String(), quicktest.Equals, "adapter-00001@1")
}
