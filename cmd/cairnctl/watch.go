// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"cairnwick.example/operator"
	"cairnwick.example/wire"
)

type watchCommand struct {
	Class    string `arg:"--class" help:"show only this class"`
	Adapter  string `arg:"--adapter" help:"show only this adapter@version"`
	Endpoint string `arg:"--endpoint" help:"show only this endpoint"`
	Reason   string `arg:"--reason" help:"show only this reason, such as AFTER_LOAD"`
}

func (q *watchCommand) run(ctx context.Context, c *operator.Client, addresses []string, out, errs io.Writer) int {
	filter := &wire.WatchRequest{Class: q.Class, Adapter: q.Adapter, Endpoint: q.Endpoint}
	if q.Reason != "" {
		r, ok := wire.Reason_value["REASON_"+q.Reason]
		if !ok {
			fmt.Fprintf(errs, "--reason %s: unknown reason\n", q.Reason)
			return exitUsage
		}
		filter.Reason = wire.Reason(r)
	}
	decisions := make(chan *wire.Decision, 256)
	ended := make(chan error, len(addresses))
	for _, a := range addresses {
		go func() {
			ended <- c.Watch(ctx, a, filter, func(d *wire.Decision) { decisions <- d })
		}()
	}
	active := len(addresses)
	for active > 0 {
		select {
		case d := <-decisions:
			at := time.UnixMicro(d.GetUnixMicros()).Format("15:04:05.000")
			fmt.Fprintf(out, "%s %s %s %s %s %s %s %s\n", at, d.GetBox(), d.GetStep(), d.GetRequest(), d.GetAdapter(), d.GetEndpoint(), d.GetReason(), d.GetDetail())
		case err := <-ended:
			active--
			if ctx.Err() == nil {
				fmt.Fprintln(errs, "watch of a daemon ended:", err)
			}
		}
	}
	if ctx.Err() == nil {
		return exitUnreachable
	}
	return exitDone
}
