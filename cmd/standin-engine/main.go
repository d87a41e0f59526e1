// SPDX-License-Identifier: Apache-2.0

// Command standin-engine is a small stand-in for a model server.
package main

import (
	"os"
	"time"

	"cairnwick.example/platform/platformtest"
	"cairnwick.example/standin"
	"github.com/alexflint/go-arg"
)

type arguments struct {
	Listen       string        `arg:"--listen,required" help:"IP:port"`
	Store        string        `arg:"--store,required" help:"URL of the weight store"`
	Base         string        `arg:"--base" default:"base" help:"name of the base model"`
	Slots        int           `arg:"--slots" default:"4" help:"adapters held at once"`
	Batch        int           `arg:"--batch" default:"8" help:"requests in one step"`
	Queue        int           `arg:"--queue" default:"64" help:"requests held back before it refuses"`
	StepTime     time.Duration `arg:"--step" default:"10ms" help:"time of one step"`
	ReportLag    time.Duration `arg:"--report-lag" default:"200ms" help:"age of what /metrics says"`
	ResumeWindow time.Duration `arg:"--resume-window" default:"5s" help:"how long a run goes on without its reader"`
	Prefill      int           `arg:"--prefill" default:"0" help:"steps before the first token when the prefix is not cached"`
	Prefixes     int           `arg:"--prefixes" default:"64" help:"prefixes cached"`
	EventLag     time.Duration `arg:"--event-lag" default:"1s" help:"before a cache event can be read"`
	EventGap     int           `arg:"--event-gap" default:"0" help:"every so many-th cache event is lost"`
	NoFences     bool          `arg:"--no-fences" help:"take orders from anybody"`
	RefusesNew   bool          `arg:"--refuses-new" help:"when leaving: refuse new work"`
	EndsUnder    string        `arg:"--ends-under" help:"end when a request's body holds this text; empty: never"`
	LeavingGrace time.Duration `arg:"--leaving-grace" default:"5s" help:"new work this long after leaving is a breach"`
}

// endedUnder is the exit code of an engine that ended under a request.
const endedUnder = 3

func main() {
	var a arguments
	arg.MustParse(&a)
	e := &standin.Engine{
		Base:            a.Base,
		Slots:           a.Slots,
		BatchSize:       a.Batch,
		QueueLimit:      a.Queue,
		StepTime:        a.StepTime,
		ReportLag:       a.ReportLag,
		ResumeWindow:    a.ResumeWindow,
		PrefillSteps:    a.Prefill,
		PrefixCacheSize: a.Prefixes,
		EventDelay:      a.EventLag,
		DropEventEvery:  a.EventGap,
		ChecksFences:    !a.NoFences,
		RefusesNew:      a.RefusesNew,
		LeavingGrace:    a.LeavingGrace,
		Store:           standin.StoreFetcher(a.Store),
	}
	e.Fallback = platformtest.EndpointHandler(e)
	h := e.Handler()
	if a.EndsUnder != "" {
		h = standin.CrashOnText(h, a.EndsUnder, func() { os.Exit(endedUnder) })
	}
	os.Exit(standin.Main(a.Listen, h, e.Run))
}
