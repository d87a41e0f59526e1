// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Guards each rule of Choose by itself: the order of candidates, the bounds, and what a refusal says.
func TestChoose(t *testing.T) {
	c := quicktest.New(t)
	raw, err := os.ReadFile("testdata/choose.txt")
	c.Assert(err, quicktest.IsNil)
	cases := 0
	for line := range strings.Lines(string(raw)) {
		in, want, ok := strings.Cut(strings.TrimSpace(line), " => ")
		if !ok || in[0] == '#' {
			continue
		}
		cases++
		request, candidates, _ := strings.Cut(in, " | ")
		var list []Candidate
		for s := range strings.SplitSeq(candidates, " | ") {
			if s != "" {
				list = append(list, parseCandidate(c, s))
			}
		}
		d := Choose(parseRequest(c, request), list)
		got := fmt.Sprint(d.Reason, " ", d.Relief)
		if d.Index >= 0 {
			got = fmt.Sprint(d.Index, " ", d.Reason, " ", d.FirstToken)
		}
		if strings.Contains(want, " copy=") {
			got += fmt.Sprint(" copy=", d.AddCopy)
		}
		c.Check(got, quicktest.Equals, want, quicktest.Commentf("%s", in))
	}
	c.Assert(cases > 60, quicktest.IsTrue)
}

func parseRequest(c *quicktest.C, s string) Request {
	var r Request
	for f := range strings.FieldsSeq(s) {
		name, value, _ := strings.Cut(f, "=")
		switch name {
		case "target":
			r.Target = parseTime(c, value)
		case "limit":
			r.QueueLimit = parseTime(c, value)
		case "wait":
			r.MaxWait = parseTime(c, value)
		case "pause":
			r.MaxPause = parseTime(c, value)
		case "returnlimit":
			r.ReturnLimit = parseTime(c, value)
		case "returned":
			r.Returned = true
		default:
			c.Fatalf("unknown field %q of a request", f)
		}
	}
	return r
}

func parseCandidate(c *quicktest.C, s string) Candidate {
	var k Candidate
	var err error
	for f := range strings.FieldsSeq(s) {
		name, value, _ := strings.Cut(f, "=")
		switch name {
		case "ready":
			k.Availability = Ready
		case "loading":
			k.Availability = Loading
		case "requested":
			k.Availability = Requested
		case "loadable":
			k.Availability = Loadable
		case "delay":
			k.Delay = parseTime(c, value)
		case "queue":
			k.Queue = parseTime(c, value)
		case "own":
			k.Own = parseTime(c, value)
		case "busy":
			k.Busy = parseTime(c, value)
		case "pause":
			k.Pause = parseTime(c, value)
		case "free":
			k.FreeMemory, err = strconv.Atoi(value)
		case "memory":
			k.Memory, err = strconv.Atoi(value)
		default:
			c.Fatalf("unknown field %q of a candidate", f)
		}
		c.Assert(err, quicktest.IsNil)
	}
	return k
}

func parseTime(c *quicktest.C, s string) time.Duration {
	d, err := time.ParseDuration(s)
	c.Assert(err, quicktest.IsNil)
	return d
}

// Guards against new requests that take the room of those which were asked to come back: under overload
// each new one that fits joins the queue, so the queue stays at their limit.
func TestReturningRequestsGoBeforeNewOnesUnderOverload(t *testing.T) {
	c := quicktest.New(t)
	const own = 50 * time.Millisecond
	queue, served := time.Duration(0), map[bool]int{}
	for i := range 400 { // one in four returns; the endpoint reads one prompt for every two that arrive
		r := Request{Target: 2 * time.Second, QueueLimit: 400 * time.Millisecond, MaxWait: 2 * time.Second, Returned: i%4 == 0}
		if d := Choose(r, []Candidate{{Availability: Ready, Queue: queue, Own: own}}); d.Index >= 0 {
			queue += own
			served[r.Returned]++
		}
		queue = max(queue-own/2, 0)
	}
	c.Check(served[true] >= 95, quicktest.IsTrue, quicktest.Commentf("%d of 100 returning requests", served[true]))
	c.Check(served[false] < 150, quicktest.IsTrue, quicktest.Commentf("%d of 300 new requests", served[false]))
}

// Requests were spread over all copies of an adapter, so that each copy kept a slot in use that other adapters lacked.
func TestRequestsShareBusiestCopyWhileSlotsAreScarce(t *testing.T) {
	c := quicktest.New(t)
	for _, k := range []struct {
		pack   bool
		busier Candidate
		chosen int
	}{
		{false, Candidate{Queue: 200 * time.Millisecond}, 1},
		{true, Candidate{Queue: 200 * time.Millisecond}, 0},
		{true, Candidate{Queue: 500 * time.Millisecond}, 1}, // the next requests would be late
		{true, Candidate{Queue: 200 * time.Millisecond, Memory: 100, FreeMemory: -1}, 1},
		{true, Candidate{Availability: Loading, Delay: 100 * time.Millisecond}, 1},
	} {
		list := []Candidate{k.busier, {Availability: Ready, Running: 1, Own: 100 * time.Millisecond}, {Availability: Loadable}}
		list[0].Running, list[0].Own = 5, 100*time.Millisecond
		if list[0].Availability == 0 {
			list[0].Availability = Ready
		}
		d := Choose(Request{Target: time.Second, QueueLimit: time.Second, MaxWait: 5 * time.Second, Pack: k.pack}, list)
		c.Check(d.Index, quicktest.Equals, k.chosen, quicktest.Commentf("%+v: %+v", k, d))
		c.Check(d.Reason, quicktest.Equals, InTime)
	}
}
