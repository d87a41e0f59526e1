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

var binDir string // directory of the programs under test

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds all programs, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cairn-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
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
			"fleet":            cmdFleet,
			"completion":       cmdCompletion,
			"http":             cmdHTTP,
			"disconnect":       cmdDisconnect,
			"keys":             cmdKeys,
			"signal":           cmdSignal,
			"signalwait":       cmdSignalWait,
			"start":            cmdStart,
			"control":          cmdControl,
			"publish":          cmdPublish,
			"waitrevision":     cmdWaitRevision,
			"load":             cmdLoad,
			"waitload":         cmdWaitLoad,
			"violations":       cmdViolations,
			"waitidle":         cmdWaitIdle,
			"sleep":            cmdSleep,
			"cairnctl":         cmdCairnctl,
			"run":              cmdRun,
			"waitlog":          cmdWaitLog,
			"metricatmost":     cmdMetricAtMost,
			"proxyrule":        cmdProxyRule,
			"restartbox":       cmdRestartBox,
			"waitmembers":      cmdWaitMembers,
			"publishfiles":     cmdPublishFiles,
			"sed":              cmdSed,
			"samehead":         cmdSameHead,
			"publishrivals":    cmdPublishRivals,
			"waitowner":        cmdWaitOwner,
			"startedge":        cmdStartEdge,
			"publishfile":      cmdPublishFile,
			"deletekey":        cmdDeleteKey,
			"send":             cmdSend,
			"waitresponse":     cmdWaitResponse,
			"metric":           cmdMetric,
			"waitmetric":       cmdWaitMetric,
			"sendload":         cmdSendLoad,
			"streams":          cmdStreams,
			"waitstreams":      cmdWaitStreams,
			"reachableengines": cmdReachableEngines,
			"waitterminations": cmdWaitTerminations,
		},
	})
}

// scriptState is the state of one script.
type scriptState struct {
	fleet      *fleet.Fleet
	client     fleet.Client
	loadReport chan load.Report // the report of the load in the background
	cancelLoad context.CancelFunc
	proxyRules []standin.Rule         // current rules of the proxy
	notRunIDs  []string               // IDs of requests that were rejected as not run
	response   chan sendResult        // the result of the request in the background
	streams    chan load.StreamCounts // of the streams in the background, once all have ended
}

type stateKey struct{}

func setup(e *testscript.Env) error {
	state := &scriptState{}
	e.Values[stateKey{}] = state
	users, err := filepath.Abs(filepath.Join("..", "fleet", "users"))
	if err != nil {
		return err
	}
	e.Setenv("BIN", binDir)
	e.Setenv("USERS", users) // files in the formats of the users' platform
	e.Defer(func() {
		if state.cancelLoad != nil {
			state.cancelLoad()
		}
		if state.fleet != nil {
			state.fleet.Stop()
		}
	})
	return nil
}

func stateOf(ts *testscript.TestScript) *scriptState { return ts.Value(stateKey{}).(*scriptState) }

// parseOptions separates NAME=VALUE arguments from the others. The values of a repeated name are joined by
// newlines; see optionValues.
func parseOptions(args []string) (map[string]string, []string) {
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

func intOption(ts *testscript.TestScript, o map[string]string, name string, fallback int) int {
	if o[name] == "" {
		return fallback
	}
	n, err := strconv.Atoi(o[name])
	ts.Check(err)
	return n
}

// optionValues returns the values of a repeated option.
func optionValues(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// cmdFleet starts a fleet: fleet centres=1 boxes=1 engines=1 adapters=10
// engine=--FLAG:VALUE platform=--FLAG:VALUE scheduler=NAME:VALUE gateway=NAME:VALUE common=NAME:VALUE.
// The flags are those of the engines and of the platform, the others are settings of the daemons.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := parseOptions(args)
	state := stateOf(ts)
	settings := func(text string) []string {
		list := optionValues(text)
		for i, s := range list {
			list[i] = strings.Replace(s, ":", "=", 1)
		}
		return list
	}
	flags := func(text string) []string {
		var list []string
		for _, s := range optionValues(text) {
			list = append(list, strings.SplitN(s, ":", 2)...)
		}
		return list
	}
	state.fleet = fleet.New(fleet.Spec{
		Bin:               binDir,
		Dir:               ts.MkAbs("."),
		Centres:           intOption(ts, o, "centres", 1),
		Boxes:             intOption(ts, o, "boxes", 1),
		Engines:           intOption(ts, o, "engines", 1),
		Services:          intOption(ts, o, "services", 0),
		Adapters:          intOption(ts, o, "adapters", 10),
		Slots:             intOption(ts, o, "slots", 4),
		BatchSize:         intOption(ts, o, "batch", 8),
		MemoryTokens:      intOption(ts, o, "memory", 0),
		NoFences:          o["fences"] == "no",
		Proxied:           o["proxied"] == "yes",
		TLS:               o["tls"] == "yes",
		EngineArgs:        flags(o["engine"]),
		PlatformArgs:      flags(o["platform"]),
		GatewaySettings:   settings(o["gateway"]),
		SchedulerSettings: settings(o["scheduler"]),
		CommonSettings:    settings(o["common"]),
	})
	ts.Check(state.fleet.Start(context.Background()))
}

// parsePosition parses the position of a box or an engine: data centre and number, such as 2.1. The default is 1.1.
func parsePosition(ts *testscript.TestScript, text string) (int, int) {
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

// processName returns the name of a process for its short name in scripts: gateway1.1,
// scheduler1.1, edge1.1, engine1.1, platform, service1.
func processName(ts *testscript.TestScript, short string) string {
	for _, role := range []string{"gateway", "scheduler", "edge"} {
		if at, found := strings.CutPrefix(short, role); found {
			c, b := parsePosition(ts, at)
			return fleet.DaemonName(c, b, role)
		}
	}
	if at, found := strings.CutPrefix(short, "engine"); found {
		c, e := parsePosition(ts, at)
		return fleet.EndpointName(c, e)
	}
	return short
}

func logPath(ts *testscript.TestScript, name string) string {
	return filepath.Join(ts.MkAbs("."), strings.ReplaceAll(name, "/", "-")+".log")
}
