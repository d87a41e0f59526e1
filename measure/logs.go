// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"os"

	"cairnwick.example/logging"
	"github.com/pkg/errors"
)

// readLogs reads the logs of several boxes, or standard input if no path is given.
func readLogs(paths []string) (*logging.Log, error) {
	var log logging.Log
	if len(paths) == 0 {
		return &log, errors.Wrap(log.Read(os.Stdin), "measure: read log")
	}
	for _, p := range paths {
		file, err := os.Open(p)
		if err != nil {
			return nil, errors.Wrap(err, "measure: open log")
		}
		err = log.Read(file)
		file.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "measure: read %s", p)
		}
	}
	return &log, nil
}
