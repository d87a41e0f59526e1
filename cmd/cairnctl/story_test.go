// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

const storyLog = `{"time":"2026-05-01T10:00:00Z","msg":"Load begins","box":"lead","adapter":"m/a1","endpoint":"e1"}
{"time":"2026-05-01T10:00:00.1Z","msg":"Attempt failed","box":"b1","request":"r1","endpoint":"e1","adapter":"m/a1","outcome":"refused"}
{"time":"2026-05-01T10:00:00.2Z","msg":"Request failed","box":"b1","request":"r1","reason":"adapter_not_loaded","cause":"it is being loaded"}
{"time":"2026-05-01T10:00:00.3Z","msg":"Request failed","box":"b2","request":"r2","reason":"answer_cut","cause":"EOF"}
{"time":"2026-05-01T10:00:00.4Z","msg":"Endpoint is gone","box":"b2","endpoint":"e2"}
not a line of ours
`

func TestStoryIncludesRequestAndRelatedChanges(t *testing.T) {
	c := quicktest.New(t)
	var out, errs bytes.Buffer
	code := (&storyCommand{Request: "r1"}).execute(strings.NewReader(storyLog), &out, &errs)
	c.Assert(code, quicktest.Equals, exitDone)
	c.Assert(out.String(), quicktest.Contains, "Load begins")
	c.Assert(out.String(), quicktest.Contains, "> 10:00:00.200 Request failed")
	c.Assert(out.String(), quicktest.Not(quicktest.Contains), "e2")
	c.Assert(errs.String(), quicktest.Contains, "1 foreign or truncated lines")
}

func TestFailuresAreCountedByCause(t *testing.T) {
	c := quicktest.New(t)
	var out, errs bytes.Buffer
	code := (&storyCommand{From: "2026-05-01T10:00:00.25Z"}).execute(strings.NewReader(storyLog), &out, &errs)
	c.Assert(code, quicktest.Equals, exitDone)
	c.Assert(out.String(), quicktest.Contains, "answer_cut")
	c.Assert(out.String(), quicktest.Not(quicktest.Contains), "adapter_not_loaded")
}

func TestStoryOfUnknownRequestIsNotFound(t *testing.T) {
	c := quicktest.New(t)
	var out, errs bytes.Buffer
	c.Assert((&storyCommand{Request: "r9"}).execute(strings.NewReader(storyLog), &out, &errs), quicktest.Equals, exitNotFound)
	c.Assert((&storyCommand{From: "noon"}).execute(strings.NewReader(storyLog), &out, &errs), quicktest.Equals, exitUsage)
}

// Duplicate files, truncated lines and output of other programs must not change a story, and must
// be reported.
func TestSkippedLinesAreCountedAndChangeNothing(t *testing.T) {
	c := quicktest.New(t)
	var clean, out, errs bytes.Buffer
	whole, _, _ := strings.Cut(storyLog, "not a line")
	c.Assert((&storyCommand{Request: "r1"}).execute(strings.NewReader(whole), &clean, &errs), quicktest.Equals, exitDone)
	c.Assert(errs.String(), quicktest.Equals, "")
	dirty := "panic: not ours\n" + whole + whole[:60] + "\n{\"time\":\"noon\",\"msg\":\"x\"}\n" + whole + whole[:40]
	c.Assert((&storyCommand{Request: "r1"}).execute(strings.NewReader(dirty), &out, &errs), quicktest.Equals, exitDone)
	c.Assert(out.String(), quicktest.Equals, clean.String())
	c.Assert(errs.String(), quicktest.Equals, "skipped: 4 foreign or truncated lines, 5 duplicates\n")
}

func TestUnreadableFileIsNamed(t *testing.T) {
	c := quicktest.New(t)
	var out, errs bytes.Buffer
	c.Assert((&storyCommand{Request: "r1", Files: []string{"none.log"}}).execute(nil, &out, &errs), quicktest.Equals, exitFailed)
	c.Assert(errs.String(), quicktest.Contains, "none.log")
}
