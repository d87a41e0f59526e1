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

// show starts three data centres, sends requests and tells one decision as a
// story.
func show(w io.Writer, bin string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	spec := fleet.Spec{Centres: 3, Boxes: 1, Engines: 2, Services: 1, Adapters: 100, Slots: 4, Batch: 8}
	fmt.Fprintln(w, "Starting three data centres: a gateway, a scheduler and two engines in each, the platform and a plain service.")
	return withFleet(ctx, bin, spec, func(f *fleet.Fleet) error {
		last, err := askSome(ctx, w, f)
		if err != nil {
			return err
		}
		return tell(ctx, w, f, last)
	})
}

// askSome sends requests of several kinds and returns the id of the last one.
func askSome(ctx context.Context, w io.Writer, f *fleet.Fleet) (string, error) {
	var c fleet.Caller
	adapter := fleet.AdapterName(7)
	asks := []fleet.Ask{
		{Address: f.CallersAddress(1, 1), Model: adapter, Expect: adapter + "@2", Tokens: 4},
		{Address: f.CallersAddress(2, 1), Model: adapter + "@1", Expect: adapter + "@1", Tokens: 4, Stream: true},
		{Address: f.CallersAddress(3, 1), Model: "no-such-adapter", Tokens: 4},
		{Address: f.CallersAddress(1, 1), Model: adapter + "@live", Expect: adapter + "@2", Tokens: 4, Stream: true},
	}
	request := ""
	for _, a := range asks {
		r, err := c.Do(ctx, a)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(w, "\nasked %s for %s\n", a.Address, a.Model)
		if r.Code != "" {
			fmt.Fprintf(w, "refused with status %d: %s, %s\n", r.Status, r.Code, r.Ran)
			continue
		}
		if err := r.Check(a.Expect, a.Tokens); err != nil {
			return "", err
		}
		request = r.Request
		fmt.Fprintf(w, "answered in %s by %s on %s: %s\n", r.Duration.Round(time.Millisecond),
			r.Header.Get("Cairn-Endpoint"), r.Header.Get("Cairn-Model"), r.Text)
	}
	return request, nil
}

// tell prints the story of one request.
func tell(ctx context.Context, w io.Writer, f *fleet.Fleet, request string) error {
	fmt.Fprintf(w, "\nWhy request %s went where it did:\n", request)
	c, err := operator.New(&daemon.Identity{})
	if err != nil {
		return err
	}
	defer c.Close()
	found, _ := c.Explain(ctx, f.Daemons(), request)
	if len(found) == 0 {
		return errors.New("demo: no daemon remembers the request")
	}
	operator.PrintDecisions(w, found)
	return nil
}
