// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// process is a running program.
type process struct {
	command *exec.Cmd
	exited  chan error // receives the exit error once
}

// filePath returns the path of a process's file in Dir.
func (f *Fleet) filePath(name, extension string) string {
	return filepath.Join(f.Spec.Dir, strings.ReplaceAll(name, "/", "-")+extension)
}

// run starts a program under a name, with its output in a log in Dir.
func (f *Fleet) run(name, program string, args ...string) error {
	return f.runWithOptions(processOptions{}, name, program, args...)
}

// processOptions are a program's additional environment and its standard output.
type processOptions struct {
	environment []string // additional variables, NAME=VALUE
	stdout      *os.File // nil: the log
}

// runWithOptions is like run, with the given environment and standard output.
func (f *Fleet) runWithOptions(options processOptions, name, program string, args ...string) error {
	path := f.filePath(name, ".log")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(f.Spec.Bin, program), args...)
	c.Stdout, c.Stderr = out, out
	if options.stdout != nil {
		c.Stdout = options.stdout
	}
	c.Env = append(os.Environ(), options.environment...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		out.Close()
		return errors.Wrapf(err, "fleet: start %s", name)
	}
	p := &process{command: c, exited: make(chan error, 1)}
	go func() {
		p.exited <- c.Wait()
		out.Close()
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	return nil
}

// stateInterval is the time between two checks of a process's state.
const stateInterval = time.Millisecond

// awaitStopped waits until a process that got SIGSTOP has stopped: its threads go on until one of them handles the signal,
// which takes long on a busy machine.
func awaitStopped(pid int) {
	for begun := time.Now(); time.Since(begun) < stopTimeout; time.Sleep(stateInterval) {
		fields, err := readStat(pid)
		if err != nil || strings.HasPrefix(fields[0], "T") {
			return // it has stopped, or ended
		}
	}
}

// Signal sends a signal to a process. After SIGSTOP it returns once the process has stopped.
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	if p == nil {
		return errors.Errorf("fleet: process %s is not running", name)
	}
	if err := p.command.Process.Signal(s); err != nil {
		return errors.Wrapf(err, "fleet: signal %s; end of its log: %s", name, f.tail(name))
	}
	if s == syscall.SIGSTOP {
		awaitStopped(p.command.Process.Pid)
	}
	return nil
}

// logTailSize is the number of bytes of a log that an error message includes.
const logTailSize = 1000

// tail returns the end of a process's log.
func (f *Fleet) tail(name string) string {
	text, err := os.ReadFile(f.filePath(name, ".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-logTailSize, 0):])
}

// stopTimeout is the time that a process has to exit after a signal.
const stopTimeout = 20 * time.Second

// Terminate sends a signal to a process and waits for it to exit. It returns the exit
// error. A process that does not exit within stopTimeout is killed.
func (f *Fleet) Terminate(name string, s syscall.Signal) error {
	if err := f.Signal(name, s); err != nil {
		return err
	}
	f.mu.Lock()
	p := f.processes[name]
	delete(f.processes, name)
	f.mu.Unlock()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill()
		return errors.Errorf("fleet: %s did not exit within %s of a signal; killed", name, stopTimeout)
	}
}

// PID returns the process ID of a process, or 0 if it is not running.
func (f *Fleet) PID(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.processes[name]; p != nil {
		return p.command.Process.Pid
	}
	return 0
}

// Stop kills all processes and releases the fleet's addresses.
func (f *Fleet) Stop() {
	f.mu.Lock()
	list := f.processes
	f.processes = make(map[string]*process)
	f.mu.Unlock()
	for _, p := range list {
		_ = p.command.Process.Kill() // it may have exited already
	}
	for _, p := range list {
		<-p.exited
	}
	if f.reservation != nil {
		_ = f.reservation.Close() // it has no connections
	}
}
