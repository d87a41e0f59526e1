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

// cmdPublish publishes a changed configuration: publish live=ADAPTER:VERSION
// drain=ENDPOINT serve=ENDPOINT.
func cmdPublish(ts *testscript.TestScript, _ bool, args []string) {
	o, _ := options(args)
	w := worldOf(ts)
	shards := w.fleet.Shards()
	changeShards(ts, shards, o)
	ts.Check(w.fleet.Publish(context.Background(), shards))
}

// changeShards changes a configuration as a script says.
func changeShards(ts *testscript.TestScript, shards map[string]catalog.Shard, o map[string]string) {
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
		ts.Fatalf("nothing to change by %v", o)
	}
}

// cmdInForce waits until every daemon that answers has the revision published
// last, at most the given time: inforce 12s.
func cmdInForce(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	want := fmt.Sprint(w.fleet.Head().Revision())
	begun := time.Now()
	await(ts, limit, "revision "+want+" is not in force", func() string {
		behind := ""
		eachDaemon(w, func(c, b int, role string) {
			v := vars(w.fleet.OperatorsAddress(c, b, role))
			if v != nil && string(v["cairn_revision"]) != want {
				behind = fmt.Sprintf("%s has %s", fleet.DaemonName(c, b, role), v["cairn_revision"])
			}
		})
		return behind
	})
	ts.Logf("in force everywhere after %v", time.Since(begun).Round(10*time.Millisecond))
}

// cmdRace publishes two configurations on the same base, one after the other:
// race live=ADAPTER:1 live=ADAPTER:2 pause=100ms.
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	base := w.fleet.Head()
	for _, a := range args {
		o, _ := options([]string{a})
		if o["pause"] != "" {
			d, err := time.ParseDuration(o["pause"])
			ts.Check(err)
			time.Sleep(d)
			continue
		}
		shards := w.fleet.Shards()
		changeShards(ts, shards, o)
		_, err := w.fleet.PublishOn(context.Background(), base, shards)
		ts.Check(err)
	}
}

// cmdAgree checks that every daemon has the same head in force.
func cmdAgree(ts *testscript.TestScript, _ bool, _ []string) {
	w := worldOf(ts)
	seen := make(map[string][]string)
	eachDaemon(w, func(c, b int, role string) {
		v := vars(w.fleet.OperatorsAddress(c, b, role))
		digest := string(v["cairn_head"])
		seen[digest] = append(seen[digest], fleet.DaemonName(c, b, role))
	})
	if len(seen) != 1 {
		ts.Fatalf("different heads are in force: %v", seen)
	}
}

// cmdPut publishes the documents under a folder, the head last, each under its
// path as key: put documents.
func cmdPut(ts *testscript.TestScript, _ bool, args []string) {
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
	return worldOf(ts).fleet.Put(context.Background(), key, raw)
}

// cmdSed replaces a text in a file and writes another: sed s/OLD/NEW/ FROM TO.
func cmdSed(ts *testscript.TestScript, _ bool, args []string) {
	parts := strings.Split(args[0], "/")
	text := ts.ReadFile(args[1])
	if !strings.Contains(text, parts[1]) {
		ts.Fatalf("%s has no %q", args[1], parts[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[2]), []byte(strings.Replace(text, parts[1], parts[2], 1)), 0o600))
}
