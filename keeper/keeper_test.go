// SPDX-License-Identifier: Apache-2.0

package keeper

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/logging"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// memorySource is an in-memory Source.
type memorySource map[string][]byte // shards by digest

func (s memorySource) Head(context.Context, []byte) ([]byte, bool, error) {
	return nil, false, errors.New("no head")
}

func (s memorySource) Shard(_ context.Context, digest string) ([]byte, error) {
	raw, ok := s[digest]
	if !ok {
		return nil, errors.New("no such shard")
	}
	return raw, nil
}

// publish makes a head based on base, whose only class is called name.
func publish(s memorySource, base catalog.Head, name string) catalog.Head {
	raw := []byte(`{"classes": [{"name": "` + name + `", "deadline": "1s", "default": true}], "bases": [{"name": "b"}],
		"adapters": [{"name": "roses", "base": "b", "versions": {"1": "p1"}}]}`)
	s[catalog.Digest(raw)] = raw
	h, err := catalog.NewHead(base, map[string][]byte{"all": raw})
	if err != nil {
		panic(err)
	}
	return h
}

func newKeeper() *Keeper { return New(time.Second, logr.Discard()) }

func offer(c *quicktest.C, k *Keeper, s memorySource, h catalog.Head, inForce bool) Verdict {
	v, err := k.Offer(context.Background(), h.Raw(), inForce, s)
	c.Assert(err, quicktest.IsNil)
	return v
}

// settle ends the settling time of the candidates.
func settle(k *Keeper) { k.Tick(time.Now().Add(time.Minute)) }

func inForce(k *Keeper) string { return k.Catalog().Digest() }

func TestHeadComesIntoForceAfterSettling(t *testing.T) {
	c := quicktest.New(t)
	k, s := newKeeper(), memorySource{}
	h := publish(s, catalog.Head{}, "a")
	c.Assert(offer(c, k, s, h, false), quicktest.Equals, Candidate)
	c.Assert(k.Catalog(), quicktest.IsNil)
	settle(k)
	c.Assert(inForce(k), quicktest.Equals, h.Digest())
}

func TestStalePlatformCannotLowerRevision(t *testing.T) {
	c := quicktest.New(t)
	k, s := newKeeper(), memorySource{}
	first := publish(s, catalog.Head{}, "a")
	second := publish(s, first, "b")
	offer(c, k, s, second, true)
	c.Assert(offer(c, k, s, first, false), quicktest.Equals, Older)
	c.Assert(offer(c, k, s, first, true), quicktest.Equals, Older)
	settle(k)
	c.Assert(inForce(k), quicktest.Equals, second.Digest())
}

func TestWinnerOfTwoHeadsDoesNotDependOnOrder(t *testing.T) {
	c := quicktest.New(t)
	s := memorySource{}
	base := publish(s, catalog.Head{}, "base")
	one, two := publish(s, base, "one"), publish(s, base, "two")
	winners := make(map[string]bool)
	for range 20 { // the iteration order of the candidates, a map, is random
		for _, order := range [][]catalog.Head{{one, two}, {two, one}} {
			k := newKeeper()
			offer(c, k, s, base, true)
			offer(c, k, s, order[0], false)
			offer(c, k, s, order[1], false)
			settle(k)
			winners[inForce(k)] = true
		}
	}
	c.Assert(winners, quicktest.HasLen, 1)
}

func TestLosingHeadStaysRejected(t *testing.T) {
	c := quicktest.New(t)
	k, s := newKeeper(), memorySource{}
	base := publish(s, catalog.Head{}, "base")
	one, two := publish(s, base, "one"), publish(s, base, "two")
	offer(c, k, s, base, true)
	offer(c, k, s, one, false)
	settle(k)
	c.Assert(offer(c, k, s, two, false), quicktest.Equals, Rival)
	c.Assert(offer(c, k, s, publish(s, two, "later"), false), quicktest.Equals, Rival)
	settle(k)
	c.Assert(inForce(k), quicktest.Equals, one.Digest())
}

func TestWatcherMayMissRevision(t *testing.T) {
	c := quicktest.New(t)
	k, s := newKeeper(), memorySource{}
	first := publish(s, catalog.Head{}, "a")
	third := publish(s, publish(s, first, "b"), "c")
	offer(c, k, s, first, true)
	c.Assert(offer(c, k, s, third, false), quicktest.Equals, Candidate)
	settle(k)
	c.Assert(inForce(k), quicktest.Equals, third.Digest())
}

func TestPartitionedSidesConverge(t *testing.T) {
	c := quicktest.New(t)
	s := memorySource{}
	base := publish(s, catalog.Head{}, "base")
	one, two := publish(s, base, "one"), publish(s, base, "two")
	left, right := newKeeper(), newKeeper()
	offer(c, left, s, one, true)
	offer(c, right, s, two, true)
	offer(c, left, s, two, true)
	offer(c, right, s, one, true)
	c.Assert(inForce(left), quicktest.Equals, inForce(right))
}

func TestChangedPublishedVersionIsInvalid(t *testing.T) {
	c := quicktest.New(t)
	k, s := newKeeper(), memorySource{}
	first := publish(s, catalog.Head{}, "a")
	offer(c, k, s, first, true)
	raw := []byte(strings.Replace(string(s[first.ShardDigest("all")]), "p1", "p9", 1))
	s[catalog.Digest(raw)] = raw
	h, err := catalog.NewHead(first, map[string][]byte{"all": raw})
	c.Assert(err, quicktest.IsNil)
	v, err := k.Offer(context.Background(), h.Raw(), false, s)
	c.Assert(v, quicktest.Equals, Invalid)
	c.Assert(err, quicktest.ErrorMatches, `(?s).*a published version never changes.*`)
}

func TestHeadWithMissingShardsMayBeOfferedAgain(t *testing.T) {
	c := quicktest.New(t)
	k, s := newKeeper(), memorySource{}
	h := publish(s, catalog.Head{}, "a")
	_, err := k.Offer(context.Background(), h.Raw(), false, memorySource{})
	c.Assert(err, quicktest.ErrorMatches, "keeper: fetch shard all of revision 1: no such shard")
	c.Assert(offer(c, k, s, h, false), quicktest.Equals, Candidate)
}

// Guards against a document of another writer that ends a daemon, or after which it follows no further one.
func TestHeadAfterADeeplyNestedOneComesIntoForce(t *testing.T) {
	c := quicktest.New(t)
	k, s := newKeeper(), memorySource{}
	first := publish(s, catalog.Head{}, "a")
	offer(c, k, s, first, true)
	deep := []byte(strings.Repeat("[", catalog.MaxDocumentSize))
	_, err := k.Offer(context.Background(), deep, false, s)
	c.Check(err, quicktest.IsNotNil)
	s[catalog.Digest(deep)] = deep
	h, err := catalog.NewHead(first, map[string][]byte{"all": deep})
	c.Assert(err, quicktest.IsNil)
	_, err = k.Offer(context.Background(), h.Raw(), false, s)
	c.Check(err, quicktest.IsNotNil)
	c.Check(inForce(k), quicktest.Equals, first.Digest())
	second := publish(s, first, "b")
	offer(c, k, s, second, true)
	c.Check(inForce(k), quicktest.Equals, second.Digest())
}

// Guards against a line of the log that is as long as a published document.
func TestErrorOfADocumentIsLoggedInShort(t *testing.T) {
	c := quicktest.New(t)
	for name, raw := range map[string]string{
		"long number":  `{"revision": ` + strings.Repeat("9", 1_000_000) + `}`,
		"long field":   `{"` + strings.Repeat("x", 1_000_000) + `": 1}`,
		"long comment": "/*" + strings.Repeat("x", 1_000_000),
	} {
		var lines bytes.Buffer
		s := &Syncer{Keeper: newKeeper(), Log: logging.New(&lines, "box", "dc", "gateway", false)}
		s.offer(context.Background(), []byte(raw), false, memorySource{}, "platform")
		c.Check(lines.String(), quicktest.Contains, "Configuration was not accepted", quicktest.Commentf("%s", name))
		c.Check(lines.Len() < 4<<10, quicktest.IsTrue, quicktest.Commentf("%s: %d bytes", name, lines.Len()))
	}
}
