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

var bin string // directory of the programs under test

func TestMain(m *testing.M) { os.Exit(build(m)) }

// build builds all programs, runs the tests and returns the exit code.
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

// world is the state of one script.
type world struct {
	fleet  *fleet.Fleet
	caller fleet.Client
	loads  chan load.Report // the report of the load in the background
	cancel context.CancelFunc
	rules  []standin.Rule // current rules of the proxy
	notRun []string       // IDs of requests that were rejected as not run
	sent   chan sent      // the result of the request in the background
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
	e.Setenv("USERS", users) // files in the formats of the users' platform
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

// options separates NAME=VALUE arguments from the others. The values of a repeated name are joined by
// newlines; see lines.
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

// lines returns the values of a repeated option.
func lines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// cmdFleet starts a fleet: fleet centres=1 boxes=1 engines=1 adapters=10
// engine=--FLAG:VALUE store=--FLAG:VALUE scheduler=NAME:VALUE gateway=NAME:VALUE both=NAME:VALUE.
// The flags are those of the engines and of the platform, the others are settings of the daemons.
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

// place parses the position of a box or an engine: data centre and number, such as 2.1. The default is 1.1.
func place(ts *testscript.TestScript, text string) (int, int) {
	if text == "" {
		return 1, 1
	}
	c, n, found := strings.Cut(text, ".")
	if !found {
		ts.Fatalf("position %q is not CENTRE.NUMBER", text)
	}
	centre, err := strconv.Atoi(c)
	ts.Check(err)
	i, err := strconv.Atoi(n)
	ts.Check(err)
	return centre, i
}

// process returns the name of a process for its short name in scripts: gateway1.1,
// scheduler1.1, edge1.1, engine1.1, platform, service1.
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
