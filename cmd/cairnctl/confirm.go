// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/kvstore"
	"cairnwick.example/operator"
	"cairnwick.example/plan"
	"github.com/pkg/errors"
)

// confirmCommand writes the documents of a plan that still holds, for the users
// to publish.
type confirmCommand struct {
	Plan string `arg:"positional,required" help:"file that plan --out wrote"`
	Dir  string `arg:"--dir,required" help:"folder for the documents; each file's path is its key"`
}

// followCommand waits until a published plan is in force.
type followCommand struct {
	Plan  string        `arg:"positional,required" help:"file that plan --out wrote"`
	Limit time.Duration `arg:"--limit" default:"12s" help:"longest wait"`
}

func readPlan(path string) (plan.Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return plan.Plan{}, errors.Wrap(err, "read plan")
	}
	return plan.Read(raw)
}

func (q *confirmCommand) run(ctx context.Context, c *operator.Client, addresses []string, out, errs io.Writer) int {
	p, err := readPlan(q.Plan)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitRefused
	}
	heads, silent := c.Heads(ctx, addresses)
	for a, h := range heads {
		if err := p.CheckBase(h.Revision(), h.Digest()); err != nil {
			fmt.Fprintf(errs, "%s: %v\n", a, err)
			return exitStale
		}
	}
	if len(heads) == 0 {
		return report(errs, silent)
	}
	files := map[string]string{kvstore.HeadKey: p.Head}
	for digest, text := range p.Shards {
		files[kvstore.ShardPrefix+digest] = text
	}
	for _, key := range slices.Sorted(maps.Keys(files)) {
		path := filepath.Join(q.Dir, key)
		if err := writeDocument(path, files[key]); err != nil {
			fmt.Fprintln(errs, err)
			return exitFailed
		}
		fmt.Fprintln(out, path)
	}
	fmt.Fprintln(out, "publish the shards first, then the head, each under its path as key; then: cairnctl follow", q.Plan)
	return report(errs, silent)
}

func writeDocument(path, text string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "write document")
	}
	return errors.Wrap(os.WriteFile(path, []byte(text), 0o644), "write document")
}

func (q *followCommand) run(ctx context.Context, c *operator.Client, addresses []string, out, errs io.Writer) int {
	p, err := readPlan(q.Plan)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitRefused
	}
	head, err := catalog.ParseHead([]byte(p.Head))
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitRefused
	}
	ctx, cancel := context.WithTimeout(ctx, q.Limit)
	defer cancel()
	begun := time.Now()
	behind, silent := c.WaitForHead(ctx, addresses, head)
	if len(behind) == 0 && len(silent) == 0 {
		fmt.Fprintf(out, "revision %d is in force on %d daemons after %s\n", head.Revision(), len(addresses), time.Since(begun).Round(100*time.Millisecond))
		return exitDone
	}
	lost := 0
	for a, h := range behind {
		fmt.Fprintf(errs, "%s has revision %d (%.12s)\n", a, h.Revision(), h.Digest())
		if h.Revision() >= head.Revision() {
			lost++
		}
	}
	if lost > 0 {
		fmt.Fprintln(errs, "another configuration on the same base won; make the plan again")
		return exitStale
	}
	if code := report(errs, silent); code != exitDone {
		return code
	}
	return exitBehind
}
