// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"cairnwick.example/platform"
	"github.com/frankban/quicktest"
)

// startLimit is when a program that was expected to exit is killed, so that the test fails instead of hanging.
// A program that can't start exits within milliseconds.
const startLimit = 20 * time.Second

// takenAddress returns an address that is in use until the end of the test.
func takenAddress(c *quicktest.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// freeAddress returns an address that is not in use.
func freeAddress(c *quicktest.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer l.Close()
	return l.Addr().String()
}

// startFails runs a program that must exit with code 1, and returns its output.
func startFails(c *quicktest.C, program string, environment []string, args ...string) string {
	run := exec.Command(filepath.Join(bin, program), args...)
	run.Env = append(os.Environ(), environment...)
	var out bytes.Buffer
	run.Stdout, run.Stderr = &out, &out
	c.Assert(run.Start(), quicktest.IsNil)
	late := time.AfterFunc(startLimit, func() { _ = run.Process.Kill() }) // the exit code is checked
	defer late.Stop()
	_ = run.Wait() // the exit code is checked
	c.Assert(run.ProcessState.ExitCode(), quicktest.Equals, 1, quicktest.Commentf("%s", &out))
	return out.String()
}

func TestAnAddressThatIsTakenEndsADaemonWithItsName(t *testing.T) {
	for _, k := range []struct{ program, setting, says string }{
		{"cairn-gateway", "operators_listen", "operators' port"},
		{"cairn-gateway", "peers_listen", "peers' port"},
		{"cairn-gateway", "callers_listen", "callers' port"},
		{"cairn-scheduler", "operators_listen", "operators' port"},
		{"cairn-scheduler", "peers_listen", "peers' port"},
	} {
		t.Run(k.program+" "+k.setting, func(t *testing.T) {
			c := quicktest.New(t)
			values := map[string]string{
				"box": "b", "data_centre": "d", "platform": "http://" + freeAddress(c),
				"peers_listen": freeAddress(c), "operators_listen": freeAddress(c),
			}
			if k.program == "cairn-gateway" {
				values["callers_listen"] = freeAddress(c)
			}
			values[k.setting] = takenAddress(c)
			raw, err := json.Marshal(values)
			c.Assert(err, quicktest.IsNil)
			path := filepath.Join(c.TempDir(), "settings.json")
			c.Assert(os.WriteFile(path, raw, 0o600), quicktest.IsNil)
			said := startFails(c, k.program, nil, "--settings", path)
			c.Assert(said, quicktest.Contains, k.says)
			c.Assert(said, quicktest.Contains, values[k.setting])
			c.Assert(said, quicktest.Contains, "address already in use")
		})
	}
}

func TestAMetricsAddressThatIsTakenEndsABoxWithItsName(t *testing.T) {
	c := quicktest.New(t)
	taken := takenAddress(c)
	_, port, err := net.SplitHostPort(taken)
	c.Assert(err, quicktest.IsNil)
	settings := fmt.Sprintf("node_name = \"b\"\nip = \"127.0.0.1\"\nzone = \"d\"\ninternal_port_range = [%s, %s]\n"+
		"[listen]\nfrontend = %q\nready = %q\ncontrol_plane = %q\n[platform]\naddress = %q\n",
		port, port, freeAddress(c), freeAddress(c), freeAddress(c), freeAddress(c))
	path := filepath.Join(c.TempDir(), "settings.toml")
	c.Assert(os.WriteFile(path, []byte(settings), 0o600), quicktest.IsNil)
	said := startFails(c, "cairnwick", []string{platform.SettingsVariable + "=" + path})
	c.Assert(said, quicktest.Contains, "address for metrics")
	c.Assert(said, quicktest.Contains, taken)
	c.Assert(said, quicktest.Contains, "address already in use")
}
