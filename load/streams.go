// SPDX-License-Identifier: Apache-2.0

package load

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cairnwick.example/platform/platformtest"
)

const (
	maxStreamAttempts = 3                      // of one caller
	streamRetryDelay  = 200 * time.Millisecond // between two attempts of a caller
	streamTimeout     = 4 * time.Second        // of one attempt
)

// StreamCaller reads one stream from boxes on the users' platform. Each attempt goes to the next box, and continues the stream after
// the last event that the caller has. Set the fields before Run.
type StreamCaller struct {
	URLs   []string // of the boxes, in the order in which they are asked
	Host   string
	Model  string // MODEL/ADAPTER
	Events int    // of the complete stream
	// LongestReturn is the longest time until the caller comes back for the rest of a stream, which is drawn for each attempt; zero:
	// it comes back soon.
	LongestReturn time.Duration

	begunBy  string // ID of the attempt that brought the first event
	received int
	software map[string]bool
	attempts int
	takeUps  int
	refused  map[string]int // by the code of the refusal
}

// Run tries until the stream is complete or the caller gives up.
func (s *StreamCaller) Run() {
	s.software, s.refused = make(map[string]bool), make(map[string]int)
	for s.attempts < maxStreamAttempts && !s.Complete() {
		if s.attempts > 0 {
			time.Sleep(s.returnDelay())
		}
		s.attempts++
		s.try(s.URLs[(s.attempts-1)%len(s.URLs)])
	}
}

// returnDelay returns the time until the next attempt.
func (s *StreamCaller) returnDelay() time.Duration {
	if s.LongestReturn == 0 || !s.Begun() {
		return streamRetryDelay
	}
	return streamRetryDelay/2 + rand.N(s.LongestReturn)
}

// Begun reports whether the caller got an event.
func (s *StreamCaller) Begun() bool { return s.received > 0 }

// Complete reports whether the caller got all events.
func (s *StreamCaller) Complete() bool { return s.received == s.Events }

// Mixed reports whether the caller got events of several software versions.
func (s *StreamCaller) Mixed() bool { return len(s.software) > 1 }

// TakeUps returns how many attempts continued the stream.
func (s *StreamCaller) TakeUps() int { return s.takeUps }

// Refused returns how many of these were refused.
func (s *StreamCaller) Refused() int {
	n := 0
	for _, count := range s.refused {
		n += count
	}
	return n
}

// try sends one attempt.
func (s *StreamCaller) try(url string) {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("prompt"))
	if err != nil {
		return
	}
	id := NewKey()
	r.Host = s.Host
	r.Header.Set("Accept", "text/event-stream")
	platformtest.SetAttemptID(r.Header, id)
	platformtest.SetModel(r.Header, s.Model, 10, s.Events)
	if s.Begun() {
		s.takeUps++
		platformtest.SetResumes(r.Header, s.begunBy, strconv.Itoa(s.received))
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		s.read(resp, id)
	} else if s.Begun() {
		s.refused[refusalCode(resp.Body)]++
	}
}

// refusalCode returns the code of a refusal, with which its body begins.
func refusalCode(body io.Reader) string {
	line, _ := bufio.NewReader(io.LimitReader(body, 1<<10)).ReadString('\n') // without a body: no code
	code, _, _ := strings.Cut(strings.TrimSpace(line), ":")
	return code
}

// read reads events until the response ends.
func (s *StreamCaller) read(resp *http.Response, id string) {
	in := bufio.NewScanner(resp.Body)
	for in.Scan() {
		software, ok := strings.CutPrefix(in.Text(), "data: ")
		if !ok {
			continue
		}
		if !s.Begun() {
			s.begunBy = id
		}
		s.received++
		s.software[software] = true
	}
}

// StreamCounts sums up streams.
type StreamCounts struct {
	Streams  int
	Begun    int // with an event
	Complete int
	Mixed    int            // with events of several software versions
	TakenUp  int            // broke off, and were asked for again
	GoneOn   int            // of these, those that are complete
	Refusals int            // of attempts to continue a stream
	Codes    map[string]int // of these refusals
}

// CountStreams sums up callers that have ended.
func CountStreams(list []*StreamCaller) StreamCounts {
	n := StreamCounts{Streams: len(list), Codes: make(map[string]int)}
	for _, s := range list {
		n.Refusals += s.Refused()
		for code, count := range s.refused {
			n.Codes[code] += count
		}
		if s.Begun() {
			n.Begun++
		}
		if s.Complete() {
			n.Complete++
		}
		if s.Mixed() {
			n.Mixed++
		}
		if s.takeUps > 0 {
			n.TakenUp++
			if s.Complete() {
				n.GoneOn++
			}
		}
	}
	return n
}

// RunStreams starts callers at a constant rate, and returns once all have ended.
func RunStreams(ctx context.Context, rate float64, list []*StreamCaller) {
	done := make(chan struct{}, len(list))
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	started := 0
	for ; started < len(list) && ctx.Err() == nil; started++ {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
		s := list[started]
		go func() {
			s.Run()
			done <- struct{}{}
		}()
	}
	for range started {
		<-done
	}
}
