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

// startTimeout is when a program that was expected to exit is killed, so that the test fails instead of hanging.
// A program that can't start exits within milliseconds.
const startTimeout = 20 * time.Second

// addressInUse returns an address that is in use until the end of the test.
func addressInUse(c *quicktest.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// unusedAddress returns an address that is not in use.
func unusedAddress(c *quicktest.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer l.Close()
	return l.Addr().String()
}

// runFailingStart runs a program that must exit with code 1, and returns its output.
func runFailingStart(c *quicktest.C, program string, environment []string, args ...string) string {
	run := exec.Command(filepath.Join(binDir, program), args...)
	run.Env = append(os.Environ(), environment...)
	var out bytes.Buffer
	run.Stdout, run.Stderr = &out, &out
	c.Assert(run.Start(), quicktest.IsNil)
	killTimer := time.AfterFunc(startTimeout, func() { _ = run.Process.Kill() }) // the exit code is checked
	defer killTimer.Stop()
	_ = run.Wait() // the exit code is checked
	c.Assert(run.ProcessState.ExitCode(), quicktest.Equals, 1, quicktest.Commentf("%s", &out))
	return out.String()
}

func TestDaemonReportsAddressInUse(t *testing.T) {
	for _, tt := range []struct{ program, setting, wantText string }{
		{"cairn-gateway", "operators_listen", "operators' port"},
		{"cairn-gateway", "peers_listen", "peers' port"},
		{"cairn-gateway", "callers_listen", "callers' port"},
		{"cairn-scheduler", "operators_listen", "operators' port"},
		{"cairn-scheduler", "peers_listen", "peers' port"},
	} {
		t.Run(tt.program+" "+tt.setting, func(t *testing.T) {
			c := quicktest.New(t)
			values := map[string]string{
				"box": "b", "data_centre": "d", "platform": "http://" + unusedAddress(c),
				"peers_listen": unusedAddress(c), "operators_listen": unusedAddress(c),
			}
			if tt.program == "cairn-gateway" {
				values["callers_listen"] = unusedAddress(c)
			}
			values[tt.setting] = addressInUse(c)
			raw, err := json.Marshal(values)
			c.Assert(err, quicktest.IsNil)
			path := filepath.Join(c.TempDir(), "settings.json")
			c.Assert(os.WriteFile(path, raw, 0o600), quicktest.IsNil)
			output := runFailingStart(c, tt.program, nil, "--settings", path)
			c.Assert(output, quicktest.Contains, tt.wantText)
			c.Assert(output, quicktest.Contains, values[tt.setting])
			c.Assert(output, quicktest.Contains, "address already in use")
		})
	}
}

func TestBoxReportsMetricsAddressInUse(t *testing.T) {
	c := quicktest.New(t)
	inUse := addressInUse(c)
	_, port, err := net.SplitHostPort(inUse)
	c.Assert(err, quicktest.IsNil)
	settings := fmt.Sprintf("node_name = \"b\"\nip = \"127.0.0.1\"\nzone = \"d\"\ninternal_port_range = [%s, %s]\n"+
		"[listen]\nfrontend = %q\nready = %q\ncontrol_plane = %q\n[platform]\naddress = %q\n",
		port, port, unusedAddress(c), unusedAddress(c), unusedAddress(c), unusedAddress(c))
	path := filepath.Join(c.TempDir(), "settings.toml")
	c.Assert(os.WriteFile(path, []byte(settings), 0o600), quicktest.IsNil)
	output := runFailingStart(c, "cairnwick", []string{platform.SettingsVariable + "=" + path})
	c.Assert(output, quicktest.Contains, "address for metrics")
	c.Assert(output, quicktest.Contains, inUse)
	c.Assert(output, quicktest.Contains, "address already in use")
}
