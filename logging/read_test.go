// SPDX-License-Identifier: Apache-2.0

package logging

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

func TestLinesOfSeveralBoxesAreReadByTime(t *testing.T) {
	c := quicktest.New(t)
	var g Log
	c.Assert(g.Read(strings.NewReader(`{"time":"2026-05-01T10:00:02Z","msg":"Second","box":"b"}`+"\n")), quicktest.IsNil)
	c.Assert(g.Read(strings.NewReader(`  1.5 box-a {"time":"2026-05-01T10:00:01Z","msg":"First","box":"a","took_ms":7}`+"\n")), quicktest.IsNil)
	lines := g.Lines()
	c.Assert(lines, quicktest.HasLen, 2)
	c.Assert(lines[0].Message(), quicktest.Equals, "First")
	c.Assert(lines[0].Text("took_ms"), quicktest.Equals, "7")
	c.Assert(lines[0].Names(), quicktest.DeepEquals, []string{"box", "took_ms"})
}

func TestForeignCutAndDoubledLinesArePassedOverAndCounted(t *testing.T) {
	c := quicktest.New(t)
	var g Log
	good := `{"time":"2026-05-01T10:00:02Z","msg":"Good"}` + "\n"
	text := "panic: not ours\n" + good + good + good[:20] + "\n" + `{"time":"yesterday","msg":"x"}` + "\n" + strings.Repeat("{", 2*maxLine) + "\n" + good[:30]
	c.Assert(g.Read(strings.NewReader(text)), quicktest.IsNil)
	c.Assert(g.Lines(), quicktest.HasLen, 1)
	c.Assert(g.Doubled(), quicktest.Equals, 1)
	c.Assert(g.Foreign(), quicktest.Equals, 4)
}
