// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cairnwick.example/measure"
	"github.com/alexflint/go-arg"
)

type pathCommand struct {
	Rate   int           `arg:"--rate" default:"500" help:"requests a second"`
	Each   time.Duration `arg:"--each" default:"4s" help:"time of one turn"`
	Rounds int           `arg:"--rounds" default:"3" help:"turns of each kind"`
}

type capacityCommand struct {
	Time time.Duration `arg:"--time" default:"8s" help:"time of one point"`
	Only string        `arg:"--sweep" help:"one sweep; all when not given"`
}

type stormCommand struct {
	Time time.Duration `arg:"--time" default:"3m" help:"time of the load"`
	Seed uint64        `arg:"--seed" default:"1" help:"of faults and load"`
	Rate float64       `arg:"--rate" default:"40" help:"requests a second"`

	Limit   float64 `arg:"--limit" default:"0" help:"requests a second that one engine of each data centre says that it takes; 0: all take all"`
	Backoff float64 `arg:"--backoff" default:"0" help:"seconds for which one engine of each data centre wants nothing, each time that it turns a request away; 0: none does"`
}

type restoresCommand struct {
	Time time.Duration `arg:"--time" default:"1m" help:"time of the run"`
	Seed uint64        `arg:"--seed" default:"1" help:"of what happens"`
}

type policiesCommand struct {
	Time     time.Duration `arg:"--time" default:"30s" help:"time of one run"`
	Warm     time.Duration `arg:"--warm" default:"15s" help:"time of warming up before it"`
	Seed     uint64        `arg:"--seed" default:"1" help:"of the load"`
	User     string        `arg:"--user" help:"nursery or boundaries; both when not given"`
	Workload string        `arg:"--workload" help:"one workload; all when not given"`
	Only     []string      `arg:"--policies,separate" help:"one choice of policies, can be given again; all when not given"`
	Report   string        `arg:"--report" help:"file for the JSON report"`
	Plots    string        `arg:"--plots" help:"folder for a plot of each workload, SVG"`
}

type futureCommand struct {
	Logs  []string      `arg:"positional" help:"debug logs of all boxes; standard input when none is given"`
	Slots int           `arg:"--slots,required" help:"adapters that all endpoints hold together"`
	Rate  float64       `arg:"--rate,required" help:"loads a second that the store gives"`
	Lead  time.Duration `arg:"--lead" default:"10s" help:"loads may begin so long before the first request"`
}

type whereCommand struct {
	Logs    []string `arg:"positional" help:"debug logs of all boxes; standard input when none is given"`
	Seconds bool     `arg:"--seconds" help:"by second too"`
}

type scarceCommand struct {
	Seed uint64        `arg:"--seed" default:"1" help:"of the requests"`
	Time time.Duration `arg:"--time" default:"40s" help:"simulated time"`
	Rate float64       `arg:"--rate" default:"55" help:"requests a second"`
}

type blockedCommand struct {
	Rate   int           `arg:"--rate" default:"27" help:"requests a second, every second one refused: twice what a box has at the peak"`
	Each   time.Duration `arg:"--each" default:"10s" help:"time of one turn"`
	Rounds int           `arg:"--rounds" default:"3" help:"turns of each kind"`
}

type arguments struct {
	Blocked  *blockedCommand  `arg:"subcommand:blocked" help:"requests while the reader of the log reads, and while it stands still"`
	Scarce   *scarceCommand   `arg:"subcommand:scarce" help:"where loads go when slots are scarce and prompts long, simulated"`
	Where    *whereCommand    `arg:"subcommand:where" help:"where the time of requests went, from logs"`
	Future   *futureCommand   `arg:"subcommand:future" help:"what a policy that knew the future could have had, from logs"`
	Policies *policiesCommand `arg:"subcommand:policies" help:"the chosen policies and the baselines, in the users' sizes"`
	Storm    *stormCommand    `arg:"subcommand:storm" help:"mixed failures under load, with the stand-ins as witnesses"`
	Restores *restoresCommand `arg:"subcommand:restores" help:"a store that comes back from older copies, while boxes come and go"`
	Path     *pathCommand     `arg:"subcommand:path" help:"latency through cairnwick and straight to the engine"`
	Capacity *capacityCommand `arg:"subcommand:capacity" help:"how what a daemon uses grows"`
	Bin      string           `arg:"--bin" default:"bin" help:"folder of the programs"`
}

// Description implements go-arg.
func (arguments) Description() string {
	return "cairn-measure: the figures of the documents, with real processes on loopback"
}

// run parses the command line and carries it out; it returns the exit code.
func run(args []string) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "cairn-measure"}, &a)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	p.MustParse(args)
	dir, err := os.MkdirTemp("", "cairn-measure-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch {
	case a.Path != nil:
		err = measure.Path{Bin: a.Bin, Dir: dir, Rate: a.Path.Rate, Each: a.Path.Each, Rounds: a.Path.Rounds}.Run(ctx, os.Stdout)
	case a.Blocked != nil:
		err = measure.Blocked{Bin: a.Bin, Dir: dir, Rate: a.Blocked.Rate, Each: a.Blocked.Each, Rounds: a.Blocked.Rounds}.Run(ctx, os.Stdout)
	case a.Capacity != nil:
		err = measure.Capacity{Bin: a.Bin, Dir: dir, Time: a.Capacity.Time, Only: a.Capacity.Only}.Run(ctx, os.Stdout)
	case a.Storm != nil:
		err = measure.Storm{Bin: a.Bin, Dir: dir, Time: a.Storm.Time, Seed: a.Storm.Seed, Rate: a.Storm.Rate, Limit: a.Storm.Limit, Backoff: a.Storm.Backoff}.Run(ctx, os.Stdout)
	case a.Restores != nil:
		err = measure.Restores{Bin: a.Bin, Dir: dir, Time: a.Restores.Time, Seed: a.Restores.Seed}.Run(ctx, os.Stdout)
	case a.Scarce != nil:
		err = measure.Scarce{Seed: a.Scarce.Seed, Time: a.Scarce.Time, Rate: a.Scarce.Rate}.Run(os.Stdout)
	case a.Where != nil:
		err = measure.Where{Logs: a.Where.Logs, Seconds: a.Where.Seconds}.Run(os.Stdout)
	case a.Future != nil:
		err = measure.Future{Logs: a.Future.Logs, Slots: a.Future.Slots, Rate: a.Future.Rate, Lead: a.Future.Lead}.Run(os.Stdout)
	case a.Policies != nil:
		q := a.Policies
		err = measure.Policies{
			Bin: a.Bin, Dir: dir, Time: q.Time, Warm: q.Warm, Seed: q.Seed,
			User: q.User, Workload: q.Workload, Only: q.Only, Report: q.Report, Plots: q.Plots,
		}.Run(ctx, os.Stdout)
	default:
		p.WriteUsage(os.Stderr)
		return 2
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
