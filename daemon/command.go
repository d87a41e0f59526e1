// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"cairnwick.example/settings"
	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

// Version is the version of all programs; the build sets it.
var Version = "0.1.0"

// The exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2 // the command line or the settings are invalid
)

// Command is the command line of every daemon.
type Command struct {
	Settings  string   `arg:"--settings" help:"file with the settings, JSON with comments" placeholder:"FILE"`
	Set       []string `arg:"--set,separate" help:"one setting that wins over the file" placeholder:"NAME=VALUE"`
	Check     bool     `arg:"--check" help:"check the settings and end"`
	Print     bool     `arg:"--print" help:"print the effective settings and end"`
	Reference bool     `arg:"--reference" help:"print every setting with its default in Markdown and end"`

	name  string
	about string
}

// Description implements go-arg.
func (c *Command) Description() string { return c.name + ": " + c.about }

// Version implements go-arg.
func (c *Command) Version() string { return c.name + " " + Version }

// Main parses the command line of a daemon, runs the daemon until SIGTERM or SIGINT, and
// returns the exit code.
func Main(name, about string, t settings.Table, args []string, run func(context.Context, settings.Values) error) int {
	c := &Command{name: name, about: about}
	p, err := arg.NewParser(arg.Config{Program: name}, c)
	if err != nil {
		return printError(err, ExitFailed)
	}
	switch err := p.Parse(args); {
	case err == arg.ErrHelp:
		p.WriteHelp(os.Stdout)
		return ExitOK
	case err == arg.ErrVersion:
		fmt.Println(c.Version())
		return ExitOK
	case err != nil:
		p.WriteUsage(os.Stderr)
		return printError(err, ExitSettings)
	case c.Reference:
		settings.Reference(os.Stdout, t)
		return ExitOK
	case c.Settings == "":
		p.WriteUsage(os.Stderr)
		return printError(errNoSettings, ExitSettings)
	}
	return c.start(t, run)
}

// start validates the settings and runs the daemon with them.
func (c *Command) start(t settings.Table, run func(context.Context, settings.Values) error) int {
	overrides, err := c.overrides()
	if err != nil {
		return printError(err, ExitSettings)
	}
	v, err := settings.ReadFile(c.Settings, t, overrides)
	if err != nil {
		return printError(err, ExitSettings)
	}
	if c.Check || c.Print {
		return c.printSettings(os.Stdout, t, v)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, v); err != nil {
		return printError(err, ExitFailed)
	}
	return ExitOK
}

var errNoSettings = errors.New("--settings: missing; name the settings file")

// printError prints an error to the standard error output and returns the exit code.
func printError(err error, code int) int {
	fmt.Fprintln(os.Stderr, err)
	return code
}

// printSettings carries out --print and --check.
func (c *Command) printSettings(w io.Writer, t settings.Table, v settings.Values) int {
	if !c.Print {
		fmt.Fprintln(w, "settings are valid")
		return ExitOK
	}
	if err := settings.Print(w, t, v); err != nil {
		return printError(err, ExitFailed)
	}
	return ExitOK
}

// overrides parses the --set flags.
func (c *Command) overrides() (map[string]string, error) {
	m := make(map[string]string)
	for _, s := range c.Set {
		name, value, found := strings.Cut(s, "=")
		if !found {
			return nil, fmt.Errorf("--set %s: expected NAME=VALUE", s)
		}
		m[name] = value
	}
	return m, nil
}
