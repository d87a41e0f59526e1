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

// process is one running program.
type process struct {
	command *exec.Cmd
	ended   chan error // receives once
}

// file returns the path in Dir of a process's file.
func (f *Fleet) file(name, ending string) string {
	return filepath.Join(f.Spec.Dir, strings.ReplaceAll(name, "/", "-")+ending)
}

// run starts a program under a name; its output goes to a log in Dir.
func (f *Fleet) run(name, program string, args ...string) error {
	return f.runWith(surroundings{}, name, program, args...)
}

// surroundings are what a program gets besides its arguments.
type surroundings struct {
	environment []string // more variables, NAME=VALUE
	stdout      *os.File // nil: its log
}

// runWith is run with what the program gets besides.
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
		return errors.Errorf("fleet: no process %s", name)
	}
	if err := p.command.Process.Signal(s); err != nil {
		return errors.Wrapf(err, "fleet: %s, whose log ends: %s", name, f.tail(name))
	}
	return nil
}

// tailMost is how much of a log an error tells, in bytes.
const tailMost = 1000

// tail returns the end of a process's log.
func (f *Fleet) tail(name string) string {
	text, err := os.ReadFile(f.file(name, ".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-tailMost, 0):])
}

// stopTimeout is how long a process has to end by itself.
const stopTimeout = 20 * time.Second

// End sends a signal to a process and waits for its end; the error is that of
// its exit.
func (f *Fleet) End(name string, s syscall.Signal) error {
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
		return errors.Errorf("fleet: %s did not end in time", name)
	}
}

// PID returns the process number of a process.
func (f *Fleet) PID(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.processes[name]; p != nil {
		return p.command.Process.Pid
	}
	return 0
}

// Stop ends every process, at once.
func (f *Fleet) Stop() {
	f.mu.Lock()
	list := f.processes
	f.processes = make(map[string]*process)
	f.mu.Unlock()
	for _, p := range list {
		_ = p.command.Process.Kill() // it may have ended
	}
	for _, p := range list {
		<-p.ended
	}
	if f.taken != nil {
		_ = f.taken.Close() // nobody connects to it
	}
}
