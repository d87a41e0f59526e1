// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"net"
	"time"

	"cairnwick.example/clock"
	"github.com/pkg/errors"
)

// Task is a function that runs until its context ends.
type Task func(context.Context) error

// Run serves until ctx ends, then shuts down gracefully: the node becomes unready, the
// peers are notified, requests in flight finish, and the tasks stop.
func (n *Node) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp", n.values.Text(PeersListen))
	if err != nil {
		return errors.Wrap(err, "daemon: listen on peers' port")
	}
	operators, err := net.Listen("tcp", n.values.Text(OperatorsListen))
	if err != nil {
		return errors.Wrap(err, "daemon: listen on operators' port")
	}
	if err := clock.Check(); err != nil {
		n.Log.Info("Machine suspensions cannot be detected", "err", err.Error())
	}
	n.Log.Info("Starting daemon", "peers", peers.Addr().String(), "operators", operators.Addr().String(), "version", Version)
	taskCtx, cancelTasks := context.WithCancel(context.Background())
	defer cancelTasks()
	n.readBoxList(ctx)
	tasks := append([]Task{n.loop.Run, n.syncer.Run, n.BoxList.Run, n.join}, n.tasks...)
	tasks = append(tasks, n.operatorTask(operators), n.peerTask(peers))
	err = n.runTasks(ctx, taskCtx, cancelTasks, tasks)
	n.Dialer.Close()
	n.Log.Info("Daemon stopped")
	return err
}

// RunAll runs the tasks concurrently, waits until all have ended, and returns the first error.
func RunAll(ctx context.Context, tasks ...Task) error {
	ended := make(chan error, len(tasks))
	for _, t := range tasks {
		go func() { ended <- t(ctx) }()
	}
	return firstError(ended, len(tasks))
}

// firstError waits until the running tasks have ended and returns the first error.
func firstError(ended <-chan error, running int) error {
	var first error
	for range running {
		if err := <-ended; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// runTasks runs the tasks under taskCtx until one of them ends, or until ctx ends and the
// node has shut down. It then cancels taskCtx, waits for all tasks and returns the first
// error.
func (n *Node) runTasks(ctx, taskCtx context.Context, cancelTasks context.CancelFunc, tasks []Task) error {
	ended := make(chan error, len(tasks))
	for _, t := range tasks {
		go func() { ended <- t(taskCtx) }()
	}
	running := len(tasks)
	var err error
	select {
	case <-ctx.Done():
		n.shutdown(taskCtx)
	case err = <-ended:
		running--
	}
	cancelTasks()
	if e := firstError(ended, running); err == nil {
		err = e
	}
	return err
}

// shutdown drains the role, and waits until the peers are notified and no requests are in
// flight, or until the drain limit is reached.
func (n *Node) shutdown(ctx context.Context) {
	n.Log.Info("Shutting down")
	n.leaving.Store(true)
	n.ready.Store(false)
	n.Drain()
	n.Table.Leave() // after Drain, since peers that learn of it rely on the role having been drained
	drainTimeout := time.After(n.values.Duration(DrainLimit))
	notified := time.Now().Add(2 * n.values.Duration(Heartbeat)) // the peers know by then
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-drainTimeout:
			n.Log.Info("Drain limit reached with requests in flight")
			return
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if now.After(notified) && n.Drained() {
				return
			}
		}
	}
}

// state returns the node's lifecycle state for operators.
func (n *Node) state() string {
	switch {
	case n.leaving.Load():
		return "leaving"
	case n.ready.Load():
		return "ready"
	}
	return "starting"
}
