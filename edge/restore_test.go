// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// textDecoder decodes the values in testdata/restored.txt.
type textDecoder struct{}

// Kind implements Decoder.
func (textDecoder) Kind(key string) Kind {
	switch {
	case key == "config":
		return KindConfig
	case strings.HasPrefix(key, "v/"):
		return KindVersion
	}
	return KindEndpoint
}

// Config implements Decoder.
func (textDecoder) Config(value []byte) (*topology.Config, error) {
	v, err := strconv.ParseUint(string(value), 10, 64)
	return topology.NewConfig(v, nil, nil, topology.RequestLimits{}), err
}

// Endpoint implements Decoder.
func (textDecoder) Endpoint(key string, value []byte) (*topology.Endpoint, error) {
	state, second, _ := strings.Cut(string(value), "+")
	spec := topology.EndpointSpec{ID: key, Draining: state == "draining"}
	if second != "" {
		n, err := strconv.ParseInt(second, 10, 64)
		if err != nil {
			return nil, err
		}
		spec.ID, spec.Started = key+"@"+second, time.Unix(n, 0)
	}
	return topology.NewEndpoint(spec), nil
}

// Version implements Decoder.
func (textDecoder) Version(value []byte) (topology.Adapter, int64, error) {
	v, err := strconv.ParseInt(string(value), 10, 64)
	return topology.Adapter{Model: "m", Name: "a"}, v, err
}

// restoredBox is the box under test in one case.
type restoredBox struct {
	table  *share.Table
	reader *reader
	source *script
	node   *Node
}

func newRestoredBox() *restoredBox {
	b := &restoredBox{source: &script{}}
	b.reader, b.table = newReader(b.source)
	b.reader.decoder = textDecoder{}
	n := &Node{Decoder: textDecoder{}}
	b.node = n
	b.table.ResolveRollback, b.table.IsEquivalent, b.table.IsSuperseded, b.table.HasEnded = n.outlives, n.isSame, n.isSuperseded, n.hasEnded
	b.reader.checkpoint = func() checkpoint { return n.checkpoints.of(Endpoints) }
	b.reader.onList = func(r Revision) { n.recordList(Endpoints, r) }
	return b
}

// do runs one command and returns an error if its expectation fails.
func (b *restoredBox) do(args []string) error {
	switch args[0] {
	case "read", "receive":
		i, err := parseItem(args[1], args[2])
		if err != nil {
			return err
		}
		if args[0] == "read" {
			b.table.Merge(i)
		} else {
			b.table.Receive(i)
		}
		return nil
	case "list":
		return b.list(args[1], args[2:])
	case "wait":
		d, err := time.ParseDuration(args[1])
		b.reader.graceUntil, b.reader.confirmAfter = b.reader.graceUntil.Add(-d), b.reader.confirmAfter.Add(-d)
		return err
	case "want":
		want, err := parseItem(args[2], args[1])
		if err != nil {
			return err
		}
		if got := b.table.Get(want.GetKey()); got.String() != want.String() {
			return errors.Errorf("got %v at %s", got, revisionOf(got))
		}
		return nil
	}
	return errors.Errorf("unknown command %s", args[0])
}

func (b *restoredBox) list(at string, entries []string) error {
	r, err := parseRevision(at)
	if err != nil {
		return err
	}
	batch := Batch{Revision: r}
	for _, e := range entries {
		entry, number, _ := strings.Cut(e, "@")
		key, value, _ := strings.Cut(entry, "=")
		f, err := parseRevision(fmt.Sprintf("%d/%s", r.Epoch(), number))
		if err != nil {
			return err
		}
		batch.Facts = append(batch.Facts, Fact{Key: key, Revision: f, Value: []byte(value)})
	}
	b.source.list = []Batch{batch}
	b.reader.after = 0
	b.reader.historyLost = true // forces a list
	_, err = b.reader.step(context.Background())
	b.reader.noteResult(err)
	return err
}

func parseItem(at, fact string) (*wire.Item, error) {
	r, err := parseRevision(at)
	key, value, _ := strings.Cut(fact, "=")
	i := &wire.Item{Key: key, Version: uint64(r)}
	if value == "gone" {
		i.Removed = true
	} else {
		i.Value = []byte(value)
	}
	return i, err
}

func parseRevision(text string) (Revision, error) {
	number := strings.TrimRight(text, "kc")
	epoch, count, _ := strings.Cut(number, "/")
	e, errEpoch := strconv.ParseUint(epoch, 10, 64)
	n, errCount := strconv.ParseUint(count, 10, 64)
	if errEpoch != nil || errCount != nil {
		return 0, errors.Errorf("revision %q: expected EPOCH/NUMBER", text)
	}
	r, err := NewRevision(e, n)
	if strings.Contains(text, "k") {
		r = r.Kept()
	}
	if strings.Contains(text, "c") {
		r = r.Confirmed()
	}
	return r, err
}

func TestFactsKeptAfterSourceRestore(t *testing.T) {
	raw, err := os.ReadFile("testdata/restored.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range strings.Split(string(raw), "\ncase ")[1:] {
		lines := strings.Split(strings.TrimSpace(text), "\n")
		t.Run(lines[0], func(t *testing.T) {
			c := quicktest.New(t)
			b := newRestoredBox()
			for _, l := range lines[1:] {
				c.Assert(b.do(strings.Fields(l)), quicktest.IsNil, quicktest.Commentf("%s", l))
			}
		})
	}
}

func TestKeptFactIsAcceptedThoughItsRevisionWasRead(t *testing.T) {
	c := quicktest.New(t)
	b := newRestoredBox()
	b.node.checkpoints.advance(Endpoints, checkpoint{revision: revIn(2, 180), asOf: time.Now()})
	c.Assert(b.do([]string{"read", "2/150", "e/1=ready"}), quicktest.IsNil)
	c.Assert(b.do([]string{"receive", "2/150k", "e/1=draining"}), quicktest.IsNil)
	c.Assert(b.do([]string{"want", "e/1=draining", "2/150k"}), quicktest.IsNil)
	c.Assert(b.do([]string{"receive", "2/150c", "e/1=ready"}), quicktest.IsNil)
	c.Assert(b.do([]string{"want", "e/1=draining", "2/150kc"}), quicktest.IsNil)
}

func TestKeptFactIsSentToOtherBoxes(t *testing.T) {
	c := quicktest.New(t)
	b := newRestoredBox()
	c.Assert(b.do([]string{"read", "1/200", "e/1=draining"}), quicktest.IsNil)
	_, before, _ := b.table.ItemsSince(0)
	c.Assert(b.do([]string{"read", "2/150", "e/1=ready"}), quicktest.IsNil)
	items, _, _ := b.table.ItemsSince(before)
	c.Assert(items, quicktest.HasLen, 1)
	c.Assert(revisionOf(items[0]), quicktest.Equals, revIn(2, 150).Kept())
}

func TestEqualFactsAreNotResentAfterRestore(t *testing.T) {
	c := quicktest.New(t)
	b := newRestoredBox()
	for _, fact := range []string{"e/1=ready", "config=7", "v/a=5"} {
		c.Assert(b.do([]string{"read", "1/200", fact}), quicktest.IsNil)
	}
	_, before, _ := b.table.ItemsSince(0)
	for _, fact := range []string{"e/1=ready", "config=7", "v/a=5"} {
		c.Assert(b.do([]string{"read", "2/150", fact}), quicktest.IsNil)
		c.Assert(b.do([]string{"want", fact, "2/150"}), quicktest.IsNil)
	}
	items, _, _ := b.table.ItemsSince(before)
	c.Assert(items, quicktest.HasLen, 0)
}

// A box that takes over reading with a watch would wait for a change to an entry that does not change.
func TestReaderListsOnResumeWithUnconfirmedRemoval(t *testing.T) {
	c := quicktest.New(t)
	b := newRestoredBox()
	c.Assert(b.do([]string{"receive", "2/150k", "e/1=gone"}), quicktest.IsNil)
	b.node.checkpoints.advance(Endpoints, checkpoint{revision: revIn(2, 180), asOf: time.Now()})
	b.reader.resumeFromCheckpoint()
	c.Assert(b.reader.after, quicktest.Equals, Revision(0))
	c.Assert(b.do([]string{"receive", "2/190", "e/1=ready"}), quicktest.IsNil)
	b.reader.relistAfterOutage = false
	b.reader.resumeFromCheckpoint()
	c.Assert(b.reader.after, quicktest.Equals, revIn(2, 180))
}

// Facts of the previous epoch lose against those of the current one, so the box would miss everything
// published until its leader learns of the restore.
func TestStatusOfPreviousEpochIsNotCurrent(t *testing.T) {
	c := quicktest.New(t)
	p := peersOf(box("a", "dc", 2, 400), box("b", "dc", 1, 400))
	now := time.Now()
	receive := func(r Revision) {
		p.receiveStatus("b", share.ReadStatus{SettledRevision: uint64(r), EndpointsRevision: uint64(r)}, now)
	}
	relies := func() bool {
		_, fresh := p.statusAge(now)
		return fresh && p.leaderIsCurrent(now)
	}
	p.checkpoints.advance(Endpoints, checkpoint{revision: revIn(1, 200), asOf: now})
	p.resetStream("b")
	receive(revIn(1, 200))
	c.Assert(relies(), quicktest.IsTrue)
	for _, k := range []Collection{Configuration, Endpoints} {
		p.checkpoints.advance(k, checkpoint{revision: revIn(2, 150), asOf: now})
	}
	receive(revIn(1, 200))
	c.Assert(relies(), quicktest.IsFalse)
	receive(revIn(2, 160))
	c.Assert(relies(), quicktest.IsTrue)
}
