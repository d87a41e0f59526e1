// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"

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
