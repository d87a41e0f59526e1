// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Usage is the resource usage of a process.
type Usage struct {
	CPU    time.Duration // user and system time since the start
	Memory int64         // resident set size in bytes
}

const clockTick = 10 * time.Millisecond // unit of CPU times in /proc/PID/stat on Linux, as USER_HZ is 100

// Usage returns the resource usage of a process of the fleet.
func (f *Fleet) Usage(name string) (Usage, error) {
	pid := f.PID(name)
	if pid == 0 {
		return Usage{}, errors.Errorf("fleet: process %s is not running", name)
	}
	fields, err := readStat(pid)
	if err != nil {
		return Usage{}, err
	}
	const userField, systemField, pagesField = 11, 12, 21 // indexes after the process name
	return Usage{
		CPU:    time.Duration(parseInt(fields[userField])+parseInt(fields[systemField])) * clockTick,
		Memory: parseInt(fields[pagesField]) * int64(os.Getpagesize()),
	}, nil
}

// readStat returns the fields of /proc/PID/stat after the process name, the first of which is the state.
func readStat(pid int) ([]string, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return nil, errors.Wrap(err, "fleet: read process state")
	}
	return strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])), nil
}

func parseInt(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0 // cannot happen: the kernel writes integers
	}
	return n
}
