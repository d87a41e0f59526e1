// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/fleet"
	"cairnwick.example/operator"
	"github.com/pkg/errors"
)

const demoTimeout = 2 * time.Minute

// runDemo starts three data centres, sends requests and explains the routing of the last one.
func runDemo(w io.Writer, bin string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	spec := fleet.Spec{Centres: 3, Boxes: 1, Engines: 2, Services: 1, Adapters: 100, Slots: 4, BatchSize: 8}
	fmt.Fprintln(w, "Starting three data centres: a gateway, a scheduler and two engines in each, the platform and a plain service.")
	return withFleet(ctx, bin, spec, func(f *fleet.Fleet) error {
		last, err := sendRequests(ctx, w, f)
		if err != nil {
			return err
		}
		return printDecisions(ctx, w, f, last)
	})
}

// sendRequests sends requests of several kinds and returns the id of the last one served.
func sendRequests(ctx context.Context, w io.Writer, f *fleet.Fleet) (string, error) {
	var c fleet.Client
	adapter := fleet.AdapterName(7)
	requests := []fleet.Request{
		{Address: f.CallersAddress(1, 1), Model: adapter, Expect: adapter + "@2", Tokens: 4},
		{Address: f.CallersAddress(2, 1), Model: adapter + "@1", Expect: adapter + "@1", Tokens: 4, Stream: true},
		{Address: f.CallersAddress(3, 1), Model: "no-such-adapter", Tokens: 4},
		{Address: f.CallersAddress(1, 1), Model: adapter + "@live", Expect: adapter + "@2", Tokens: 4, Stream: true},
	}
	lastID := ""
	for _, ask := range requests {
		reply, err := c.Do(ctx, ask)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(w, "\nrequest to %s for %s\n", ask.Address, ask.Model)
		if reply.Code != "" {
			fmt.Fprintf(w, "refused with status %d: %s, %s\n", reply.Status, reply.Code, reply.Execution)
			continue
		}
		if err := reply.Validate(ask.Expect, ask.Tokens); err != nil {
			return "", err
		}
		lastID = reply.RequestID
		fmt.Fprintf(w, "served in %s by %s with %s: %s\n", reply.Duration.Round(time.Millisecond),
			reply.Header.Get("Cairn-Endpoint"), reply.Header.Get("Cairn-Model"), reply.Text)
	}
	return lastID, nil
}

// printDecisions prints the decisions that were made about one request.
func printDecisions(ctx context.Context, w io.Writer, f *fleet.Fleet, request string) error {
	fmt.Fprintf(w, "\nRouting of request %s:\n", request)
	c, err := operator.New(&daemon.Identity{})
	if err != nil {
		return err
	}
	defer c.Close()
	found, _ := c.Explain(ctx, f.DaemonAddresses(), request)
	if len(found) == 0 {
		return errors.Errorf("demo: request %s not found on any daemon", request)
	}
	operator.PrintDecisions(w, found)
	return nil
}
