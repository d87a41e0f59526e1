// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"cairnwick.example/edge"
	"cairnwick.example/platform"
	"github.com/go-logr/logr"
)

// settingsInterval is the time between two looks at the settings file, which may change without a signal.
const settingsInterval = time.Second

// reloader reads the settings again after each SIGHUP and when their file has changed. Settings that cannot be read change
// nothing. Set the exported fields before Run.
type reloader struct {
	Path     string
	Reload   func(edge.Settings)
	Hangups  <-chan os.Signal
	Log      logr.Logger
	Interval time.Duration // between two looks at the file

	// Content is that of the file when the settings in force were read.
	Content []byte
}

// Run reloads until ctx ends.
func (r *reloader) Run(ctx context.Context) {
	tick := time.NewTicker(r.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Hangups:
			r.hasChanged() // so that this change is not found again
			r.reload()
		case <-tick.C:
			if r.hasChanged() {
				r.reload()
			}
		}
	}
}

// hasChanged reports whether the file has changed. One that cannot be read may be about to be replaced.
func (r *reloader) hasChanged() bool {
	content, err := os.ReadFile(r.Path)
	if err != nil || bytes.Equal(content, r.Content) {
		return false
	}
	r.Content = content
	return true
}

func (r *reloader) reload() {
	settings, _, err := platform.ReadSettings(r.Path)
	if err != nil {
		r.Log.Error(err, "Failed to reload settings; keeping the current ones")
		return
	}
	r.Reload(settings)
}
