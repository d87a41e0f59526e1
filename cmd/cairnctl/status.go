// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"cairnwick.example/operator"
	"cairnwick.example/wire"
)

type statusCommand struct{}

func (s *statusCommand) run(ctx context.Context, c *operator.Client, addresses []string, out, errs io.Writer) int {
	list, unreachable := c.Status(ctx, addresses)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "BOX\tROLE\tDATA CENTRE\tSTATE\tREVISION\tMEMBERS SEEN")
	for _, a := range list {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\n", a.GetBox(), a.GetRole(), a.GetDataCentre(), a.GetState(), a.GetRevision(), aliveMembers(a))
	}
	fmt.Fprintln(t, "\nENDPOINT\tOWNER\tSTATE\tFENCE\tRUNNING\tWAITING\tSLOTS")
	for _, a := range list {
		for _, e := range a.GetEndpoints() {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%s\n", e.GetName(), a.GetBox(), e.GetState(), e.GetFence(),
				e.GetRunning(), e.GetLimit(), e.GetWaiting(), formatSlots(e))
		}
	}
	_ = t.Flush()
	return reportUnreachable(errs, unreachable)
}

func aliveMembers(a *wire.StatusReply) int {
	n := 0
	for _, m := range a.GetMembers() {
		if m.GetState() == wire.MemberState_MEMBER_STATE_ALIVE {
			n++
		}
	}
	return n
}

func formatSlots(e *wire.EndpointStatus) string {
	text := ""
	for _, s := range e.GetSlots() {
		text += fmt.Sprintf("%s(%s,%d) ", s.GetAdapter(), s.GetState(), s.GetGrants())
	}
	return text
}
