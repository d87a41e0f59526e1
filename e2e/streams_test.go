// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cairnwick.example/load"
	"cairnwick.example/platform/platformtest"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	maxStreamAttempts = 3                      // of one caller
	streamRetryDelay  = 200 * time.Millisecond // between two attempts of a caller
	streamTimeout     = 4 * time.Second        // of one attempt
)

// streamCaller reads one stream, at another box with each attempt.
type streamCaller struct {
	urls    []string // of the boxes; the first is the first attempt's
	model   string
	length  int // events
	begunBy string

	events   int
	software map[string]bool
	attempts int // sent
	takeUps  int // of these, those that continue the stream
	refused  int // of takeUps, those that were refused
}

// run tries until the stream is complete or the caller gives up.
func (s *streamCaller) run() {
	s.software = make(map[string]bool)
	for s.attempts < maxStreamAttempts && s.events < s.length {
		if s.attempts > 0 {
			time.Sleep(streamRetryDelay)
		}
		s.attempts++
		s.try(s.urls[(s.attempts-1)%len(s.urls)])
	}
}

// try sends one attempt.
func (s *streamCaller) try(url string) {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("prompt"))
	if err != nil {
		return
	}
	id := load.NewKey()
	r.Host = "h.example"
	r.Header.Set("Accept", "text/event-stream")
	platformtest.SetAttemptID(r.Header, id)
	platformtest.SetModel(r.Header, s.model, 10, s.length)
	if s.events > 0 {
		s.takeUps++
		platformtest.SetResumes(r.Header, s.begunBy, strconv.Itoa(s.events))
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if s.events > 0 {
			s.refused++
		}
		return
	}
	s.read(resp, id)
}

// read reads events until the response ends.
func (s *streamCaller) read(resp *http.Response, id string) {
	in := bufio.NewScanner(resp.Body)
	for in.Scan() {
		name, ok := strings.CutPrefix(in.Text(), "data: ")
		if !ok {
			continue
		}
		if s.events == 0 {
			s.begunBy = id
		}
		s.events++
		s.software[name] = true
	}
}

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
	state.streams = make(chan []streamCaller, 1)
	go func() {
		list := make([]streamCaller, int(duration.Seconds()*float64(rate)))
		done := make(chan bool, len(list))
		tick := time.NewTicker(time.Second / time.Duration(rate))
		defer tick.Stop()
		for i := range list {
			<-tick.C
			first := i % len(urls)
			list[i] = streamCaller{urls: append(append([]string{}, urls[first:]...), urls[:first]...), model: fmt.Sprintf("advice/a%d", i%adapters+1), length: events}
			go func() {
				list[i].run()
				done <- true
			}()
		}
		for range list {
			<-done
		}
		state.streams <- list
	}()
}

// cmdWaitStreams waits for the streams and prints how many hold events of several software versions, and how callers fared:
// waitstreams takeups=20 share=0.9. At least that many streams must have been taken up, and the share of these that complete
// must be at least that part of the share of all streams that begin.
func cmdWaitStreams(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := parseOptions(args)
	list := <-stateOf(ts).streams
	var mixed, complete, begun, takenUp, goneOn, refused int
	for _, s := range list {
		if len(s.software) > 1 {
			mixed++
		}
		if s.events > 0 {
			begun++
		}
		if s.events == s.length {
			complete++
		}
		if s.takeUps > 0 {
			takenUp++
			refused += s.refused
			if s.events == s.length {
				goneOn++
			}
		}
	}
	text := fmt.Sprintf("streams=%d begun=%d complete=%d mixed=%d takenup=%d goneon=%d refusals=%d", len(list), begun, complete, mixed, takenUp, goneOn, refused)
	fmt.Fprintln(ts.Stdout(), text)
	ts.Logf("%s", text)
	if most := intOption(ts, o, "takeups", 0); takenUp < most {
		ts.Fatalf("only %d streams were taken up", takenUp)
	}
	if o["share"] == "" {
		return
	}
	share, err := strconv.ParseFloat(o["share"], 64)
	ts.Check(err)
	if float64(goneOn)/float64(takenUp) < share*float64(begun)/float64(len(list)) {
		ts.Fatalf("%d of %d streams that were taken up went on, %d of %d began", goneOn, takenUp, begun, len(list))
	}
}
