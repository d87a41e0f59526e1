// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cairnwick.example/share"
	"cairnwick.example/topology"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// plainDecoder knows endpoints alone, by their prefix.
type plainDecoder struct{}

// Kind implements Decoder.
func (plainDecoder) Kind(key string) Kind {
	if strings.HasPrefix(key, "e/") {
		return KindEndpoint
	}
	return KindOther
}

// Config implements Decoder.
func (plainDecoder) Config([]byte) (*topology.Config, error) { return nil, errors.New("none here") }

// Endpoint implements Decoder.
func (plainDecoder) Endpoint(key string, _ []byte) (*topology.Endpoint, error) {
	return topology.NewEndpoint(topology.EndpointSpec{ID: key}), nil
}

// Version implements Decoder.
func (plainDecoder) Version([]byte) (topology.Adapter, int64, error) {
	return topology.Adapter{}, 0, errors.New("none here")
}

// script answers calls in order.
type script struct {
	list  []Batch
	watch []func() (Batch, error)
	waits []time.Duration // of the watches
}

// List implements Source.
func (s *script) List(context.Context, Collection) (Batch, error) {
	b := s.list[0]
	if len(s.list) > 1 {
		s.list = s.list[1:]
	}
	return b, nil
}

// Watch implements Source.
func (s *script) Watch(_ context.Context, _ Collection, _ Revision, wait time.Duration) (Batch, error) {
	s.waits = append(s.waits, wait)
	next := s.watch[0]
	if len(s.watch) > 1 {
		s.watch = s.watch[1:]
	}
	return next()
}

func newReader(s Source) (*reader, *share.Table) {
	t := share.NewTable()
	return &reader{
		collection: Endpoints,
		source:     s,
		decoder:    plainDecoder{},
		table:      t,
		wanted:     func() bool { return true },
		checkpoint: func() checkpoint { return checkpoint{} },
		leads:      func() bool { return true },
		log:        logr.Discard(),
		behind:     func() time.Duration { return defaultMaxStaleness },
		away:       new(atomic.Bool),
		lapse:      func() time.Duration { return time.Second },
		report:     func(readOutcome) {},
		ages:       func() map[string]int64 { return nil },
		listed:     func(Revision) {},
		counted:    func(string) {},
		restored:   func() {},
	}, t
}

func published(keys ...string) []Fact {
	var list []Fact
	for _, k := range keys {
		list = append(list, Fact{Key: k, Revision: rev(1)})
	}
	return list
}

func step(r *reader) {
	_, err := r.step(context.Background())
	r.note(err)
}

func TestAnEndpointThatIsRemovedIsGoneAtOnce(t *testing.T) {
	c := quicktest.New(t)
	s := &script{
		list: []Batch{{Facts: published("e/1", "e/2"), Revision: rev(5)}},
		watch: []func() (Batch, error){func() (Batch, error) {
			return Batch{Facts: []Fact{{Key: "e/1", Revision: rev(6), Removed: true}}, Revision: rev(6)}, nil
		}},
	}
	r, table := newReader(s)
	step(r)
	step(r)
	c.Assert(table.Keys(), quicktest.DeepEquals, []string{"e/2"})
}

func TestAnEndpointThatIsMissingInANewListIsGone(t *testing.T) {
	c := quicktest.New(t)
	s := &script{
		list: []Batch{{Facts: published("e/1", "e/2"), Revision: rev(5)}, {Facts: published("e/2"), Revision: rev(9)}},
		watch: []func() (Batch, error){
			func() (Batch, error) { return Batch{}, ErrForgotten{} },
		},
	}
	r, table := newReader(s)
	step(r) // lists
	step(r) // the history is gone
	step(r) // lists anew
	c.Assert(table.Keys(), quicktest.DeepEquals, []string{"e/2"})
}

// The entries of endpoints lapse while the source is away, though they live.
func TestAnEndpointThatLapsedInAnOutageHasTimeToComeBack(t *testing.T) {
	c := quicktest.New(t)
	s := &script{
		list: []Batch{{Facts: published("e/1"), Revision: rev(5)}, {Facts: nil, Revision: rev(30)}},
		watch: []func() (Batch, error){
			func() (Batch, error) { return Batch{}, errors.New("no answer") },
			func() (Batch, error) {
				return Batch{Facts: []Fact{{Key: "e/1", Revision: rev(20), Removed: true}}, Revision: rev(20)}, nil
			},
			func() (Batch, error) { return Batch{Revision: rev(21)}, nil },
		},
	}
	r, table := newReader(s)
	step(r)
	r.asOf = time.Now().Add(-r.lapse()) // the source is away for so long
	step(r)                             // fails
	step(r)                             // answers, and the endpoint has lapsed
	c.Assert(table.Keys(), quicktest.DeepEquals, []string{"e/1"})
	r.trusted = time.Now().Add(-time.Millisecond) // the grace is over and it is still missing
	step(r)
	c.Assert(table.Keys(), quicktest.HasLen, 0)
}

// One watch was cut, as waiting ones are now and then; an endpoint that left just after it was
// kept as if it had lapsed in an outage, for longer than requests may go there.
func TestAnEndpointThatLeavesAfterOneFailedCallIsGoneAtOnce(t *testing.T) {
	c := quicktest.New(t)
	s := &script{
		list: []Batch{{Facts: published("e/1"), Revision: rev(5)}},
		watch: []func() (Batch, error){
			func() (Batch, error) { return Batch{}, errors.New("the watch was cut") },
			func() (Batch, error) {
				return Batch{Facts: []Fact{{Key: "e/1", Revision: rev(20), Removed: true}}, Revision: rev(20)}, nil
			},
		},
	}
	r, table := newReader(s)
	for range 3 {
		step(r)
	}
	c.Assert(table.Keys(), quicktest.HasLen, 0)
}

// A box that failed to read and was then told again by its leader began to read anew long
// after, and kept an endpoint that had left meanwhile as if the outage had just ended.
func TestABoxThatStoodByHoldsNothingBackForAnOldOutage(t *testing.T) {
	c := quicktest.New(t)
	s := &script{
		list: []Batch{{Facts: published("e/1"), Revision: rev(5)}, {Facts: nil, Revision: rev(30)}},
		watch: []func() (Batch, error){
			func() (Batch, error) { return Batch{}, errors.New("no answer") },
			func() (Batch, error) { return Batch{Revision: rev(31)}, nil },
		},
	}
	r, table := newReader(s)
	step(r)
	r.asOf = time.Now().Add(-r.lapse())
	step(r) // fails
	r.stopReading(time.Now().Add(-lapseGrace))
	step(r) // lists, long after
	c.Assert(table.Keys(), quicktest.HasLen, 0)
	r.stopReading(time.Now())
	c.Assert(r.failing || r.uncertain || r.holding, quicktest.IsFalse)
}

// The pause after a batch and the watch after it made a leader's word look old to the boxes
// two steps below it: they listed the source after each event.
func TestAnAnswerComesInTimeAfterABatchToo(t *testing.T) {
	c := quicktest.New(t)
	r, _ := newReader(&script{})
	now := time.Unix(100, 0)
	r.asOf = now.Add(-r.batchPause())
	c.Assert(r.batchPause()+r.watchWait(now), quicktest.Equals, watchTime(r.behind()))
	r.asOf = now.Add(-2 * watchTime(r.behind()))
	c.Assert(r.watchWait(now), quicktest.Equals, watchLeast)
}

// A leader that had been cut off from the source alone kept an endpoint that had left for
// 2.5 s after its return, and with it all that relied on its word, though the source answered them.
func TestABoxThatHoldsBackWhatTheSourceSaidIsNoSourceForOthers(t *testing.T) {
	c := quicktest.New(t)
	s := &script{
		list: []Batch{{Facts: published("e/1"), Revision: rev(5)}, {Facts: nil, Revision: rev(30)}},
		watch: []func() (Batch, error){
			func() (Batch, error) { return Batch{}, errors.New("no answer") },
			func() (Batch, error) { return Batch{Revision: rev(10)}, nil },
			func() (Batch, error) {
				return Batch{Facts: []Fact{{Key: "e/1", Revision: rev(20), Removed: true}}, Revision: rev(20)}, nil
			},
		},
	}
	r, _ := newReader(s)
	var heard []bool
	r.report = func(w readOutcome) { heard = append(heard, w.current) }
	step(r)
	r.asOf = time.Now().Add(-r.lapse())
	for range 3 {
		step(r)
	}
	r.trusted = time.Now().Add(-time.Millisecond)
	step(r)
	c.Assert(heard, quicktest.DeepEquals, []bool{true, false, true, false, true})
}

// A watch that began in an outage hung for its whole time after the end of it.
func TestAfterAFailureWatchesAreShort(t *testing.T) {
	c := quicktest.New(t)
	s := &script{
		list: []Batch{{Revision: rev(5)}},
		watch: []func() (Batch, error){
			func() (Batch, error) { return Batch{}, errors.New("no answer") },
			func() (Batch, error) { return Batch{Revision: rev(6)}, nil },
		},
	}
	r, _ := newReader(s)
	for range 4 {
		step(r)
		r.uncertain = false
	}
	c.Assert(s.waits, quicktest.HasLen, 3)
	c.Assert(s.waits[1], quicktest.Equals, watchShort)
	for _, i := range []int{0, 2} {
		c.Assert(s.waits[i] > watchShort && s.waits[i] <= watchTime(defaultMaxStaleness), quicktest.IsTrue)
	}
}

// After a start every box listed the source and watched it, though its leader told it the
// same soon: three calls in five of a quiet day.
func TestABoxThatIsToldSoonDoesNotWatchTheSource(t *testing.T) {
	c := quicktest.New(t)
	s := &script{list: []Batch{{Revision: rev(5)}}, watch: []func() (Batch, error){func() (Batch, error) { return Batch{Revision: rev(6)}, nil }}}
	r, _ := newReader(s)
	looks := 0
	r.leads = func() bool { return false }
	r.wanted = func() bool {
		looks++
		return looks < 3
	}
	ctx, end := context.WithTimeout(context.Background(), 2*leaderWait)
	defer end()
	c.Assert(r.run(ctx), quicktest.IsNil)
	c.Assert(s.waits, quicktest.HasLen, 0)
}

// awaySource fails every call until it is back.
type awaySource struct {
	back  time.Time
	calls atomic.Int64
}

func (s *awaySource) call() (Batch, error) {
	s.calls.Add(1)
	if time.Now().Before(s.back) {
		return Batch{}, errors.New("away")
	}
	return Batch{Revision: rev(5)}, nil
}

// List implements Source.
func (s *awaySource) List(context.Context, Collection) (Batch, error) { return s.call() }

// Watch implements Source.
func (s *awaySource) Watch(ctx context.Context, _ Collection, _ Revision, wait time.Duration) (Batch, error) {
	sleep(ctx, wait)
	return s.call()
}

// readAway runs both readers of a box whose source is away for a while. It returns how many
// calls they made meanwhile, and how long after the end of it the box had heard both.
func readAway(c *quicktest.C, leads func() bool, away time.Duration) (calls int64, late time.Duration) {
	s := &awaySource{back: time.Now().Add(away)}
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	asked := new(atomic.Bool)
	var heard [2]atomic.Int64 // when, in nanoseconds since s.back
	for i, collection := range []Collection{Settled, Endpoints} {
		r, _ := newReader(s)
		r.collection, r.away = collection, asked
		r.leads = leads
		r.report = func(w readOutcome) {
			if w.current {
				heard[i].CompareAndSwap(0, int64(time.Since(s.back)))
			}
		}
		go func() { ended <- r.run(ctx) }()
	}
	time.Sleep(away)
	calls = s.calls.Load()
	time.Sleep(3 * defaultMaxStaleness)
	end()
	for range heard {
		c.Assert(<-ended, quicktest.IsNil)
	}
	return calls, time.Duration(max(heard[0].Load(), heard[1].Load()))
}

// When the source was away every box asked it twice a second, as its leader did; later two
// calls each 1.5 s. With 195 boxes that were 13,784 calls on a day on which the source was away
// for 14 s, where a day without trouble had 1,174.
//
// A box on whom nobody relies still finds out in time where its way alone is open.
func TestABoxOnWhomNobodyReliesAsksASourceThatFailsLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		const away = 8 * time.Second
		calls, late := readAway(c, func() bool { return true }, away)
		c.Check(calls >= 2*int64(away/failMost)-4, quicktest.IsTrue, quicktest.Commentf("%d calls of a leader", calls))
		c.Check(late <= failMost, quicktest.IsTrue, quicktest.Commentf("a leader heard it %v late", late))
		calls, late = readAway(c, func() bool { return false }, away)
		t.Logf("%d calls of a box on whom nobody relies", calls)
		c.Check(calls <= 6, quicktest.IsTrue, quicktest.Commentf("%d calls of another box", calls))
		c.Check(late <= defaultMaxStaleness+2*standbyLook, quicktest.IsTrue, quicktest.Commentf("another box heard it %v late", late))
	})
}

// All boxes start while the source is away, and none leads until they know each other. A box that
// has failed twice by then and leads now must not wait as one that leaves it to its leader.
func TestABoxThatHasBegunToLeadAsksASourceThatFailsAsOftenAsALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		begun := time.Now()
		leads := func() bool { return time.Since(begun) > initialViewDelay }
		_, late := readAway(c, leads, time.Second)
		c.Check(late <= failMost+standbyLook, quicktest.IsTrue, quicktest.Commentf("it heard the source %v late", late))
	})
}

// Found by the model of facts and words, with a box that had just started and a leader that
// was behind.
//
// The order of events: an endpoint leaves while the leader does not hear the source. A box
// starts and lists the source: the endpoint is not there, so it hears of no removal. Then its
// leader tells it all that it knows, the endpoint too. The box takes it in, goes on watching
// from its list, and sends requests there until the leader hears the source again.
func TestAnEndpointThatLeftBeforeABoxStartedIsNotBroughtBackByAnother(t *testing.T) {
	c := quicktest.New(t)
	n := &Node{Decoder: plainDecoder{}}
	r, table := newReader(&script{list: []Batch{{Facts: published("e/2"), Revision: rev(5)}}})
	r.listed = func(revision Revision) { n.noteListed(Endpoints, revision) }
	table.HasEnded = n.hasEnded
	step(r)
	table.Receive(&wire.Item{Key: "e/1", Version: uint64(rev(4))}, &wire.Item{Key: "e/3", Version: uint64(rev(6))})
	keys := table.Keys()
	slices.Sort(keys)
	c.Assert(keys, quicktest.DeepEquals, []string{"e/2", "e/3"})
	table.Receive(&wire.Item{Key: "e/4", Version: uint64(rev(4)), Removed: true}) // others may still need it
	c.Assert(table.Version("e/4"), quicktest.Equals, uint64(rev(4)))
}
