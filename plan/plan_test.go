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

const shard = `{
  "bases": [{"name": "advice"}, {"name": "deeds"}],
  "classes": [{"name": "counter", "may_wait": "2s", "deadline": "5s", "default": true}],
  "endpoints": [
    {"name": "e1", "data_centre": "d1", "base": "advice", "address": "127.0.0.1:1", "slots": 4, "running": 8},
    {"name": "e2", "data_centre": "d1", "base": "advice", "address": "127.0.0.1:2", "slots": 4, "running": 8},
  ],
  // the roses are the most asked for
  "adapters": [{"name": "roses", "base": "advice", "versions": {"1": "p/1", "2": "p/2"}, "aliases": {"live": "1"}}],
}`

func seen(c *quicktest.C) Seen {
	shards := map[string][]byte{"all": []byte(shard)}
	h, err := catalog.NewHead(catalog.Head{}, shards)
	c.Assert(err, quicktest.IsNil)
	return Seen{
		Head:   h,
		Shards: shards,
		Loaded: map[string][]string{"e1": {"roses@1"}, "e2": {"roses@1"}},
		Rate:   2,
		Now:    time.Unix(1000, 0),
	}
}

func TestALivePlanSaysWhatMoves(t *testing.T) {
	c := quicktest.New(t)
	p, err := Make(Live{Adapter: "roses", Version: "2"}, seen(c))
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Loads, quicktest.Equals, 1)
	c.Assert(p.Unloads, quicktest.Equals, 2)
	c.Assert(p.Takes, quicktest.Equals, "500ms")
	var b strings.Builder
	p.Print(&b)
	c.Assert(b.String(), quicktest.Contains, "the first callers of roses wait for the load")
}

func TestAPlanKeepsCommentsAndMakesAGoodConfiguration(t *testing.T) {
	c := quicktest.New(t)
	p, err := Make(Live{Adapter: "roses", Version: "2"}, seen(c))
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

func TestADrainSaysWhatItCosts(t *testing.T) {
	c := quicktest.New(t)
	s := seen(c)
	s.Loaded["e1"] = append(s.Loaded["e1"], "roses@2")
	p, err := Make(Drain{Name: "e1"}, s)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Loads, quicktest.Equals, 1)
	c.Assert(p.Risks, quicktest.DeepEquals, []string{"base advice keeps 8 of 16 places: at the peak callers may wait or be refused"})
	p, err = Make(Drain{Name: "d1"}, s)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.Risks, quicktest.DeepEquals, []string{"no endpoint serves base advice any more: its callers are refused as no_endpoint"})
}

func TestEveryIntentMakesAPlan(t *testing.T) {
	c := quicktest.New(t)
	for _, i := range []Intent{
		Create{Adapter: "roses", Version: "3", Path: "p/3"},
		Create{Adapter: "tulips", Base: "advice", Version: "1", Path: "p/t"},
		Retire{Adapter: "roses"},
		Retire{Adapter: "roses", Version: "2"},
		Priority{Adapter: "roses", Priority: 3},
		MayWait{Class: "counter", Wait: time.Second},
	} {
		_, err := Make(i, seen(c))
		c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", i))
	}
}

func TestIntentsThatDoNotHoldAreRefused(t *testing.T) {
	c := quicktest.New(t)
	for _, i := range []Intent{
		Live{Adapter: "tulips", Version: "1"},
		Live{Adapter: "roses", Version: "9"},
		Live{Adapter: "roses", Version: "1"},
		Create{Adapter: "roses", Version: "1", Path: "p"},
		Create{Adapter: "tulips", Version: "1", Path: "p"},
		Retire{Adapter: "roses", Version: "1"},
		Priority{Adapter: "tulips"},
		MayWait{Class: "counter", Wait: time.Minute},
		Drain{Name: "nowhere"},
		Drain{Name: "e1", Back: true},
		Move{Endpoint: "e1", Base: "deeds"},
	} {
		_, err := Make(i, seen(c))
		var e *IntentError
		c.Assert(errors.As(err, &e), quicktest.IsTrue, quicktest.Commentf("%s: %v", i, err))
	}
}

func TestAMoveNeedsAKnownBase(t *testing.T) {
	c := quicktest.New(t)
	s := seen(c)
	s.Shards["all"] = []byte(strings.Replace(shard, `"slots": 4, "running": 8},`, `"slots": 4, "running": 8, "state": "draining"},`, 1))
	var err error
	s.Head, err = catalog.NewHead(catalog.Head{}, s.Shards)
	c.Assert(err, quicktest.IsNil)
	_, err = Make(Move{Endpoint: "e1", Base: "deeds"}, s)
	c.Assert(err, quicktest.IsNil)
	_, err = Make(Move{Endpoint: "e1", Base: "none"}, s)
	c.Assert(err, quicktest.ErrorMatches, `(?s).*name a base that a shard defines.*`)
}

func TestAPlanChangedByHandIsRefused(t *testing.T) {
	c := quicktest.New(t)
	p, err := Make(Live{Adapter: "roses", Version: "2"}, seen(c))
	c.Assert(err, quicktest.IsNil)
	raw, err := json.Marshal(p)
	c.Assert(err, quicktest.IsNil)
	_, err = Read(raw)
	c.Assert(err, quicktest.IsNil)
	_, err = Read([]byte(strings.Replace(string(raw), `"loads":1`, `"loads":0`, 1)))
	c.Assert(err, quicktest.Equals, ErrChanged)
}

func TestAStalePlanSaysWhatIsInForce(t *testing.T) {
	c := quicktest.New(t)
	p, err := Make(Live{Adapter: "roses", Version: "2"}, seen(c))
	c.Assert(err, quicktest.IsNil)
	c.Assert(p.CheckBase(1, p.Base.Digest), quicktest.IsNil)
	c.Assert(p.CheckBase(2, "other"), quicktest.ErrorMatches, "plan: made on revision 1 .* but revision 2 .* is in force; make it again")
}
