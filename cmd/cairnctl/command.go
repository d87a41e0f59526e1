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
	exitUsage       = 2 // the command line does not hold
	exitUnreachable = 3 // a daemon gave no answer
	exitNotFound    = 4 // nobody knows what was asked for
	exitRefused     = 5 // the intent or the plan does not hold
	exitStale       = 6 // the configuration has moved on since the plan
	exitBehind      = 7 // not in force everywhere in time
)

type arguments struct {
	Status  *statusCommand  `arg:"subcommand:status" help:"show boxes, owners, endpoints and slots"`
	Explain *explainCommand `arg:"subcommand:explain" help:"tell why a request went where it did"`
	Plan    *planCommand    `arg:"subcommand:plan" help:"state an intent and see what it would move"`
	Confirm *confirmCommand `arg:"subcommand:confirm" help:"write the documents of a plan, to be published"`
	Follow  *followCommand  `arg:"subcommand:follow" help:"wait until a published plan is in force"`
	Key     *keyCommand     `arg:"subcommand:key" help:"print a fresh key for a request that is not repeatable"`
	Story   *storyCommand   `arg:"subcommand:story" help:"tell from logs what happened to a request, or count why requests failed"`
	Watch   *watchCommand   `arg:"subcommand:watch" help:"follow decisions as they are made"`
	Cert    string          `arg:"--tls-certificate" help:"file with the operator's certificate, PEM"`
	CertKey string          `arg:"--tls-key" help:"file with its key, PEM"`
	Root    string          `arg:"--tls-authority" help:"file with the authority of the daemons' certificates, PEM"`
	Daemons string          `arg:"--daemons,env:CAIRN_DAEMONS" help:"peers' addresses of daemons, with commas" placeholder:"IP:PORT,..."`
}

// Version implements go-arg.
func (arguments) Version() string { return "cairnctl " + daemon.Version }

// Description implements go-arg.
func (arguments) Description() string {
	return "cairnctl: see what the daemons of cairnwick hold and decide"
}

// command is one subcommand.
type command interface {
	run(ctx context.Context, c *operator.Client, addresses []string, out, errs io.Writer) int
}

// run parses the command line and carries it out.
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
		return a.Story.tell(os.Stdin, out, errs)
	}
	chosen := a.chosen()
	if chosen == nil || a.Daemons == "" {
		p.WriteUsage(errs)
		fmt.Fprintln(errs, "give a command, and --daemons or CAIRN_DAEMONS")
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c, err := operator.New(&daemon.Identity{Certificate: a.Cert, Key: a.CertKey, Authority: a.Root})
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	defer c.Close()
	return chosen.run(ctx, c, strings.Split(a.Daemons, ","), out, errs)
}

// chosen returns the subcommand that was given, or nil.
func (a *arguments) chosen() command {
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

// report names the daemons that gave no answer.
func report(errs io.Writer, silent []operator.Unreachable) int {
	for _, s := range silent {
		fmt.Fprintf(errs, "no answer from %s: %v\n", s.Address, s.Cause)
	}
	if len(silent) > 0 {
		return exitUnreachable
	}
	return exitDone
}
