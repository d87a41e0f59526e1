// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/fleet"
	"cairnwick.example/kvstore"
	"github.com/rogpeppe/go-internal/testscript"
)

// cmdPublish publishes the configuration of the fleet with the changes that the options describe: publish
// live=ADAPTER:VERSION drain=ENDPOINT.
func cmdPublish(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := parseOptions(args)
	state := stateOf(ts)
	shards := state.fleet.Shards()
	applyChanges(ts, shards, o)
	ts.Check(state.fleet.Publish(context.Background(), shards))
}

// applyChanges applies a script's options to a configuration. It fails the script if one or more options are
// given and none matches.
func applyChanges(ts *testscript.TestScript, shards map[string]catalog.Shard, o map[string]string) {
	changed := len(o) == 0
	for _, s := range shards {
		for i, a := range s.Adapters {
			if version, found := strings.CutPrefix(o["live"], a.Name+":"); found {
				s.Adapters[i].Aliases[catalog.LiveAlias] = version
				changed = true
			}
		}
		for i, e := range s.Endpoints {
			if e.Name == o["drain"] {
				s.Endpoints[i].State = catalog.Draining
				changed = true
			}
		}
	}
	if !changed {
		ts.Fatalf("no adapter or endpoint matches %v", o)
	}
}

// cmdWaitRevision waits until every reachable daemon runs the revision that was published
// last, for at most the given time: waitrevision 12s.
func cmdWaitRevision(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	want := fmt.Sprint(state.fleet.Head().Revision())
	start := time.Now()
	waitUntil(ts, limit, "revision "+want+" is not active on every daemon", func() string {
		outdated := ""
		forEachDaemon(state, func(c, b int, role string) {
			v := readMetrics(state.fleet.OperatorsAddress(c, b, role))
			if v != nil && string(v["cairn_revision"]) != want {
				outdated = fmt.Sprintf("%s has %s", fleet.DaemonName(c, b, role), v["cairn_revision"])
			}
		})
		return outdated
	})
	ts.Logf("active on every daemon after %v", time.Since(start).Round(10*time.Millisecond))
}

// cmdPublishRivals publishes conflicting configurations: all are successors of the same one. It publishes them
// in the given order, with pauses: publishrivals live=ADAPTER:1 pause=100ms live=ADAPTER:2.
func cmdPublishRivals(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	base := state.fleet.Head()
	for _, a := range args {
		o, _ := parseOptions([]string{a})
		if o["pause"] != "" {
			d, err := time.ParseDuration(o["pause"])
			ts.Check(err)
			time.Sleep(d)
			continue
		}
		shards := state.fleet.Shards()
		applyChanges(ts, shards, o)
		_, err := state.fleet.PublishOn(context.Background(), base, shards)
		ts.Check(err)
	}
}

// cmdSameHead checks that every daemon runs the configuration with the same head.
func cmdSameHead(ts *testscript.TestScript, _ bool, _ []string) {
	state := stateOf(ts)
	seen := make(map[string][]string)
	forEachDaemon(state, func(c, b int, role string) {
		v := readMetrics(state.fleet.OperatorsAddress(c, b, role))
		digest := string(v["cairn_head"])
		seen[digest] = append(seen[digest], fleet.DaemonName(c, b, role))
	})
	if len(seen) != 1 {
		ts.Fatalf("daemons run configurations with different heads: %v", seen)
	}
}

// cmdPublishFiles publishes the documents in a directory, the head last. The key of each is its
// path relative to the directory: publishfiles documents.
func cmdPublishFiles(ts *testscript.TestScript, _ bool, args []string) {
	dir := ts.MkAbs(args[0])
	head := ""
	ts.Check(filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		key, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		if key == kvstore.HeadKey {
			head = path
			return nil
		}
		return putFile(ts, key, path)
	}))
	ts.Check(putFile(ts, kvstore.HeadKey, head))
}

func putFile(ts *testscript.TestScript, key, path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return stateOf(ts).fleet.Put(context.Background(), key, raw)
}

// cmdSed replaces the first occurrence of a text in a file and writes the result to another file:
// sed s/OLD/NEW/ FROM TO.
func cmdSed(ts *testscript.TestScript, _ bool, args []string) {
	parts := strings.Split(args[0], "/")
	text := ts.ReadFile(args[1])
	if !strings.Contains(text, parts[1]) {
		ts.Fatalf("%s does not contain %q", args[1], parts[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[2]), []byte(strings.Replace(text, parts[1], parts[2], 1)), 0o600))
}
