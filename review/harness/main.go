// SPDX-License-Identifier: Apache-2.0

// Command harness plays the scripts of the review: it starts the project's own program as separate processes, and is itself
// the platform's store, the servers and the clients, on loopback addresses. It exits with 1 if a rule was broken, 0 if all
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// startTimeout bounds the start of the boxes.
	startTimeout = 15 * time.Second
)

// world is what a case runs in.
type world struct {
	Root    string // of the repository
	Folder  string // temporary
	Trouble bool   // with the disruption
	Record  *record

	store         *store
	storeListener net.Listener
	boxes         []*box
}

// cases returns the broken rules, a line each.
var cases = map[string]func(*world) ([]string, error){
	"surplus-rejection": surplusRejection,
	"second-model":      secondModel,
	"two-holders":       twoHolders,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitFailed
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(folder)
	w := &world{Root: root, Folder: folder, Trouble: os.Getenv("TROUBLE") != "0", Record: newRecord()}
	broken, err := w.play(cases[os.Args[1]])
	if keep := os.Getenv("LOGS"); keep != "" {
		w.keepLogs(keep)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	verdict := append([]string{w.Record.counts(), fmt.Sprintf("trouble: %t, broken rules: %d", w.Trouble, len(broken))}, broken...)
	if err := w.Record.write(os.Args[2], verdict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	signal.Ignore(syscall.SIGPIPE) // the exit code counts, whoever reads the output
	for _, l := range verdict {
		fmt.Println(l)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// play starts the store, plays a case and ends all processes.
func (w *world) play(c func(*world) ([]string, error)) ([]string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	w.store, w.storeListener = newStore(), l
	go w.store.serve(l)
	defer func() {
		for _, b := range w.boxes {
			b.kill()
		}
	}()
	return c(w)
}

// addBox adds a box that is not started.
func (w *world) addBox(zone string) (*box, error) {
	n := len(w.boxes) + 1
	b, err := newBox(fmt.Sprintf("frontend-%s-%d", zone, n), zone, fmt.Sprintf("127.0.0.%d", 10+n))
	if err != nil {
		return nil, err
	}
	w.boxes = append(w.boxes, b)
	return b, nil
}

// startBoxes starts one box in each of the zones and waits until all are ready. The first one of each zone is a seed.
func (w *world) startBoxes(zones ...string) error {
	var seeds []*box
	seen := make(map[string]bool)
	for _, z := range zones {
		b, err := w.addBox(z)
		if err != nil {
			return err
		}
		b.isFirst = true
		if !seen[z] {
			seen[z] = true
			seeds = append(seeds, b)
		}
	}
	for _, b := range w.boxes {
		if err := b.start(w.Root, w.Folder, w.storeAddress(), seeds); err != nil {
			return err
		}
	}
	return awaitReady(w.boxes, startTimeout)
}

func (w *world) storeAddress() string { return w.storeListener.Addr().String() }

// keepLogs copies the logs of the boxes.
func (w *world) keepLogs(to string) {
	for _, b := range w.boxes {
		if raw, err := os.ReadFile(filepath.Join(w.Folder, b.name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(to, b.name+".log"), raw, 0o600)
		}
	}
}

// limits are the limits of requests in the configuration.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
