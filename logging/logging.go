// SPDX-License-Identifier: Apache-2.0

// Package logging provides the loggers of the daemons, which write JSON lines with logr, a
// writer that does not block on a slow reader, and a parser for the logs.
package logging

import (
	"errors"
	"io"
	"log/slog"
	"strings"

	"github.com/go-logr/logr"
)

// New returns a logger that writes one JSON object per line to w, each with the box, the data
// centre and the role of the daemon. Debug lines are logged at V(1) and written only if debug
// is true.
func New(w io.Writer, box, dataCentre, role string, debug bool) logr.Logger {
	level := slog.LevelInfo
	if debug {
		level = slog.LevelDebug
	}
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return logr.FromSlogHandler(h).WithValues("box", box, "data_centre", dataCentre, "role", role)
}

// maxErrorText is the maximum length in bytes of the text of an error that quotes what another process published: a document may have a
// megabyte.
const maxErrorText = 400

// ShortError returns an error for a log line: err, or one with the start of its text if that is too long.
func ShortError(err error) error {
	text := err.Error()
	if len(text) <= maxErrorText {
		return err
	}
	return errors.New(strings.ToValidUTF8(text[:maxErrorText], "") + "...")
}
