// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cairnwick.example/load"
	"github.com/rogpeppe/go-internal/testscript"
)

// cmdStreams reads streams from boxes on the users' platform at a constant rate, with the boxes and the adapters in rotation:
// streams edges=1.1,2.1 rate=40 duration=2s adapters=6 events=30. waitstreams prints the result.
func cmdStreams(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := parseOptions(args)
	state := stateOf(ts)
	duration, err := time.ParseDuration(o["duration"])
	ts.Check(err)
	rate, adapters, events := intOption(ts, o, "rate", 20), intOption(ts, o, "adapters", 6), intOption(ts, o, "events", 30)
	var urls []string
	for _, e := range strings.Split(o["edges"], ",") {
		c, b := parsePosition(ts, e)
		urls = append(urls, "http://"+state.fleet.CallersAddress(c, b)+"/a/x")
	}
	list := make([]*load.StreamCaller, int(duration.Seconds()*float64(rate)))
	for i := range list {
		first := i % len(urls)
		list[i] = &load.StreamCaller{
			URLs: append(append([]string{}, urls[first:]...), urls[:first]...), Host: "h.example", Model: fmt.Sprintf("advice/a%d", i%adapters+1), Events: events,
		}
	}
	state.streams = make(chan load.StreamCounts, 1)
	go func() {
		load.RunStreams(context.Background(), float64(rate), list)
		state.streams <- load.CountStreams(list)
	}()
}

// cmdWaitStreams waits for the streams and prints how many hold events of several software versions, and how callers fared:
// waitstreams takeups=20 share=0.9. At least that many streams must have been taken up, and the share of these that complete
// must be at least that part of the share of all streams that begin.
func cmdWaitStreams(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := parseOptions(args)
	n := <-stateOf(ts).streams
	text := fmt.Sprintf("streams=%d begun=%d complete=%d mixed=%d takenup=%d goneon=%d refusals=%d codes=%v",
		n.Streams, n.Begun, n.Complete, n.Mixed, n.TakenUp, n.GoneOn, n.Refusals, n.Codes)
	fmt.Fprintln(ts.Stdout(), text)
	ts.Logf("%s", text)
	if least := intOption(ts, o, "takeups", 0); n.TakenUp < least {
		ts.Fatalf("only %d streams were taken up", n.TakenUp)
	}
	if o["share"] == "" {
		return
	}
	share, err := strconv.ParseFloat(o["share"], 64)
	ts.Check(err)
	if float64(n.GoneOn)/float64(n.TakenUp) < share*float64(n.Begun)/float64(n.Streams) {
		ts.Fatalf("%d of %d streams that were taken up went on, %d of %d began", n.GoneOn, n.TakenUp, n.Begun, n.Streams)
	}
}
