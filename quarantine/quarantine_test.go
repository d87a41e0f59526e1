// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// content returns one of many contents.
func content(number int) (c Fingerprint) {
	binary.BigEndian.PutUint64(c[:], uint64(number))
	return c
}

func none(Fingerprint) bool { return false }

var start = time.Unix(1_800_000_000, 0)

func TestThreeEndpointsThatEndedUnderARequestKeepItAway(t *testing.T) {
	c := quicktest.New(t)
	var k Counter
	fatal, other := content(1), content(2)
	c.Assert(k.RecordTermination("e1", []Fingerprint{fatal, other}, none, start), quicktest.HasLen, 0)
	c.Assert(k.RecordTermination("e2", []Fingerprint{fatal}, none, start), quicktest.HasLen, 0)
	c.Assert(k.RecordTermination("e2", []Fingerprint{fatal}, none, start), quicktest.HasLen, 0) // another box saw the same
	c.Assert(k.RecordTermination("e3", []Fingerprint{fatal, other}, none, start), quicktest.DeepEquals, []Fingerprint{fatal})
}

func TestEndsThatAreLongAgoDoNotCount(t *testing.T) {
	c := quicktest.New(t)
	var k Counter
	c.Assert(k.RecordTermination("e1", []Fingerprint{content(1)}, none, start), quicktest.HasLen, 0)
	c.Assert(k.RecordTermination("e2", []Fingerprint{content(1)}, none, start), quicktest.HasLen, 0)
	c.Assert(k.RecordTermination("e3", []Fingerprint{content(1)}, none, start.Add(2*suspectFor)), quicktest.HasLen, 0)
}

// Requests of others run where endpoints end. What explains those ends takes them off the others.
func TestARequestThatOnlyRanBesideIsSuspectedNoMore(t *testing.T) {
	c := quicktest.New(t)
	var k Counter
	fatal, beside := content(1), content(2)
	k.RecordTermination("e1", []Fingerprint{beside}, none, start)
	k.RecordTermination("e2", []Fingerprint{beside}, none, start)
	for _, e := range []string{"e1", "e2", "e4"} {
		k.RecordTermination(e, []Fingerprint{fatal}, none, start)
	}
	c.Assert(k.RecordTermination("e5", []Fingerprint{beside}, none, start), quicktest.HasLen, 0)
	c.Assert(k.RecordTermination("e6", []Fingerprint{beside}, none, start), quicktest.HasLen, 0)
	kept := func(c Fingerprint) bool { return c == fatal }
	k.RecordTermination("e7", []Fingerprint{fatal}, kept, start) // it was on its way
	c.Assert(k.RecordTermination("e7", []Fingerprint{beside}, kept, start), quicktest.HasLen, 0)
	c.Assert(k.RecordTermination("e8", []Fingerprint{beside}, kept, start), quicktest.DeepEquals, []Fingerprint{beside}) // e5, e6, e8
}

// Endpoints end under a request that comes again and again, each with ten others that ran there, of a
// hundred that are sent again and again as well. The one is found in time whoever tells first. Of
// the others one in a thousand was at all three by chance: 4 in 200 runs, where 20 could be each time.
func TestAmongManyRequestsTheOneThatEndsEndpointsIsFound(t *testing.T) {
	c := quicktest.New(t)
	wrong := 0
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var k Counter
		var list List
		kept := func(c Fingerprint) bool { _, held := list.Remaining(c, start); return held }
		ends := 0
		for ; ends < MaxTerminations; ends++ {
			reports := [][]Fingerprint{{content(0)}, nil, nil}
			for range 10 { // each is at one of the last endpoints to end, as its few attempts allow
				box := r.IntN(len(reports))
				reports[box] = append(reports[box], content(1+ends*40+r.IntN(100)))
			}
			r.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
			for _, p := range reports {
				for _, f := range k.RecordTermination(fmt.Sprint("e", ends), p, kept, start) {
					list.Add(f, start.Add(Duration))
				}
			}
		}
		_, held := list.Remaining(content(0), start)
		c.Check(held, quicktest.IsTrue, quicktest.Commentf("seed %d", seed))
		wrong += list.Len() - 1
	}
	c.Check(wrong <= 8, quicktest.IsTrue, quicktest.Commentf("%d others in 200 runs", wrong))
}

func TestARequestIsKeptAwayUntilItsTimeIsOver(t *testing.T) {
	c := quicktest.New(t)
	var l List
	c.Assert(l.Add(content(1), start.Add(time.Hour)), quicktest.IsTrue)
	c.Assert(l.Add(content(1), start.Add(time.Minute)), quicktest.IsFalse) // an older word
	left, held := l.Remaining(content(1), start.Add(10*time.Minute))
	c.Assert(held, quicktest.IsTrue)
	c.Assert(left, quicktest.Equals, 50*time.Minute)
	_, held = l.Remaining(content(2), start)
	c.Assert(held, quicktest.IsFalse)
	_, held = l.Remaining(content(1), start.Add(time.Hour))
	c.Assert(held, quicktest.IsFalse)
	c.Assert(l.Expire(start.Add(time.Hour)), quicktest.DeepEquals, []Fingerprint{content(1)})
	c.Assert(l.Len(), quicktest.Equals, 0)
}

func TestAFullListDropsWhatEndsFirst(t *testing.T) {
	c := quicktest.New(t)
	var l List
	for i := range mostKept + 1 {
		l.Add(content(i), start.Add(time.Duration(i+1)*time.Second))
	}
	c.Assert(l.Len(), quicktest.Equals, mostKept)
	_, held := l.Remaining(content(0), start)
	c.Assert(held, quicktest.IsFalse)
	c.Assert(l.Expire(start), quicktest.DeepEquals, []Fingerprint{content(0)}) // who keeps more of it can forget that
}

func TestAnAnsweredRequestIsRememberedForAWhile(t *testing.T) {
	c := quicktest.New(t)
	var a AnsweredRequests
	a.Add(content(1), start)
	c.Assert(a.Has(content(1), start.Add(answeredFor-1)), quicktest.IsTrue)
	c.Assert(a.Has(content(2), start), quicktest.IsFalse)
	c.Assert(a.Has(content(1), start.Add(2*answeredFor)), quicktest.IsFalse)
}

func TestWhatIsRememberedIsBounded(t *testing.T) {
	c := quicktest.New(t)
	m := &memory{span: time.Hour, most: 100}
	for i := range 1000 {
		m.put(fmt.Sprint(i), nil, start)
	}
	c.Assert(len(m.recent)+len(m.older) <= 200, quicktest.IsTrue)
	_, ok := m.get("999", start)
	c.Assert(ok, quicktest.IsTrue)
}
