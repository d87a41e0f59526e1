// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"cairnwick.example/daemon"
	"cairnwick.example/operator"
	"github.com/alexflint/go-arg"
)

// The exit codes.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2 // invalid command line
	exitUnreachable = 3 // a daemon did not answer
	exitNotFound    = 4 // the request, or anything matching, was not found
	exitRefused     = 5 // the intent or the plan is invalid
	exitStale       = 6 // the configuration has changed since the plan was made
	exitBehind      = 7 // the plan did not take effect everywhere in time
)

type arguments struct {
	Status  *statusCommand  `arg:"subcommand:status" help:"show boxes, endpoints with their owners, and slots"`
	Explain *explainCommand `arg:"subcommand:explain" help:"explain the routing of a request"`
	Plan    *planCommand    `arg:"subcommand:plan" help:"plan a change and show its effects"`
	Confirm *confirmCommand `arg:"subcommand:confirm" help:"write the documents of a plan for publishing"`
	Follow  *followCommand  `arg:"subcommand:follow" help:"wait until a published plan is in force"`
	Key     *keyCommand     `arg:"subcommand:key" help:"print a new key for a non-idempotent request"`
	Story   *storyCommand   `arg:"subcommand:story" help:"show from logs what happened to a request, or count the causes of failed requests"`
	Balance *balanceCommand `arg:"subcommand:balance" help:"show how leaders balance requests by work, from the metrics of boxes"`
	Watch   *watchCommand   `arg:"subcommand:watch" help:"follow decisions as they are made"`
	Cert    string          `arg:"--tls-certificate" help:"file with the operator's certificate, PEM"`
	CertKey string          `arg:"--tls-key" help:"file with its key, PEM"`
	Root    string          `arg:"--tls-authority" help:"file with the certificate authority of the daemons, PEM"`
	Daemons string          `arg:"--daemons,env:CAIRN_DAEMONS" help:"comma-separated peer addresses of daemons" placeholder:"IP:PORT,..."`
}

// Version implements go-arg.
func (arguments) Version() string { return "cairnctl " + daemon.Version }

// Description implements go-arg.
func (arguments) Description() string {
	return "cairnctl: inspect the daemons of cairnwick and plan changes of their configuration"
}

// command is a subcommand that contacts daemons. Its run returns the exit code.
type command interface {
	run(ctx context.Context, c *operator.Client, addresses []string, out, errs io.Writer) int
}

// run parses the command line, runs the subcommand and returns the exit code.
func run(args []string, out, errs io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "cairnctl"}, &a)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	switch err := p.Parse(args); {
	case err == arg.ErrHelp:
		p.WriteHelp(out)
		return exitDone
	case err == arg.ErrVersion:
		fmt.Fprintln(out, a.Version())
		return exitDone
	case err != nil:
		p.WriteUsage(errs)
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	if a.Story != nil {
		return a.Story.execute(os.Stdin, out, errs)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if a.Balance != nil {
		return a.Balance.execute(ctx, out, errs)
	}
	selected := a.subcommand()
	if selected == nil || a.Daemons == "" {
		p.WriteUsage(errs)
		fmt.Fprintln(errs, "give a command, and --daemons or CAIRN_DAEMONS")
		return exitUsage
	}
	c, err := operator.New(&daemon.Identity{Certificate: a.Cert, Key: a.CertKey, Authority: a.Root})
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	defer c.Close()
	return selected.run(ctx, c, strings.Split(a.Daemons, ","), out, errs)
}

// subcommand returns the subcommand that was given, or nil.
func (a *arguments) subcommand() command {
	switch {
	case a.Status != nil:
		return a.Status
	case a.Explain != nil:
		return a.Explain
	case a.Watch != nil:
		return a.Watch
	case a.Key != nil:
		return a.Key
	case a.Plan != nil:
		return a.Plan
	case a.Confirm != nil:
		return a.Confirm
	case a.Follow != nil:
		return a.Follow
	}
	return nil
}

// reportUnreachable prints the daemons that did not answer and returns the matching exit code.
func reportUnreachable(errs io.Writer, unreachable []operator.Unreachable) int {
	for _, s := range unreachable {
		fmt.Fprintf(errs, "no answer from %s: %v\n", s.Address, s.Cause)
	}
	if len(unreachable) > 0 {
		return exitUnreachable
	}
	return exitDone
}
