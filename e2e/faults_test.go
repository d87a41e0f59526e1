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
		ts.Check(stateOf(ts).fleet.Signal(processName(ts, p), signals[args[0]]))
	}
}

// cmdRestartBox restarts boxes one after the other. It stops both daemons of a box at the same time, with SIGTERM:
// restartbox 1.1 1.2.
func cmdRestartBox(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	for _, at := range args {
		c, b := parsePosition(ts, at)
		exited := make(chan error, 2)
		for _, role := range []string{"gateway", "scheduler"} {
			go func() { exited <- state.fleet.Terminate(fleet.DaemonName(c, b, role), syscall.SIGTERM) }()
		}
		ts.Check(<-exited)
		ts.Check(<-exited)
		ts.Check(state.fleet.StartBox(c, b))
		ts.Check(state.fleet.WaitReady(context.Background()))
	}
}

// cmdSignalWait sends a signal to a process and waits for it to exit: signalwait kill scheduler1.1. After term, the
// exit code must be 0.
func cmdSignalWait(ts *testscript.TestScript, _ bool, args []string) {
	err := stateOf(ts).fleet.Terminate(processName(ts, args[1]), signals[args[0]])
	if args[0] == "term" {
		ts.Check(err)
	}
}

// cmdStart starts processes that have ended, and waits until all daemons are ready: start scheduler1.1 engine1.1.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	for _, p := range args {
		if at, found := strings.CutPrefix(p, "engine"); found {
			c, e := parsePosition(ts, at)
			ts.Check(state.fleet.StartEngine(c, e))
			continue
		}
		for _, role := range []string{"gateway", "scheduler"} {
			if at, found := strings.CutPrefix(p, role); found {
				c, b := parsePosition(ts, at)
				ts.Check(state.fleet.StartDaemon(c, b, role))
			}
		}
	}
	ts.Check(state.fleet.WaitReady(context.Background()))
}

// cmdControl sends a POST request to a control path of a stand-in: control engine1.1
// /control/restart.
func cmdControl(ts *testscript.TestScript, _ bool, args []string) {
	if at, isEngine := strings.CutPrefix(args[0], "engine"); isEngine { // it may still be starting
		c, n := parsePosition(ts, at)
		_, err := stateOf(ts).fleet.BootID(context.Background(), c, n)
		ts.Check(err)
	}
	ts.Check(fleet.Post(context.Background(), "http://"+resolveURL(ts, args[0]+args[1])))
}

// cmdLoad starts load in the background: load rate=50 duration=10s adapters=20
// tokens=8 keyed=yes explicit=yes anyversion=yes duplicate=yes balanced=yes gateways=1.1,2.1 seed=1.
// With keyed, some requests have idempotency keys; with duplicate, each of those is also sent through another
// gateway. With explicit, requests name the version; with anyversion, any version is accepted that the response
// names. With balanced, requests go only to gateways that report to be ready.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := parseOptions(args)
	state := stateOf(ts)
	d, err := time.ParseDuration(o["duration"])
	ts.Check(err)
	p := load.Plan{
		Rate:            float64(intOption(ts, o, "rate", 50)),
		Duration:        d,
		Seed:            uint64(intOption(ts, o, "seed", 1)),
		Adapters:        intOption(ts, o, "adapters", 10),
		Skew:            1.2,
		Timeout:         time.Minute,
		Health:          make(map[string]string),
		ExplicitVersion: o["explicit"] == "yes",
		Duplicate:       o["duplicate"] == "yes",
		AnyVersion:      o["anyversion"] == "yes",
	}
	tokens := intOption(ts, o, "tokens", 8)
	p.Kinds = []load.RequestKind{
		{Class: fleet.CounterClass, Caller: "till", Weight: 6, Tokens: tokens, Stream: true},
		{Class: fleet.CounterClass, Caller: "desk", Weight: 3, Tokens: tokens},
		{Class: fleet.NightClass, Caller: "office", Weight: 1, Tokens: tokens},
	}
	if o["keyed"] != "" {
		p.Kinds = append(p.Kinds, load.RequestKind{Class: fleet.CounterClass, Caller: "booking", Weight: 2, Tokens: tokens, WithKey: true})
	}
	for _, g := range strings.Split(o["gateways"], ",") {
		c, b := parsePosition(ts, g)
		p.Gateways = append(p.Gateways, state.fleet.CallersAddress(c, b))
		if o["balanced"] == "yes" {
			p.Health[state.fleet.CallersAddress(c, b)] = "http://" + state.fleet.OperatorsAddress(c, b, "gateway") + "/readyz"
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	state.cancelLoad = cancel
	state.loadReport = make(chan load.Report, 1)
	go func() { state.loadReport <- load.Run(ctx, p) }()
}

// cmdWaitLoad waits for the load to end and checks its report: waitload
// broken=0 unknown=0 notrun=0 complete=100 gap=2s. The value of complete is a minimum, the others are maxima. An
// incorrect response always fails the script.
func cmdWaitLoad(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := parseOptions(args)
	state := stateOf(ts)
	r := <-state.loadReport
	state.notRunIDs = append(state.notRunIDs, r.NotRunIDs...)
	text := fmt.Sprintf("sent=%d complete=%d notrun=%d unknown=%d broken=%d wrong=%d gap=%v codes=%v %v",
		r.Sent, r.Complete, r.NotRun, r.Unknown, r.Broken, r.Incorrect, r.LongestGap.Round(time.Millisecond), r.Codes, r.Errors)
	fmt.Fprintln(ts.Stdout(), text)
	ts.Logf("%s", text)
	checkMax := func(name string, n int) {
		if o[name] != "" && n > intOption(ts, o, name, 0) {
			ts.Fatalf("%s is %d, above its limit: %s", name, n, text)
		}
	}
	checkMax("broken", r.Broken)
	checkMax("unknown", r.Unknown)
	checkMax("notrun", r.NotRun)
	if r.Incorrect > 0 || r.Sent == 0 || r.Complete < intOption(ts, o, "complete", 1) {
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

// cmdViolations prints the sum of what engines and services observed. It fails if an invariant was violated.
// With !, there must be a violation.
func cmdViolations(ts *testscript.TestScript, neg bool, _ []string) {
	state := stateOf(ts)
	observed, err := state.fleet.Observations(context.Background())
	ts.Check(err)
	text := observed.Summary(state.notRunIDs)
	fmt.Fprintln(ts.Stdout(), text)
	if (observed.Violations(state.notRunIDs) > 0) != neg {
		ts.Fatalf("violations expected: %t, found: %s", neg, text)
	}
}

// cmdProxyRule adds a rule to the proxy: proxyrule hold dc1 dc2, proxyrule cut box1.1 engine1.1
// request=100 response=300 times=5 delay=10ms oneway=yes. A rule applies to connections from the first part to
// the second, so holding all traffic between two parts takes two rules. proxyrule clear removes all rules.
func cmdProxyRule(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	if args[0] == "clear" {
		state.proxyRules = nil
		ts.Check(state.fleet.SetRules(context.Background(), nil))
		return
	}
	o, rest := parseOptions(args)
	r, err := state.fleet.NewRule(rest[1], rest[2], rest[0])
	ts.Check(err)
	r.OneWay = o["oneway"] == "yes"
	r.CutAfter = intOption(ts, o, "request", 0)
	r.CutResponse = intOption(ts, o, "response", 0)
	r.Times = intOption(ts, o, "times", 0)
	if o["delay"] != "" {
		r.Delay, err = time.ParseDuration(o["delay"])
		ts.Check(err)
	}
	state.proxyRules = append(state.proxyRules, r)
	ts.Check(state.fleet.SetRules(context.Background(), state.proxyRules))
}

// cmdWaitOwner waits until an endpoint has an owner and sets OWNER to the position of its box, such as 1.2, and
// OTHER to that of another box of its data centre: waitowner engine1.1.
func cmdWaitOwner(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	name := processName(ts, args[0])
	centre, _ := parsePosition(ts, strings.TrimPrefix(args[0], "engine"))
	waitUntil(ts, 15*time.Second, "endpoint has no owner", func() string {
		for b := 1; b <= state.fleet.Spec.Boxes; b++ {
			if !isOwner(state, centre, b, name) {
				continue
			}
			ts.Setenv("OWNER", fmt.Sprintf("%d.%d", centre, b))
			ts.Setenv("OTHER", fmt.Sprintf("%d.%d", centre, b%state.fleet.Spec.Boxes+1))
			return ""
		}
		return name
	})
}

func isOwner(state *scriptState, centre, box int, endpoint string) bool {
	c, err := operator.New(&daemon.Identity{})
	if err != nil {
		return false
	}
	defer c.Close()
	list, _ := c.Status(context.Background(), []string{state.fleet.PeersAddress(centre, box, "scheduler")})
	for _, a := range list {
		for _, e := range a.GetEndpoints() {
			if e.GetName() == endpoint && strings.HasPrefix(e.GetState(), "owned") {
				return true
			}
		}
	}
	return false
}

func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdCairnctl runs cairnctl with the addresses of all daemons of the fleet.
func cmdCairnctl(ts *testscript.TestScript, neg bool, args []string) {
	daemons := strings.Join(stateOf(ts).fleet.DaemonAddresses(), ",")
	runProgram(ts, neg, "cairnctl", append([]string{"--daemons", daemons}, args...))
}

// cmdRun runs a program under test: run cairn-gateway --help.
func cmdRun(ts *testscript.TestScript, neg bool, args []string) {
	runProgram(ts, neg, args[0], args[1:])
}

func runProgram(ts *testscript.TestScript, neg bool, name string, args []string) {
	c := exec.Command(filepath.Join(binDir, name), args...)
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

// cmdWaitLog waits until the log of a process contains a text: waitlog scheduler1.1
// TEXT.
func cmdWaitLog(ts *testscript.TestScript, _ bool, args []string) {
	path := logPath(ts, processName(ts, args[0]))
	waitUntil(ts, 15*time.Second, "log of "+args[0]+" does not contain", func() string {
		raw, err := os.ReadFile(path)
		ts.Check(err)
		if strings.Contains(string(raw), args[1]) {
			return ""
		}
		return args[1]
	})
}

// cmdReachableEngines checks how many engines are still reachable: reachableengines 2.
func cmdReachableEngines(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	reachable := 0
	for c := 1; c <= state.fleet.Spec.Centres; c++ {
		for e := 1; e <= state.fleet.Spec.Engines; e++ {
			if _, err := fleet.Get(context.Background(), "http://"+state.fleet.EngineAddress(c, e)+"/control/counts"); err == nil {
				reachable++
			}
		}
	}
	if fmt.Sprint(reachable) != args[0] {
		ts.Fatalf("%d engines are reachable, want %s", reachable, args[0])
	}
}

// cmdWaitTerminations waits until a gateway has counted at least this many terminations of engines:
// waitterminations gateway1.1 2.
func cmdWaitTerminations(ts *testscript.TestScript, _ bool, args []string) {
	c, b := parsePosition(ts, strings.TrimPrefix(args[0], "gateway"))
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	waitUntil(ts, 15*time.Second, args[0]+" has counted too few terminations of engines, want at least", func() string {
		var terminations quarantine.TerminationCounts
		if err := json.Unmarshal(readMetrics(stateOf(ts).fleet.OperatorsAddress(c, b, "gateway"))["gateway_endpoint_ends"], &terminations); err != nil {
			return err.Error()
		}
		if terminations.Endpoints < int64(want) {
			return args[1]
		}
		return ""
	})
}
