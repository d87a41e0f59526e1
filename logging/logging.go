// SPDX-License-Identifier: Apache-2.0

// Package logging makes the loggers of the daemons, logr over JSON lines, with a writer
// that never blocks on a slow reader, and reads such lines again.
package logging

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes one JSON object a line to w, each with the
// box, the data centre and the role of the daemon. Debug lines are logged at
// V(1) and written only when debug is true.
func New(w io.Writer, box, dataCentre, role string, debug bool) logr.Logger {
	level := slog.LevelInfo
	if debug {
		level = slog.LevelDebug
	}
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return logr.FromSlogHandler(h).WithValues("box", box, "data_centre", dataCentre, "role", role)
}
