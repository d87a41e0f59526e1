// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"net"
	"time"

	"cairnwick.example/clock"
	"github.com/pkg/errors"
)

// Task is something that runs until its context ends.
type Task func(context.Context) error

// Run serves until ctx ends, then leaves in order: readiness goes false, the
// peers are told, what is held ends, and then the process.
func (n *Node) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp", n.values.Text(PeersListen))
	if err != nil {
		return errors.Wrap(err, "daemon: peers' port")
	}
	operators, err := net.Listen("tcp", n.values.Text(OperatorsListen))
	if err != nil {
		return errors.Wrap(err, "daemon: operators' port")
	}
	if err := clock.Check(); err != nil {
		n.Log.Info("Suspensions of the machine are not counted", "err", err.Error())
	}
	n.Log.Info("Daemon starts", "peers", peers.Addr().String(), "operators", operators.Addr().String(), "version", Version)
	taskCtx, cancelTasks := context.WithCancel(context.Background())
	defer cancelTasks()
	n.readBoxList(ctx)
	tasks := append([]Task{n.loop.Run, n.syncer.Run, n.BoxList.Run, n.join}, n.tasks...)
	tasks = append(tasks, n.operatorTask(operators), n.peerTask(peers))
	err = n.runTasks(ctx, taskCtx, cancelTasks, tasks)
	n.Dialer.Close()
	n.Log.Info("Daemon ends")
	return err
}

// RunAll runs tasks until all have ended, and returns the first error.
func RunAll(ctx context.Context, tasks ...Task) error {
	ended := make(chan error, len(tasks))
	for _, t := range tasks {
		go func() { ended <- t(ctx) }()
	}
	return firstError(ended, len(tasks))
}

// firstError waits for the ends of so many tasks.
func firstError(ended <-chan error, running int) error {
	var first error
	for range running {
		if err := <-ended; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// runTasks runs the tasks under inner until one of them ends, or ctx does and the node
// has left; then it ends inner and returns the first error when all have ended.
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

// shutdown ends the role's work in order.
func (n *Node) shutdown(ctx context.Context) {
	n.Log.Info("Daemon leaves")
	n.leaving.Store(true)
	n.ready.Store(false)
	n.Drain()
	n.Table.Leave() // only now: whoever hears it may rely on the role's having left
	drainTimeout := time.After(n.values.Duration(DrainLimit))
	notified := time.Now().Add(2 * n.values.Duration(Heartbeat)) // so that the peers have heard
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-drainTimeout:
			n.Log.Info("Drain limit passed with requests still held")
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

// state names how far the node is, for operators.
func (n *Node) state() string {
	switch {
	case n.leaving.Load():
		return "leaving"
	case n.ready.Load():
		return "ready"
	}
	return "starting"
}
