// SPDX-License-Identifier: Apache-2.0

// Command standin-engine simulates a model server.
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
	Queue        int           `arg:"--queue" default:"64" help:"requests queued before it rejects more"`
	StepTime     time.Duration `arg:"--step" default:"10ms" help:"time of one step"`
	ReportLag    time.Duration `arg:"--report-lag" default:"200ms" help:"age of the values on /metrics"`
	ResumeWindow time.Duration `arg:"--resume-window" default:"5s" help:"how long a run continues after its reader disconnects"`
	Prefill      int           `arg:"--prefill" default:"0" help:"steps before the first token when the prefix is not cached"`
	Prefixes     int           `arg:"--prefixes" default:"64" help:"number of prefixes cached"`
	EventLag     time.Duration `arg:"--event-lag" default:"1s" help:"delay until a cache event can be read"`
	EventGap     int           `arg:"--event-gap" default:"0" help:"every n-th cache event is lost; 0: none"`
	NoFences     bool          `arg:"--no-fences" help:"accept orders without checking their fence"`
	BaseModels   []string      `arg:"--base-models" help:"base models that orders may load, of which one fits; empty: the base model is loaded all the time"`
	BaseTime     time.Duration `arg:"--base-model-time" default:"1s" help:"duration of the load of a base model"`
	HidesIDs     bool          `arg:"--hides-request-ids" help:"do not return the IDs of requests"`
	RefusesNew   bool          `arg:"--refuses-new" help:"reject new requests when leaving"`
	EndsUnder    string        `arg:"--ends-under" help:"exit when a request's body contains this text; empty: never"`
	EndsAsBegins string        `arg:"--ends-as-it-begins" help:"exit when it begins to respond to a request of the platform whose prompt has this part; empty: never"`
	LeavingGrace time.Duration `arg:"--leaving-grace" default:"5s" help:"new requests this long after leaving count as breaches"`
}

// exitOnRequest is the exit code of an engine that exited because of a request (--ends-under, --ends-as-it-begins).
const exitOnRequest = 3

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
		HidesRequestIDs: a.HidesIDs,
		BaseModels:      a.BaseModels,
		BaseModelRoom:   1,
		BaseModelTime:   a.BaseTime,
		RefusesNew:      a.RefusesNew,
		LeavingGrace:    a.LeavingGrace,
		Store:           standin.StoreFetcher(a.Store),
	}
	e.Fallback = platformtest.EndpointHandler(e)
	h := e.Handler()
	if a.EndsUnder != "" {
		h = standin.CrashOnText(h, a.EndsUnder, func() { os.Exit(exitOnRequest) })
	}
	if a.EndsAsBegins != "" {
		h = platformtest.CrashOnPart(h, a.EndsAsBegins, func() { os.Exit(exitOnRequest) })
	}
	os.Exit(standin.Main(a.Listen, h, e.Run, &e.Repeats))
}
