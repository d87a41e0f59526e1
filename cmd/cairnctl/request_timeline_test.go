// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

func printStory(c *quicktest.C, request, text string) string {
	var out, errs bytes.Buffer
	code := (&storyCommand{Request: request}).execute(strings.NewReader(text), &out, &errs)
	c.Assert(code, quicktest.Equals, exitDone, quicktest.Commentf("%s", &errs))
	return out.String()
}

const slowLoadLog = `{"time":"2026-05-01T10:00:00Z","msg":"Load begins","box":"lead","adapter":"m/a1","endpoint":"e1"}
{"time":"2026-05-01T10:00:03Z","msg":"Request failed","box":"b1","request":"r1","adapter":"m/a1","reason":"adapter_not_loaded","cause":"it is being loaded"}
{"time":"2026-05-01T10:00:06Z","msg":"Adapter is loaded","box":"lead","adapter":"m/a1","endpoint":"e1","took_ms":6000}
{"time":"2026-05-01T10:00:50Z","msg":"Adapter eviction begins","box":"lead","adapter":"m/a1","endpoint":"e1"}
{"time":"2026-05-01T10:00:59Z","msg":"Load begins","box":"lead","adapter":"m/a1","endpoint":"e1"}
{"time":"2026-05-01T10:01:00Z","msg":"Adapter is loaded","box":"lead","adapter":"m/a1","endpoint":"e1","took_ms":1000}
`

// Guards against a story without the load that explains a refusal. With a slow store the load
// began 3 s before the refusal and ended 3 s after it, outside the context of 2 s, so that only
// the refusal was printed.
func TestStoryIncludesLongLoad(t *testing.T) {
	c := quicktest.New(t)
	story := printStory(c, "r1", slowLoadLog)
	c.Assert(story, quicktest.Contains, "10:00:00.000 Load begins")
	c.Assert(story, quicktest.Contains, "took_ms=6000")
	c.Assert(story, quicktest.Not(quicktest.Contains), "took_ms=1000") // a later load
}

// Guards against a story without the endpoint that loads a refused request's adapter. The
// request's own lines name no endpoint, so neither a change of its owner nor its draining was
// printed.
func TestStoryIncludesEndpointOfLoad(t *testing.T) {
	c := quicktest.New(t)
	story := printStory(c, "r1", `{"time":"2026-05-01T10:00:00Z","msg":"Endpoint is owned","box":"lead","endpoint":"e1","fence":3}
{"time":"2026-05-01T10:00:00.1Z","msg":"Endpoint is owned","box":"lead","endpoint":"e2","fence":4}
{"time":"2026-05-01T10:00:00.2Z","msg":"Load begins","box":"lead","adapter":"m/a1","endpoint":"e1"}
{"time":"2026-05-01T10:00:01Z","msg":"Request failed","box":"b1","request":"r1","adapter":"m/a1","reason":"adapter_not_loaded"}
`)
	c.Assert(story, quicktest.Contains, "Endpoint is owned  box=lead  endpoint=e1")
	c.Assert(story, quicktest.Not(quicktest.Contains), "endpoint=e2")
}

const boxStateLog = `{"time":"2026-05-01T10:00:00Z","msg":"Stopped reading the source: the leader's updates are current","box":"b1","collection":"endpoints","source_age":{"told_ms":90}}
{"time":"2026-05-01T10:00:01Z","msg":"Reads the source: the leader's updates are not current","box":"b1","collection":"endpoints","source_age":{"told_ms":1100}}
{"time":"2026-05-01T10:00:01Z","msg":"Reads the source: the leader's updates are not current","box":"b2","collection":"endpoints","source_age":{"told_ms":1100}}
{"time":"2026-05-01T10:00:02Z","msg":"Source does not answer","box":"b1","collection":"endpoints","err":"refused"}
{"time":"2026-05-01T10:00:30Z","msg":"Endpoint is gone","box":"b2","endpoint":"e1","revision":9}
{"time":"2026-05-01T10:00:30.1Z","msg":"Attempt failed","box":"b1","request":"r1","endpoint":"e1","outcome":"lost","cause":"refused"}
{"time":"2026-05-01T10:00:30.1Z","msg":"Attempt failed","box":"b1","request":"r2","endpoint":"e1","outcome":"lost","cause":"refused"}
{"time":"2026-05-01T10:00:30.2Z","msg":"Request failed","box":"b1","request":"r1","endpoint":"e1","reason":"answer_lost"}
{"time":"2026-05-01T10:00:30.3Z","msg":"Endpoint is gone","box":"b3","endpoint":"e1","revision":9}
{"time":"2026-05-01T10:00:30.5Z","msg":"Log lines were left out","box":"b7","lines":4}
{"time":"2026-05-01T10:00:31Z","msg":"Source answers again","box":"b1","collection":"endpoints","away_ms":29000}
{"time":"2026-05-01T10:00:31Z","msg":"Endpoint is gone","box":"b1","endpoint":"e1","revision":9}
`

// Guards against a story without the state of the request's box. A request was sent to an
// endpoint that had left, because the box could not reach the store. Log lines about the box
// itself name no endpoint, so they were not printed.
func TestStoryIncludesSourceStateOfBox(t *testing.T) {
	c := quicktest.New(t)
	story := printStory(c, "r1", boxStateLog)
	c.Assert(story, quicktest.Contains, "10:00:01.000 Reads the source: the leader's updates are not current  box=b1")
	c.Assert(story, quicktest.Contains, `source_age={"told_ms":1100}`)
	c.Assert(story, quicktest.Contains, "Source does not answer")
	c.Assert(story, quicktest.Contains, "Source answers again")
	c.Assert(story, quicktest.Contains, "Log lines were left out  box=b7")    // of any box, since it may have been the leader
	c.Assert(story, quicktest.Not(quicktest.Contains), "not current  box=b2") // state of another box
	c.Assert(strings.Count(story, "Attempt failed"), quicktest.Equals, 1)     // lines of other requests are left out
}

// Guards against repeated lines: every box logs the removal of an endpoint when it learns of it,
// which with tens of boxes hid the rest of the story.
func TestStoryPrintsChangeAtOtherBoxesOnce(t *testing.T) {
	c := quicktest.New(t)
	story := printStory(c, "r1", boxStateLog)
	c.Assert(strings.Count(story, "Endpoint is gone"), quicktest.Equals, 2) // once for the other boxes, once for its own
	c.Assert(story, quicktest.Contains, "box=b2  endpoint=e1  revision=9  (and at 1 more boxes until 10:00:30.300)")
	c.Assert(story, quicktest.Contains, "10:00:31.000 Endpoint is gone  box=b1")
}

// Guards against counting debug lines as failures: with --debug a box also logs the answers to its
// adapter requests, with a reason.
func TestAdapterAnswersAreNotCountedAsFailures(t *testing.T) {
	c := quicktest.New(t)
	var out, errs bytes.Buffer
	text := `{"time":"2026-05-01T10:00:00Z","level":"DEBUG","msg":"Adapter requested","request":"r1","ready":false,"reason":"it is being loaded"}
{"time":"2026-05-01T10:00:01Z","msg":"Request failed","request":"r1","reason":"adapter_not_loaded","cause":"it is being loaded"}
`
	c.Assert((&storyCommand{}).execute(strings.NewReader(text), &out, &errs), quicktest.Equals, exitDone)
	c.Assert(out.String(), quicktest.Equals, "     1  adapter_not_loaded     it is being loaded (such as r1)\n")
}
