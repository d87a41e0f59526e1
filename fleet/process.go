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
	ended   chan error // receives the exit error once
}

// file returns the path of a process's file in Dir.
func (f *Fleet) file(name, ending string) string {
	return filepath.Join(f.Spec.Dir, strings.ReplaceAll(name, "/", "-")+ending)
}

// run starts a program under a name, with its output in a log in Dir.
func (f *Fleet) run(name, program string, args ...string) error {
	return f.runWith(surroundings{}, name, program, args...)
}

// surroundings are a program's additional environment and its standard output.
type surroundings struct {
	environment []string // additional variables, NAME=VALUE
	stdout      *os.File // nil: the log
}

// runWith is like run, with the given environment and standard output.
func (f *Fleet) runWith(s surroundings, name, program string, args ...string) error {
	path := f.file(name, ".log")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(f.Spec.Bin, program), args...)
	c.Stdout, c.Stderr = out, out
	if s.stdout != nil {
		c.Stdout = s.stdout
	}
	c.Env = append(os.Environ(), s.environment...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		out.Close()
		return errors.Wrapf(err, "fleet: start %s", name)
	}
	p := &process{command: c, ended: make(chan error, 1)}
	go func() {
		p.ended <- c.Wait()
		out.Close()
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	return nil
}

// Signal sends a signal to a process.
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
	return nil
}

// tailMost is the number of bytes of a log that an error message includes.
const tailMost = 1000

// tail returns the end of a process's log.
func (f *Fleet) tail(name string) string {
	text, err := os.ReadFile(f.file(name, ".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-tailMost, 0):])
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
	case err := <-p.ended:
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
		<-p.ended
	}
	if f.taken != nil {
		_ = f.taken.Close() // it has no connections
	}
}
