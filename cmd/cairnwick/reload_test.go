// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cairnwick.example/edge"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

// settingsText returns settings with one seed.
func settingsText(seed string) string {
	return "node_name = \"box-1\"\nip = \"10.1.0.38\"\nzone = \"north\"\nseed_nodes = [\"" + seed + "\"]\ninternal_port_range = [7380, 7395]\n" +
		"[listen]\nfrontend = \"10.1.0.38:8149\"\nready = \"10.1.0.38:8141\"\ncontrol_plane = \"10.1.0.38:8144\"\n" +
		"[bounds]\ngrace_period_s = 8\nlease_ms = 3000\n[platform]\naddress = \"10.200.1.7:8142\"\n"
}

// Guards against a box that never tries the seeds with which its settings file was replaced without a signal.
func TestSettingsThatChangeWithoutASignalAreRead(t *testing.T) {
	c := quicktest.New(t)
	path := filepath.Join(c.TempDir(), "boot.toml")
	write := func(text string) { c.Assert(os.WriteFile(path, []byte(text), 0o600), quicktest.IsNil) }
	write(settingsText("10.1.0.1:8144"))
	loaded, hangups := make(chan edge.Settings, 8), make(chan os.Signal, 1)
	r := &reloader{Path: path, Content: []byte(settingsText("10.1.0.1:8144")), Reload: func(s edge.Settings) { loaded <- s }, Hangups: hangups, Log: logr.Discard(), Interval: 10 * time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	write("node_name = [") // unfinished
	write(settingsText("10.1.0.2:8144"))
	c.Check((<-loaded).Seeds, quicktest.DeepEquals, []string{"10.1.0.2:8144"})
	hangups <- os.Interrupt
	c.Check((<-loaded).Seeds, quicktest.DeepEquals, []string{"10.1.0.2:8144"})
	write(settingsText("10.1.0.3:8144"))
	c.Check((<-loaded).Seeds, quicktest.DeepEquals, []string{"10.1.0.3:8144"})
	cancel()
	<-done
	c.Check(loaded, quicktest.HasLen, 0)
}
