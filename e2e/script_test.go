// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"cairnwick.example/fleet"
	"cairnwick.example/load"
	"cairnwick.example/standin"
	"github.com/rogpeppe/go-internal/testscript"
)

var bin string // folder of the programs under test

func TestMain(m *testing.M) { os.Exit(build(m)) }

// build builds every program and runs the tests.
func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cairn-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	out, err := exec.Command("go", "build", "-o", dir, "cairnwick.example/cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":       cmdFleet,
			"ask":         cmdAsk,
			"call":        cmdCall,
			"hangup":      cmdHangup,
			"keys":        cmdKeys,
			"signal":      cmdSignal,
			"end":         cmdEnd,
			"start":       cmdStart,
			"control":     cmdControl,
			"publish":     cmdPublish,
			"inforce":     cmdInForce,
			"load":        cmdLoad,
			"joinload":    cmdJoinLoad,
			"breaches":    cmdBreaches,
			"idle":        cmdIdle,
			"pause":       cmdPause,
			"cairnctl":    cmdCairnctl,
			"program":     cmdProgram,
			"eventually":  cmdEventually,
			"countatmost": cmdCountAtMost,
			"net":         cmdNet,
			"replace":     cmdReplace,
			"settled":     cmdSettled,
			"put":         cmdPut,
			"sed":         cmdSed,
			"agree":       cmdAgree,
			"race":        cmdRace,
			"owner":       cmdOwner,
			"edge":        cmdEdge,
			"fact":        cmdFact,
			"remove":      cmdRemove,
			"send":        cmdSend,
			"answered":    cmdAnswered,
			"metric":      cmdMetric,
			"press":       cmdPress,
			"enginesleft": cmdEnginesLeft,
			"endsseen":    cmdEndsSeen,
		},
	})
}

// world is what one script works on.
type world struct {
	fleet  *fleet.Fleet
	caller fleet.Client
	loads  chan load.Report // of the load that runs in the background
	cancel context.CancelFunc
	rules  []standin.Rule // of the proxy
	notRun []string       // ids of requests that were refused as not run
	sent   chan sent      // of the request that runs in the background
}

type worldKey struct{}

func setup(e *testscript.Env) error {
	w := &world{}
	e.Values[worldKey{}] = w
	users, err := filepath.Abs(filepath.Join("..", "fleet", "users"))
	if err != nil {
		return err
	}
	e.Setenv("BIN", bin)
	e.Setenv("USERS", users) // files in the form of the users' platform
	e.Defer(func() {
		if w.cancel != nil {
			w.cancel()
		}
		if w.fleet != nil {
			w.fleet.Stop()
		}
	})
	return nil
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

// options reads NAME=VALUE arguments; the rest is returned too.
func options(args []string) (map[string]string, []string) {
	o := make(map[string]string)
	var rest []string
	for _, a := range args {
		name, value, found := strings.Cut(a, "=")
		if !found {
			rest = append(rest, a)
			continue
		}
		if old, twice := o[name]; twice {
			value = old + "\n" + value
		}
		o[name] = value
	}
	return o, rest
}

func number(ts *testscript.TestScript, o map[string]string, name string, otherwise int) int {
	if o[name] == "" {
		return otherwise
	}
	n, err := strconv.Atoi(o[name])
	ts.Check(err)
	return n
}

// lines splits a repeated option.
func lines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// cmdFleet starts a fleet: fleet centres=1 boxes=1 engines=1 adapters=10
// engine=--flag scheduler=NAME:VALUE gateway=NAME:VALUE both=NAME:VALUE.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := options(args)
	w := worldOf(ts)
	settings := func(text string) []string {
		list := lines(text)
		for i, s := range list {
			list[i] = strings.Replace(s, ":", "=", 1)
		}
		return list
	}
	flags := func(text string) []string {
		var list []string
		for _, s := range lines(text) {
			list = append(list, strings.SplitN(s, ":", 2)...)
		}
		return list
	}
	w.fleet = fleet.New(fleet.Spec{
		Bin:               bin,
		Dir:               ts.MkAbs("."),
		Centres:           number(ts, o, "centres", 1),
		Boxes:             number(ts, o, "boxes", 1),
		Engines:           number(ts, o, "engines", 1),
		Services:          number(ts, o, "services", 0),
		Adapters:          number(ts, o, "adapters", 10),
		Slots:             number(ts, o, "slots", 4),
		BatchSize:         number(ts, o, "batch", 8),
		NoFences:          o["fences"] == "no",
		Proxied:           o["proxied"] == "yes",
		TLS:               o["tls"] == "yes",
		EngineArgs:        flags(o["engine"]),
		PlatformArgs:      flags(o["store"]),
		GatewaySettings:   settings(o["gateway"]),
		SchedulerSettings: settings(o["scheduler"]),
		CommonSettings:    settings(o["both"]),
	})
	ts.Check(w.fleet.Start(context.Background()))
}

// place reads a box or an engine such as 2.1, data centre and number.
func place(ts *testscript.TestScript, text string) (int, int) {
	if text == "" {
		return 1, 1
	}
	c, n, found := strings.Cut(text, ".")
	if !found {
		ts.Fatalf("%q: write CENTRE.NUMBER", text)
	}
	centre, err := strconv.Atoi(c)
	ts.Check(err)
	i, err := strconv.Atoi(n)
	ts.Check(err)
	return centre, i
}

// process turns the scripts' short names into process names: gateway1.1,
// scheduler1.1, engine1.1, platform, service1.
func process(ts *testscript.TestScript, short string) string {
	for _, role := range []string{"gateway", "scheduler", "edge"} {
		if at, found := strings.CutPrefix(short, role); found {
			c, b := place(ts, at)
			return fleet.DaemonName(c, b, role)
		}
	}
	if at, found := strings.CutPrefix(short, "engine"); found {
		c, e := place(ts, at)
		return fleet.EndpointName(c, e)
	}
	return short
}

func logPath(ts *testscript.TestScript, name string) string {
	return filepath.Join(ts.MkAbs("."), strings.ReplaceAll(name, "/", "-")+".log")
}
