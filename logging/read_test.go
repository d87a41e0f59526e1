// SPDX-License-Identifier: Apache-2.0

package logging

import (
	"bytes"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

func TestLinesOfSeveralBoxesAreSortedByTime(t *testing.T) {
	c := quicktest.New(t)
	var g Log
	c.Assert(g.Read(strings.NewReader(`{"time":"2026-05-01T10:00:02Z","msg":"Second","box":"b"}`+"\n")), quicktest.IsNil)
	c.Assert(g.Read(strings.NewReader(`  1.5 box-a {"time":"2026-05-01T10:00:01Z","msg":"First","box":"a","took_ms":7}`+"\n")), quicktest.IsNil)
	lines := g.Lines()
	c.Assert(lines, quicktest.HasLen, 2)
	c.Assert(lines[0].Message(), quicktest.Equals, "First")
	c.Assert(lines[0].Text("took_ms"), quicktest.Equals, "7")
	c.Assert(lines[0].FieldNames(), quicktest.DeepEquals, []string{"box", "took_ms"})
}

func TestUnparsedAndDuplicateLinesAreSkippedAndCounted(t *testing.T) {
	c := quicktest.New(t)
	var g Log
	good := `{"time":"2026-05-01T10:00:02Z","msg":"Good"}` + "\n"
	text := "panic: not ours\n" + good + good + good[:20] + "\n" + `{"time":"yesterday","msg":"x"}` + "\n" + strings.Repeat("{", 2*maxLineBytes) + "\n" + good[:30]
	c.Assert(g.Read(strings.NewReader(text)), quicktest.IsNil)
	c.Assert(g.Lines(), quicktest.HasLen, 1)
	c.Assert(g.Duplicates(), quicktest.Equals, 1)
	c.Assert(g.Unparsed(), quicktest.Equals, 5) // including the one that is too long
}

// A process was killed while it wrote a line and restarted with the same log file. Its first
// new line followed the truncated one without a newline and was skipped with it.
func TestLineAfterTruncatedLineIsRead(t *testing.T) {
	c := quicktest.New(t)
	var g Log
	cut := `{"time":"2026-05-01T10:00:01Z","level":"INFO","msg":"Cut","request":"r`
	c.Assert(g.Read(strings.NewReader(cut+`{"time":"2026-05-01T10:00:02Z","level":"INFO","msg":"Box starts"}`+"\n")), quicktest.IsNil)
	c.Assert(g.Lines(), quicktest.HasLen, 1)
	c.Assert(g.Lines()[0].Message(), quicktest.Equals, "Box starts")
	c.Assert(g.Unparsed(), quicktest.Equals, 1)
}

// Lines contain text from callers, which may look like a log line. A complete line is parsed as
// a whole, whatever its fields contain.
func TestTextThatLooksLikeLineIsNotParsedAsLine(t *testing.T) {
	c := quicktest.New(t)
	var g Log
	c.Assert(g.Read(strings.NewReader(`{"time":"2026-05-01T10:00:01Z","msg":"Whole","request":"{\"time\":\"2026-05-01T10:00:02Z\",\"msg\":\"Forged\"}"}`+"\n")), quicktest.IsNil)
	c.Assert(g.Lines(), quicktest.HasLen, 1)
	c.Assert(g.Lines()[0].Message(), quicktest.Equals, "Whole")
	c.Assert(g.Unparsed(), quicktest.Equals, 0)
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"time":"2026-05-01T10:00:01Z","msg":"One"}`))
	f.Add([]byte(`{"time":"2026-05-01T10:00:01Z","ms{"time":"2026-05-01T10:00:01Z","msg":"Two"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var g Log
		if err := g.Read(bytes.NewReader(raw)); err != nil {
			t.Fatal(err)
		}
		counted := len(g.Lines()) + g.Unparsed() + g.Duplicates()
		if len(bytes.TrimSpace(raw)) > 0 && counted == 0 {
			t.Fatalf("%q is neither parsed nor counted", raw)
		}
	})
}
