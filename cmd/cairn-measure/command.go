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
	"github.com/pkg/errors"
)

type pathCommand struct {
	Rate   int           `arg:"--rate" default:"500" help:"requests per second"`
	Each   time.Duration `arg:"--each" default:"4s" help:"duration of one phase"`
	Rounds int           `arg:"--rounds" default:"3" help:"phases of each variant"`
}

type capacityCommand struct {
	Time time.Duration `arg:"--time" default:"8s" help:"measuring time of one point"`
	Only string        `arg:"--sweep" help:"run only this sweep; default: all"`
}

type stormCommand struct {
	Time time.Duration `arg:"--time" default:"3m" help:"duration of the load"`
	Seed uint64        `arg:"--seed" default:"1" help:"seed of faults and load"`
	Rate float64       `arg:"--rate" default:"40" help:"requests per second"`

	Limit    float64 `arg:"--limit" default:"0" help:"requests per second that one engine of each data centre announces as its limit; 0: no limit"`
	Backoff  float64 `arg:"--backoff" default:"0" help:"back-off in seconds that one engine of each data centre asks for whenever it rejects a request; it rejects all; 0: none does"`
	Repeats  float64 `arg:"--repeats" default:"0" help:"share of their responses, to any call, that one engine of each data centre and the services send once more, in the place of the next one"`
	HideIDs  bool    `arg:"--hide-request-ids" help:"no engine returns the IDs of requests"`
	Refusals float64 `arg:"--late-refusals" default:"0" help:"share of their requests that one engine of each data centre and the services refuse after they began, with responses that prove nothing"`
	Uneven   bool    `arg:"--uneven" help:"engines of unlike speed, some of which turn slow and recover, and callers of three kinds; reports each kind"`
}

type restoresCommand struct {
	Time time.Duration `arg:"--time" default:"1m" help:"duration of the run"`
	Seed uint64        `arg:"--seed" default:"1" help:"seed of the steps"`
}

type versionsCommand struct {
	Time time.Duration `arg:"--time" default:"1m" help:"duration of the streams"`
	Seed uint64        `arg:"--seed" default:"1" help:"seed of the faults"`
	Rate float64       `arg:"--rate" default:"20" help:"streams per second"`

	Restart       string        `arg:"--restart" help:"replace all engines, and then kill boxes at the same moment: all, half, or those of a data centre (centre)"`
	LongestReturn time.Duration `arg:"--longest-return" help:"longest time until callers come back for the rest of a stream [default: 200 ms]"`
}

// run checks the arguments and runs the command.
func (c *versionsCommand) run(ctx context.Context, bin, dir string) error {
	switch c.Restart {
	case "", measure.RestartAll, measure.RestartHalf, measure.RestartCentre:
	default:
		return errors.Errorf("--restart %q: use %s, %s or %s", c.Restart, measure.RestartAll, measure.RestartHalf, measure.RestartCentre)
	}
	return measure.SoftwareVersions{
		Bin: bin, Dir: dir, Time: c.Time, Seed: c.Seed, Rate: c.Rate, Restart: c.Restart, LongestReturn: c.LongestReturn,
	}.Run(ctx, os.Stdout)
}

type baseModelsCommand struct {
	Time  time.Duration `arg:"--time" default:"12s" help:"duration of one run"`
	Seed  uint64        `arg:"--seed" default:"1" help:"first seed of the faults"`
	Seeds int           `arg:"--seeds" default:"1" help:"number of runs, each with the next seed"`
	Boxes int           `arg:"--boxes" default:"7" help:"boxes of all data centres together"`
}

type executionsCommand struct {
	Time      time.Duration `arg:"--time" default:"20s" help:"duration of the load of one run"`
	Seed      uint64        `arg:"--seed" default:"1" help:"first seed of faults and load"`
	Seeds     int           `arg:"--seeds" default:"1" help:"number of runs, each with the next seed"`
	Boxes     int           `arg:"--boxes" default:"7" help:"boxes of all data centres together"`
	Endpoints int           `arg:"--endpoints" default:"12" help:"endpoints of both services together"`
	Adapters  int           `arg:"--adapters" default:"0" help:"number of adapters; 0: each is held by one model server alone; 5: by all of them"`
	Rate      float64       `arg:"--rate" default:"300" help:"requests per second"`
	Attempts  int           `arg:"--attempts" default:"1" help:"max_attempts of the routes whose requests may be executed at most once"`
	Faults    []string      `arg:"--faults" help:"kinds of faults: copies, overload, unproven, resets, half-closes, silences, freezes, kills, takeovers, missing-adapters, boxes, crashing-part, release, broken-responses; default: all"`
	Copies    float64       `arg:"--copies" default:"0.1" help:"share of responses that are sent again"`
	CopyForms []string      `arg:"--copy-forms" help:"forms of copies: late, at-once, part, several, timer; default: all"`
	Unproven  float64       `arg:"--unproven" default:"0.02" help:"share of executed requests that get 408, 429 or 503 without a proof that they were not executed"`
}

type policiesCommand struct {
	Time     time.Duration `arg:"--time" default:"30s" help:"duration of one run"`
	Warm     time.Duration `arg:"--warm" default:"15s" help:"duration of the warm-up before each run"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the load"`
	User     string        `arg:"--user" help:"nursery or boundaries; default: both"`
	Workload string        `arg:"--workload" help:"run only this workload; default: all"`
	Only     []string      `arg:"--policies,separate" help:"run only this set of policies; can be repeated; default: all"`
	Report   string        `arg:"--report" help:"file for the JSON report"`
	Plots    string        `arg:"--plots" help:"directory for an SVG plot of each workload"`
}

type futureCommand struct {
	Logs  []string      `arg:"positional" help:"debug logs of all boxes; default: standard input"`
	Slots int           `arg:"--slots,required" help:"adapter slots of all endpoints together"`
	Rate  float64       `arg:"--rate,required" help:"loads per second that the store allows"`
	Lead  time.Duration `arg:"--lead" default:"10s" help:"how long before the first request loads may start"`
}

type whereCommand struct {
	Logs    []string `arg:"positional" help:"debug logs of all boxes; default: standard input"`
	Seconds bool     `arg:"--seconds" help:"also print a table by second"`
}

type scarceCommand struct {
	Seed uint64        `arg:"--seed" default:"1" help:"seed of the requests"`
	Time time.Duration `arg:"--time" default:"40s" help:"simulated time"`
	Rate float64       `arg:"--rate" default:"55" help:"requests per second"`
}

type blockedCommand struct {
	Rate   int           `arg:"--rate" default:"27" help:"requests per second, every second one refused; the default is twice the peak rate of a box"`
	Each   time.Duration `arg:"--each" default:"10s" help:"duration of one phase"`
	Rounds int           `arg:"--rounds" default:"3" help:"phases of each kind"`
}

type arguments struct {
	Blocked    *blockedCommand    `arg:"subcommand:blocked" help:"compare latency while the log's reader reads and while it is blocked"`
	Scarce     *scarceCommand     `arg:"subcommand:scarce" help:"simulate adapter placement with few slots and long prompts"`
	Where      *whereCommand      `arg:"subcommand:where" help:"break down request latency by cause, from logs"`
	Future     *futureCommand     `arg:"subcommand:future" help:"compute the bound of an offline optimal policy, from logs"`
	Policies   *policiesCommand   `arg:"subcommand:policies" help:"compare the default policies with baselines on the users' deployments"`
	Storm      *stormCommand      `arg:"subcommand:storm" help:"inject mixed faults under load and check the guarantees at the stand-ins"`
	Restores   *restoresCommand   `arg:"subcommand:restores" help:"restore the store from older backups while boxes fail and restart"`
	BaseModels *baseModelsCommand `arg:"subcommand:base-models" help:"restart engines that have room for one of two base models while boxes fail and answers are lost, and check that none is ordered beyond its memory"`
	Executions *executionsCommand `arg:"subcommand:executions" help:"fail endpoints and boxes under load and check that no refused request was executed and none twice"`
	Versions   *versionsCommand   `arg:"subcommand:versions" help:"replace engines by other software versions while boxes fail, and check that no stream is mixed"`
	Path       *pathCommand       `arg:"subcommand:path" help:"compare latency through cairnwick with direct requests to the engine"`
	Capacity   *capacityCommand   `arg:"subcommand:capacity" help:"measure how the resource usage of daemons scales"`
	Bin        string             `arg:"--bin" default:"bin" help:"directory of the programs"`
}

// Description implements go-arg.
func (arguments) Description() string {
	return "cairn-measure: benchmarks, fault-injection runs and log analyses; runs real processes on loopback"
}

// run parses the command line, runs the subcommand and returns the exit code.
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
		err = measure.Path{Bin: a.Bin, Dir: dir, Rate: a.Path.Rate, PhaseDuration: a.Path.Each, Rounds: a.Path.Rounds}.Run(ctx, os.Stdout)
	case a.Blocked != nil:
		err = measure.BlockedOutput{Bin: a.Bin, Dir: dir, Rate: a.Blocked.Rate, PhaseDuration: a.Blocked.Each, Rounds: a.Blocked.Rounds}.Run(ctx, os.Stdout)
	case a.Capacity != nil:
		err = measure.Capacity{Bin: a.Bin, Dir: dir, Time: a.Capacity.Time, Only: a.Capacity.Only}.Run(ctx, os.Stdout)
	case a.Storm != nil:
		err = measure.FaultInjection{Bin: a.Bin, Dir: dir, Time: a.Storm.Time, Seed: a.Storm.Seed, Rate: a.Storm.Rate, Limit: a.Storm.Limit, Backoff: a.Storm.Backoff, Uneven: a.Storm.Uneven, Repeats: a.Storm.Repeats, HidesRequestIDs: a.Storm.HideIDs, LateRefusals: a.Storm.Refusals}.Run(ctx, os.Stdout)
	case a.Restores != nil:
		err = measure.StoreRestores{Bin: a.Bin, Dir: dir, Time: a.Restores.Time, Seed: a.Restores.Seed}.Run(ctx, os.Stdout)
	case a.Versions != nil:
		err = a.Versions.run(ctx, a.Bin, dir)
	case a.BaseModels != nil:
		err = measure.BaseModels{Bin: a.Bin, Dir: dir, Time: a.BaseModels.Time, Seed: a.BaseModels.Seed, Seeds: a.BaseModels.Seeds, Boxes: a.BaseModels.Boxes}.Run(ctx, os.Stdout)
	case a.Executions != nil:
		q := a.Executions
		err = measure.Executions{
			Bin: a.Bin, Dir: dir, Time: q.Time, Seed: q.Seed, Seeds: q.Seeds, Boxes: q.Boxes, Endpoints: q.Endpoints, Adapters: q.Adapters, Rate: q.Rate,
			Attempts: q.Attempts, Faults: q.Faults, Copies: q.Copies, CopyForms: q.CopyForms, Unproven: q.Unproven,
		}.Run(ctx, os.Stdout)
	case a.Scarce != nil:
		err = measure.PlacementSimulation{Seed: a.Scarce.Seed, Time: a.Scarce.Time, Rate: a.Scarce.Rate}.Run(os.Stdout)
	case a.Where != nil:
		err = measure.LatencyBreakdown{Logs: a.Where.Logs, Seconds: a.Where.Seconds}.Run(os.Stdout)
	case a.Future != nil:
		err = measure.OfflineBound{Logs: a.Future.Logs, Slots: a.Future.Slots, Rate: a.Future.Rate, Lead: a.Future.Lead}.Run(os.Stdout)
	case a.Policies != nil:
		q := a.Policies
		err = measure.Policies{
			Bin: a.Bin, Dir: dir, Time: q.Time, WarmUp: q.Warm, Seed: q.Seed,
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
