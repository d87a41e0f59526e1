// SPDX-License-Identifier: Apache-2.0

package plan

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"cairnwick.example/catalog"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

const testShard = `{
  "bases": [{"name": "advice"}, {"name": "deeds"}],
  "classes": [{"name": "counter", "may_wait": "2s", "deadline": "5s", "default": true}],
  "endpoints": [
    {"name": "e1", "data_centre": "d1", "base": "advice", "address": "127.0.0.1:1", "slots": 4, "running": 8},
    {"name": "e2", "data_centre": "d1", "base": "advice", "address": "127.0.0.1:2", "slots": 4, "running": 8},
  ],
  // the roses are the most asked for
  "adapters": [{"name": "roses", "base": "advice", "versions": {"1": "p/1", "2": "p/2"}, "aliases": {"live": "1"}}],
}`

func newSnapshot(c *quicktest.C) Snapshot {
	shards := map[string][]byte{"all": []byte(testShard)}
	h, err := catalog.NewHead(catalog.Head{}, shards)
	c.Assert(err, quicktest.IsNil)
	return Snapshot{
		Head:           h,
		Shards:         shards,
		LoadedAdapters: map[string][]string{"e1": {"roses@1"}, "e2": {"roses@1"}},
		LoadRate:       2,
		Now:            time.Unix(1000, 0),
	}
}

func TestSetLiveReportsEffects(t *testing.T) {
	c := quicktest.New(t)
	p, err := New(SetLive{Adapter: "roses", Version: "2"}, newSnapshot(c))
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Loads, quicktest.Equals, 1)
	c.Assert(p.Unloads, quicktest.Equals, 2)
	c.Assert(p.LoadTime, quicktest.Equals, "500ms")
	var b strings.Builder
	p.Print(&b)
	c.Assert(b.String(), quicktest.Contains, "the first requests for roses wait for the load")
}

func TestPlanKeepsCommentsAndYieldsValidConfiguration(t *testing.T) {
	c := quicktest.New(t)
	p, err := New(SetLive{Adapter: "roses", Version: "2"}, newSnapshot(c))
	c.Assert(err, quicktest.IsNil)
	h, err := catalog.ParseHead([]byte(p.Head))
	c.Assert(err, quicktest.IsNil)
	text := p.Shards[h.ShardDigest("all")]
	c.Assert(text, quicktest.Contains, "// the roses are the most asked for")
	k, err := catalog.Build(h, map[string][]byte{"all": []byte(text)}, nil)
	c.Assert(err, quicktest.IsNil)
	m, err := k.Resolve("roses")
	c.Assert(err, quicktest.IsNil)
	c.Assert(m.String(), quicktest.Equals, "roses@2")
}

func TestDrainReportsLoadsAndRisks(t *testing.T) {
	c := quicktest.New(t)
	s := newSnapshot(c)
	s.LoadedAdapters["e1"] = append(s.LoadedAdapters["e1"], "roses@2")
	p, err := New(Drain{Name: "e1"}, s)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Loads, quicktest.Equals, 1)
	c.Assert(p.Risks, quicktest.DeepEquals, []string{"base advice keeps 8 of 16 batch places: requests may wait or be refused at peak load"})
	p, err = New(Drain{Name: "d1"}, s)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Risks, quicktest.DeepEquals, []string{"no endpoint serves base advice any more: its requests are refused as no_endpoint"})
}

func TestIntentsYieldPlans(t *testing.T) {
	c := quicktest.New(t)
	for _, i := range []Intent{
		CreateVersion{Adapter: "roses", Version: "3", Path: "p/3"},
		CreateVersion{Adapter: "tulips", Base: "advice", Version: "1", Path: "p/t"},
		Retire{Adapter: "roses"},
		Retire{Adapter: "roses", Version: "2"},
		SetPriority{Adapter: "roses", Priority: 3},
		SetMaxWait{Class: "counter", Wait: time.Second},
	} {
		_, err := New(i, newSnapshot(c))
		c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", i))
	}
}

func TestInvalidIntentsAreRejected(t *testing.T) {
	c := quicktest.New(t)
	for _, i := range []Intent{
		SetLive{Adapter: "tulips", Version: "1"},
		SetLive{Adapter: "roses", Version: "9"},
		SetLive{Adapter: "roses", Version: "1"},
		CreateVersion{Adapter: "roses", Version: "1", Path: "p"},
		CreateVersion{Adapter: "tulips", Version: "1", Path: "p"},
		Retire{Adapter: "roses", Version: "1"},
		SetPriority{Adapter: "tulips"},
		SetMaxWait{Class: "counter", Wait: time.Minute},
		Drain{Name: "nowhere"},
		Drain{Name: "e1", Undrain: true},
		SetBase{Endpoint: "e1", Base: "deeds"},
	} {
		_, err := New(i, newSnapshot(c))
		var e *IntentError
		c.Assert(errors.As(err, &e), quicktest.IsTrue, quicktest.Commentf("%s: %v", i, err))
	}
}

func TestSetBaseNeedsKnownBase(t *testing.T) {
	c := quicktest.New(t)
	s := newSnapshot(c)
	s.Shards["all"] = []byte(strings.Replace(testShard, `"slots": 4, "running": 8},`, `"slots": 4, "running": 8, "state": "draining"},`, 1))
	var err error
	s.Head, err = catalog.NewHead(catalog.Head{}, s.Shards)
	c.Assert(err, quicktest.IsNil)
	_, err = New(SetBase{Endpoint: "e1", Base: "deeds"}, s)
	c.Assert(err, quicktest.IsNil)
	_, err = New(SetBase{Endpoint: "e1", Base: "none"}, s)
	c.Assert(err, quicktest.ErrorMatches, `(?s).*name a base that a shard defines.*`)
}

func TestModifiedPlanIsRejected(t *testing.T) {
	c := quicktest.New(t)
	p, err := New(SetLive{Adapter: "roses", Version: "2"}, newSnapshot(c))
	c.Assert(err, quicktest.IsNil)
	raw, err := json.Marshal(p)
	c.Assert(err, quicktest.IsNil)
	_, err = Read(raw)
	c.Assert(err, quicktest.IsNil)
	_, err = Read([]byte(strings.Replace(string(raw), `"loads":1`, `"loads":0`, 1)))
	c.Assert(err, quicktest.Equals, ErrDigestMismatch)
}

func TestStalePlanReportsRevisionInForce(t *testing.T) {
	c := quicktest.New(t)
	p, err := New(SetLive{Adapter: "roses", Version: "2"}, newSnapshot(c))
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.CheckBase(1, p.Base.Digest), quicktest.IsNil)
	c.Assert(p.CheckBase(2, "other"), quicktest.ErrorMatches, "plan: made on revision 1 .* but revision 2 .* is in force; make a new plan")
}
