// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"context"
	"encoding/json"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"cairnwick.example/fleet"
	"github.com/frankban/quicktest"
)

func readPage(c *quicktest.C, name string) string {
	raw, err := os.ReadFile(filepath.Join("..", "docs", name))
	c.Assert(err, quicktest.IsNil)
	return string(raw)
}

func TestSettingsPageIsCurrent(t *testing.T) {
	c := quicktest.New(t)
	for _, program := range []string{"cairn-gateway", "cairn-scheduler"} {
		table, err := exec.Command(filepath.Join(binDir, program), "--reference").Output()
		c.Assert(err, quicktest.IsNil)
		c.Assert(readPage(c, "SETTINGS.md"), quicktest.Contains, string(table), quicktest.Commentf("run make reference to update it"))
	}
}

// Guards against man pages that lack options and commands which the programs have, or describe others.
func TestManPagesNameAllOptions(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	option, command := regexp.MustCompile(`--[a-z][a-z-]*`), regexp.MustCompile(`(?m)^  ([a-z]+) +[a-z]`)
	for _, program := range []string{"cairn-gateway", "cairn-scheduler", "cairnctl"} {
		help := helpText(c, program)
		var commands []string
		if _, list, found := strings.Cut(help, "Commands:\n"); found {
			for _, m := range command.FindAllStringSubmatch(list, -1) {
				commands = append(commands, m[1])
				help += helpText(c, program, m[1])
			}
		}
		for _, m := range command.FindAllStringSubmatch(help, -1) { // also the commands of a command
			commands = append(commands, m[1])
		}
		page := strings.ReplaceAll(readPage(c, filepath.Join("man", program+".1")), `\-`, "-")
		for _, name := range commands {
			c.Check(page, quicktest.Matches, `(?s).*\b`+name+`\b.*`)
		}
		described := uniqueMatches(option, page)
		delete(described, "--base") // of the intent create
		c.Check(described, quicktest.DeepEquals, uniqueMatches(option, help), quicktest.Commentf("%s", program))
	}
}

func helpText(c *quicktest.C, program string, command ...string) string {
	out, err := exec.Command(filepath.Join(binDir, program), append(command, "--help")...).Output()
	c.Assert(err, quicktest.IsNil)
	return string(out)
}

func uniqueMatches(e *regexp.Regexp, text string) map[string]bool {
	found := make(map[string]bool)
	for _, m := range e.FindAllString(text, -1) {
		found[m] = true
	}
	return found
}

func TestMetricsPageIsCurrent(t *testing.T) {
	c := quicktest.New(t)
	f := startFleet(c, fleet.Spec{Centres: 1, Boxes: 1, Engines: 1, Adapters: 2})
	exported := make(map[string]bool)
	for _, role := range []string{"gateway", "scheduler"} {
		raw, err := fleet.Get(context.Background(), "http://"+f.OperatorsAddress(1, 1, role)+"/debug/vars")
		c.Assert(err, quicktest.IsNil)
		v := make(map[string]json.RawMessage)
		c.Assert(json.Unmarshal(raw, &v), quicktest.IsNil)
		for n := range v {
			if n != "cmdline" && n != "memstats" {
				exported[n] = true
			}
		}
	}
	described := make(map[string]bool)
	for _, m := range regexp.MustCompile("`((?:cairn|gateway|scheduler)_[a-z_]+)`").FindAllStringSubmatch(readPage(c, "OPERATIONS.md"), -1) {
		described[m[1]] = true
	}
	c.Assert(slices.Sorted(maps.Keys(described)), quicktest.DeepEquals, slices.Sorted(maps.Keys(exported)))
}

func TestWalkthroughCommandsRun(t *testing.T) {
	c := quicktest.New(t)
	f := startFleet(c, fleet.Walkthrough())
	environment := append(os.Environ(),
		"PATH="+binDir+":"+os.Getenv("PATH"),
		"CAIRN_DAEMONS="+strings.Join(f.DaemonAddresses(), ","),
		"GATEWAY=http://"+f.CallersAddress(1, 1),
		"PLATFORM=http://"+f.PlatformAddress(),
		"ENGINE=http://"+f.EngineAddress(1, 1))
	var commands []string
	for _, line := range strings.Split(readPage(c, "WALKTHROUGH.md"), "\n") {
		if command, found := strings.CutPrefix(line, "    $ "); found {
			commands = append(commands, command)
		}
	}
	c.Assert(len(commands) > 8, quicktest.IsTrue)
	run := exec.Command("sh", "-e", "-u", "-x", "-c", strings.Join(commands, "\n"))
	run.Env, run.Dir = environment, c.TempDir()
	out, err := run.CombinedOutput()
	c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", out))
}

// startFleet starts a fleet and stops it at the end of the test.
func startFleet(c *quicktest.C, s fleet.Spec) *fleet.Fleet {
	s.Bin, s.Dir = binDir, c.TempDir()
	s.Slots, s.BatchSize = max(s.Slots, 2), max(s.BatchSize, 4)
	f := fleet.New(s)
	c.Cleanup(f.Stop)
	c.Assert(f.Start(context.Background()), quicktest.IsNil)
	return f
}
