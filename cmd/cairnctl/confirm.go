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

// confirmCommand writes the documents of a plan for the users to publish, if the plan is still
// based on the current configuration.
type confirmCommand struct {
	Plan string `arg:"positional,required" help:"file written by plan --out"`
	Dir  string `arg:"--dir,required" help:"directory for the documents; each file's path is its key"`
}

// followCommand waits until a published plan is in force on all daemons.
type followCommand struct {
	Plan  string        `arg:"positional,required" help:"file written by plan --out"`
	Limit time.Duration `arg:"--limit" default:"12s" help:"maximum time to wait"`
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
	heads, unreachable := c.Heads(ctx, addresses)
	for a, h := range heads {
		if err := p.CheckBase(h.Revision(), h.Digest()); err != nil {
			fmt.Fprintf(errs, "%s: %v\n", a, err)
			return exitStale
		}
	}
	if len(heads) == 0 {
		return reportUnreachable(errs, unreachable)
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
	fmt.Fprintln(out, "publish the shards first, then the head, each with its path as key; then run: cairnctl follow", q.Plan)
	return reportUnreachable(errs, unreachable)
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
	start := time.Now()
	behind, unreachable := c.WaitForHead(ctx, addresses, head)
	if len(behind) == 0 && len(unreachable) == 0 {
		fmt.Fprintf(out, "revision %d is in force on %d daemons after %s\n", head.Revision(), len(addresses), time.Since(start).Round(100*time.Millisecond))
		return exitDone
	}
	superseded := 0
	for a, h := range behind {
		fmt.Fprintf(errs, "%s has revision %d (%.12s)\n", a, h.Revision(), h.Digest())
		if h.Revision() >= head.Revision() {
			superseded++
		}
	}
	if superseded > 0 {
		fmt.Fprintln(errs, "another configuration on the same base won; make a new plan")
		return exitStale
	}
	if code := reportUnreachable(errs, unreachable); code != exitDone {
		return code
	}
	return exitBehind
}
