// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/fleet"
	"cairnwick.example/load"
	"cairnwick.example/operator"
	"cairnwick.example/quarantine"
	"github.com/rogpeppe/go-internal/testscript"
)

var signals = map[string]syscall.Signal{
	"kill":   syscall.SIGKILL,
	"term":   syscall.SIGTERM,
	"freeze": syscall.SIGSTOP,
	"thaw":   syscall.SIGCONT,
}

// cmdSignal sends a signal to processes without waiting for an effect: signal freeze scheduler1.1.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	for _, p := range args[1:] {
		ts.Check(worldOf(ts).fleet.Signal(process(ts, p), signals[args[0]]))
	}
}

// cmdReplace restarts boxes one after the other. It stops both daemons of a box at the same time, with SIGTERM:
// replace 1.1 1.2.
func cmdReplace(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	for _, at := range args {
		c, b := place(ts, at)
		ended := make(chan error, 2)
		for _, role := range []string{"gateway", "scheduler"} {
			go func() { ended <- w.fleet.Terminate(fleet.DaemonName(c, b, role), syscall.SIGTERM) }()
		}
		ts.Check(<-ended)
		ts.Check(<-ended)
		ts.Check(w.fleet.StartBox(c, b))
		ts.Check(w.fleet.WaitReady(context.Background()))
	}
}

// cmdEnd sends a signal to a process and waits for it to exit: end kill scheduler1.1. After term, the
// exit code must be 0.
func cmdEnd(ts *testscript.TestScript, _ bool, args []string) {
	err := worldOf(ts).fleet.Terminate(process(ts, args[1]), signals[args[0]])
	if args[0] == "term" {
		ts.Check(err)
	}
}

// cmdStart starts processes that have ended, and waits until all daemons are ready: start scheduler1.1 engine1.1.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	for _, p := range args {
		if at, found := strings.CutPrefix(p, "engine"); found {
			c, e := place(ts, at)
			ts.Check(w.fleet.StartEngine(c, e))
			continue
		}
		for _, role := range []string{"gateway", "scheduler"} {
			if at, found := strings.CutPrefix(p, role); found {
				c, b := place(ts, at)
				ts.Check(w.fleet.StartDaemon(c, b, role))
			}
		}
	}
	ts.Check(w.fleet.WaitReady(context.Background()))
}

// cmdControl sends a POST request to a control path of a stand-in: control engine1.1
// /control/restart.
func cmdControl(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(fleet.Post(context.Background(), "http://"+address(ts, args[0]+args[1])))
}

// cmdLoad starts load in the background: load rate=50 for=10s adapters=20
// tokens=8 keyed=yes explicit=yes alias=yes twice=yes balanced=yes gateways=1.1,2.1 seed=1.
// With keyed, some requests have idempotency keys; with twice, each of those is also sent through another
// gateway. With explicit, requests name the version; with alias, any version is accepted that the response
// names. With balanced, requests go only to gateways that report to be ready.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := options(args)
	w := worldOf(ts)
	d, err := time.ParseDuration(o["for"])
	ts.Check(err)
	p := load.Plan{
		Rate:            float64(number(ts, o, "rate", 50)),
		Duration:        d,
		Seed:            uint64(number(ts, o, "seed", 1)),
		Adapters:        number(ts, o, "adapters", 10),
		Skew:            1.2,
		Timeout:         time.Minute,
		Health:          make(map[string]string),
		ExplicitVersion: o["explicit"] == "yes",
		Duplicate:       o["twice"] == "yes",
		AnyVersion:      o["alias"] == "yes",
	}
	tokens := number(ts, o, "tokens", 8)
	p.Kinds = []load.RequestKind{
		{Class: fleet.CounterClass, Caller: "till", Weight: 6, Tokens: tokens, Stream: true},
		{Class: fleet.CounterClass, Caller: "desk", Weight: 3, Tokens: tokens},
		{Class: fleet.NightClass, Caller: "office", Weight: 1, Tokens: tokens},
	}
	if o["keyed"] != "" {
		p.Kinds = append(p.Kinds, load.RequestKind{Class: fleet.CounterClass, Caller: "booking", Weight: 2, Tokens: tokens, WithKey: true})
	}
	for _, g := range strings.Split(o["gateways"], ",") {
		c, b := place(ts, g)
		p.Gateways = append(p.Gateways, w.fleet.CallersAddress(c, b))
		if o["balanced"] == "yes" {
			p.Health[w.fleet.CallersAddress(c, b)] = "http://" + w.fleet.OperatorsAddress(c, b, "gateway") + "/readyz"
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.loads = make(chan load.Report, 1)
	go func() { w.loads <- load.Run(ctx, p) }()
}

// cmdJoinLoad waits for the load to end and checks its report: joinload
// broken=0 unknown=0 notrun=0 whole=100 gap=2s. The value of whole is a minimum, the others are maxima. An
// incorrect response always fails the script.
func cmdJoinLoad(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := options(args)
	w := worldOf(ts)
	r := <-w.loads
	w.notRun = append(w.notRun, r.NotRunIDs...)
	text := fmt.Sprintf("sent=%d whole=%d notrun=%d unknown=%d broken=%d wrong=%d gap=%v codes=%v %v",
		r.Sent, r.Complete, r.NotRun, r.Unknown, r.Broken, r.Incorrect, r.LongestGap.Round(time.Millisecond), r.Codes, r.Errors)
	fmt.Fprintln(ts.Stdout(), text)
	ts.Logf("%s", text)
	most := func(name string, n int) {
		if o[name] != "" && n > number(ts, o, name, 0) {
			ts.Fatalf("%s is %d, above its limit: %s", name, n, text)
		}
	}
	most("broken", r.Broken)
	most("unknown", r.Unknown)
	most("notrun", r.NotRun)
	if r.Incorrect > 0 || r.Sent == 0 || r.Complete < number(ts, o, "whole", 1) {
		ts.Fatalf("%s", text)
	}
	if o["gap"] != "" {
		limit, err := time.ParseDuration(o["gap"])
		ts.Check(err)
		if r.LongestGap > limit {
			ts.Fatalf("the longest gap is above %v: %s", limit, text)
		}
	}
}

// cmdBreaches prints the sum of what engines and services observed. It fails if an invariant was violated.
// With !, there must be a violation.
func cmdBreaches(ts *testscript.TestScript, neg bool, _ []string) {
	w := worldOf(ts)
	seen, err := w.fleet.Observations(context.Background())
	ts.Check(err)
	text := seen.Summary(w.notRun)
	fmt.Fprintln(ts.Stdout(), text)
	if (seen.Violations(w.notRun) > 0) != neg {
		ts.Fatalf("violations expected: %t, found: %s", neg, text)
	}
}

// cmdNet adds a rule to the proxy: net hold dc1 dc2, net cut box1.1 engine1.1
// after=100 answer=300 times=5 delay=10ms oneway=yes. A rule applies to connections from the first part to
// the second, so holding all traffic between two parts takes two rules. net clear removes all rules.
func cmdNet(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	if args[0] == "clear" {
		w.rules = nil
		ts.Check(w.fleet.SetRules(context.Background(), nil))
		return
	}
	o, rest := options(args)
	r, err := w.fleet.NewRule(rest[1], rest[2], rest[0])
	ts.Check(err)
	r.OneWay = o["oneway"] == "yes"
	r.CutAfter = number(ts, o, "after", 0)
	r.CutResponse = number(ts, o, "answer", 0)
	r.Times = number(ts, o, "times", 0)
	if o["delay"] != "" {
		r.Delay, err = time.ParseDuration(o["delay"])
		ts.Check(err)
	}
	w.rules = append(w.rules, r)
	ts.Check(w.fleet.SetRules(context.Background(), w.rules))
}

// cmdOwner waits until an endpoint has an owner and sets OWNER to the position of its box, such as 1.2, and
// OTHER to that of another box of its data centre: owner engine1.1.
func cmdOwner(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	name := process(ts, args[0])
	centre, _ := place(ts, strings.TrimPrefix(args[0], "engine"))
	await(ts, 15*time.Second, "endpoint has no owner", func() string {
		for b := 1; b <= w.fleet.Spec.Boxes; b++ {
			if !owns(w, centre, b, name) {
				continue
			}
			ts.Setenv("OWNER", fmt.Sprintf("%d.%d", centre, b))
			ts.Setenv("OTHER", fmt.Sprintf("%d.%d", centre, b%w.fleet.Spec.Boxes+1))
			return ""
		}
		return name
	})
}

func owns(w *world, centre, box int, endpoint string) bool {
	c, err := operator.New(&daemon.Identity{})
	if err != nil {
		return false
	}
	defer c.Close()
	list, _ := c.Status(context.Background(), []string{w.fleet.PeersAddress(centre, box, "scheduler")})
	for _, a := range list {
		for _, e := range a.GetEndpoints() {
			if e.GetName() == endpoint && strings.HasPrefix(e.GetState(), "owned") {
				return true
			}
		}
	}
	return false
}

func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdCairnctl runs cairnctl with the addresses of all daemons of the fleet.
func cmdCairnctl(ts *testscript.TestScript, neg bool, args []string) {
	daemons := strings.Join(worldOf(ts).fleet.DaemonAddresses(), ",")
	runProgram(ts, neg, "cairnctl", append([]string{"--daemons", daemons}, args...))
}

// cmdProgram runs a program under test: program cairn-gateway --help.
func cmdProgram(ts *testscript.TestScript, neg bool, args []string) {
	runProgram(ts, neg, args[0], args[1:])
}

func runProgram(ts *testscript.TestScript, neg bool, name string, args []string) {
	c := exec.Command(filepath.Join(bin, name), args...)
	c.Dir = ts.MkAbs(".")
	var out, errs bytes.Buffer
	c.Stdout, c.Stderr = &out, &errs
	err := c.Run()
	_, _ = ts.Stdout().Write(out.Bytes())
	_, _ = ts.Stderr().Write(errs.Bytes())
	fmt.Fprintf(ts.Stdout(), "exit=%d\n", c.ProcessState.ExitCode())
	if (err != nil) != neg {
		ts.Fatalf("%s: %v\n%s", name, err, errs.String())
	}
}

// cmdEventually waits until the log of a process contains a text: eventually scheduler1.1
// TEXT.
func cmdEventually(ts *testscript.TestScript, _ bool, args []string) {
	path := logPath(ts, process(ts, args[0]))
	await(ts, 15*time.Second, "log of "+args[0]+" does not contain", func() string {
		raw, err := os.ReadFile(path)
		ts.Check(err)
		if strings.Contains(string(raw), args[1]) {
			return ""
		}
		return args[1]
	})
}

// cmdEnginesLeft checks how many engines are still reachable: enginesleft 2.
func cmdEnginesLeft(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	left := 0
	for c := 1; c <= w.fleet.Spec.Centres; c++ {
		for e := 1; e <= w.fleet.Spec.Engines; e++ {
			if _, err := fleet.Get(context.Background(), "http://"+w.fleet.EngineAddress(c, e)+"/control/counts"); err == nil {
				left++
			}
		}
	}
	if fmt.Sprint(left) != args[0] {
		ts.Fatalf("%d engines are reachable, want %s", left, args[0])
	}
}

// cmdEndsSeen waits until a gateway has counted at least this many terminations of engines: endsseen gateway1.1 2.
func cmdEndsSeen(ts *testscript.TestScript, _ bool, args []string) {
	c, b := place(ts, strings.TrimPrefix(args[0], "gateway"))
	wanted, err := strconv.Atoi(args[1])
	ts.Check(err)
	await(ts, 15*time.Second, args[0]+" has counted too few terminations of engines, want at least", func() string {
		var ends quarantine.TerminationCounts
		if err := json.Unmarshal(vars(worldOf(ts).fleet.OperatorsAddress(c, b, "gateway"))["gateway_endpoint_ends"], &ends); err != nil {
			return err.Error()
		}
		if ends.Endpoints < int64(wanted) {
			return args[1]
		}
		return ""
	})
}
