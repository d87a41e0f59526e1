// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// endlessReader repeats a text. It fails the test once more than most bytes were read.
type endlessReader struct {
	c    *quicktest.C
	text string
	read int
	most int
}

// Read implements io.Reader.
func (r *endlessReader) Read(b []byte) (int, error) {
	n := copy(b, strings.Repeat(r.text, len(b)/len(r.text)+1))
	r.read += n
	r.c.Assert(r.read <= r.most, quicktest.IsTrue, quicktest.Commentf("%d bytes of one event", r.read))
	return n, nil
}

// Guards against a gateway whose memory is filled by an engine that sends an event without end.
func TestEndlessEventOfAnEngineIsBounded(t *testing.T) {
	for name, text := range map[string]string{"in one line": "x", "in many lines": "data: x\n", "in comments": ":\n"} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			w := httptest.NewRecorder()
			events, done := copyEvents(&callerResponse{writer: w}, &endlessReader{c: c, text: text, most: 2 * maxEventBytes}, 0, func([]byte) {})
			c.Check(events, quicktest.Equals, 0)
			c.Check(done, quicktest.IsFalse)
			c.Check(w.Body.Len(), quicktest.Equals, 0)
		})
	}
}

// Guards against a limit that cuts events whose lines are longer than one read.
func TestLongEventOfAnEngineIsRelayed(t *testing.T) {
	c := quicktest.New(t)
	w := httptest.NewRecorder()
	text := "data: " + strings.Repeat("x", maxEventBytes/2) + "\ndata: " + strings.Repeat("y", 10_000) + "\n\ndata: [DONE]\n\n"
	lines := 0
	events, done := copyEvents(&callerResponse{writer: w}, strings.NewReader(text), 0, func(line []byte) {
		lines++
		c.Check(line[len(line)-1], quicktest.Equals, byte('\n'))
	})
	c.Check(events, quicktest.Equals, 1)
	c.Check(done, quicktest.IsTrue)
	c.Check(lines, quicktest.Equals, 5)
	c.Check(w.Body.String(), quicktest.Equals, text)
}

// Guards against a gateway whose memory is filled by engines that send complete responses without end, each within its own limit.
func TestEndlessResponsesOfEnginesShareALimit(t *testing.T) {
	c := quicktest.New(t)
	const limit, faulty = 32 << 20, 40
	g := &Gateway{MaxResponses: limit}
	g.Init()
	var most atomic.Int64
	var readers sync.WaitGroup
	read := func(body io.Reader) ([]byte, bool) {
		resp := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body), ContentLength: -1, TransferEncoding: []string{"chunked"}}
		u := g.beginResponse(&callerResponse{writer: httptest.NewRecorder()}, resp)
		defer u.End()
		return readComplete(u, resp, json.Valid)
	}
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	defer debug.SetGCPercent(debug.SetGCPercent(10))
	for range faulty {
		readers.Go(func() {
			_, complete := read(slowReader{&endlessReader{c: c, text: "x", most: maxBufferedBody + 1<<20}})
			c.Check(complete, quicktest.IsFalse)
		})
	}
	ended := make(chan struct{})
	go func() {
		readers.Wait()
		close(ended)
	}()
	for running := true; running; {
		body, complete := read(strings.NewReader("an ordinary response"))
		c.Check(complete, quicktest.IsTrue)
		c.Check(string(body), quicktest.Equals, "an ordinary response")
		var now runtime.MemStats
		runtime.ReadMemStats(&now)
		most.Store(max(most.Load(), int64(now.HeapInuse)-int64(before.HeapInuse)))
		select {
		case <-ended:
			running = false
		case <-time.After(5 * time.Millisecond):
		}
	}
	c.Check(most.Load() < 4*limit, quicktest.IsTrue, quicktest.Commentf("%d MB", most.Load()>>20))
}

// slowReader delivers a part at a time, so that many responses grow at the same time.
type slowReader struct{ *endlessReader }

// Read implements io.Reader.
func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.endlessReader.Read(b[:min(len(b), 256<<10)])
}
