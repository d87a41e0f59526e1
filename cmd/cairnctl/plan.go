// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"cairnwick.example/operator"
	"cairnwick.example/plan"
	"cairnwick.example/wire"
)

// planCommand makes a plan for one intended change and prints it. It changes nothing.
type planCommand struct {
	Live     *liveArgs     `arg:"subcommand:live" help:"make a version live"`
	Create   *createArgs   `arg:"subcommand:create" help:"create an adapter or a version"`
	Retire   *retireArgs   `arg:"subcommand:retire" help:"remove an adapter or a version"`
	Priority *priorityArgs `arg:"subcommand:priority" help:"set an adapter's priority for staying loaded"`
	Wait     *waitArgs     `arg:"subcommand:wait" help:"set the maximum wait of a class"`
	Drain    *nameArgs     `arg:"subcommand:drain" help:"take an endpoint or a data centre out of use"`
	Undrain  *nameArgs     `arg:"subcommand:undrain" help:"put an endpoint or a data centre back into use"`
	Move     *moveArgs     `arg:"subcommand:move" help:"assign another base model to a drained endpoint"`
	Out      string        `arg:"--out" help:"write the plan to this file, for confirm" placeholder:"FILE"`
	JSON     bool          `arg:"--json" help:"print the plan as JSON"`
	Rate     float64       `arg:"--store-rate" default:"9" help:"loads per second that the store allows"`
}

type liveArgs struct {
	Adapter string `arg:"positional,required"`
	Version string `arg:"positional,required"`
}

type createArgs struct {
	Adapter string `arg:"positional,required"`
	Version string `arg:"positional,required"`
	Path    string `arg:"positional,required" help:"path of the version in the store"`
	Base    string `arg:"--base" help:"base model of a new adapter"`
}

type retireArgs struct {
	Adapter string `arg:"positional,required"`
	Version string `arg:"positional" help:"one version; default: the whole adapter"`
}

type priorityArgs struct {
	Adapter  string `arg:"positional,required"`
	Priority int    `arg:"positional,required"`
}

type waitArgs struct {
	Class string        `arg:"positional,required"`
	Wait  time.Duration `arg:"positional,required"`
}

type nameArgs struct {
	Name string `arg:"positional,required" help:"an endpoint or a data centre"`
}

type moveArgs struct {
	Endpoint string `arg:"positional,required"`
	Base     string `arg:"positional,required"`
}

// intent returns the intent given on the command line, or nil.
func (p *planCommand) intent() plan.Intent {
	switch {
	case p.Live != nil:
		return plan.SetLive{Adapter: p.Live.Adapter, Version: p.Live.Version}
	case p.Create != nil:
		return plan.CreateVersion{Adapter: p.Create.Adapter, Version: p.Create.Version, Path: p.Create.Path, Base: p.Create.Base}
	case p.Retire != nil:
		return plan.Retire{Adapter: p.Retire.Adapter, Version: p.Retire.Version}
	case p.Priority != nil:
		return plan.SetPriority{Adapter: p.Priority.Adapter, Priority: p.Priority.Priority}
	case p.Wait != nil:
		return plan.SetMaxWait{Class: p.Wait.Class, Wait: p.Wait.Wait}
	case p.Drain != nil:
		return plan.Drain{Name: p.Drain.Name}
	case p.Undrain != nil:
		return plan.Drain{Name: p.Undrain.Name, Undrain: true}
	case p.Move != nil:
		return plan.SetBase{Endpoint: p.Move.Endpoint, Base: p.Move.Base}
	}
	return nil
}

func (p *planCommand) run(ctx context.Context, c *operator.Client, addresses []string, out, errs io.Writer) int {
	intent := p.intent()
	if intent == nil {
		fmt.Fprintln(errs, "no intent given: use live, create, retire, priority, wait, drain, undrain or move")
		return exitUsage
	}
	head, shards, err := c.Configuration(ctx, addresses)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitUnreachable
	}
	status, unreachable := c.Status(ctx, addresses)
	result, err := plan.New(intent, plan.Snapshot{Head: head, Shards: shards, LoadedAdapters: loadedAdapters(status), LoadRate: p.Rate, Now: time.Now()})
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitRefused
	}
	raw, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	if p.Out != "" {
		if err := os.WriteFile(p.Out, append(raw, '\n'), 0o644); err != nil {
			fmt.Fprintln(errs, err)
			return exitFailed
		}
	}
	if p.JSON {
		fmt.Fprintf(out, "%s\n", raw)
	} else {
		result.Print(out)
	}
	return reportUnreachable(errs, unreachable)
}

// loadedAdapters returns the adapters held by each endpoint, as reported by its owner.
func loadedAdapters(status []*wire.StatusReply) map[string][]string {
	at := make(map[string][]string)
	for _, a := range status {
		for _, e := range a.GetEndpoints() {
			for _, s := range e.GetSlots() {
				at[e.GetName()] = append(at[e.GetName()], s.GetAdapter())
			}
		}
	}
	return at
}
