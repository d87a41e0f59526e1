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

// Usage is what a process has used since it began.
type Usage struct {
	CPU    time.Duration // user and system
	Memory int64         // bytes resident now
}

const clockTick = 10 * time.Millisecond // of /proc, on Linux

// Usage reads what a process of the fleet has used.
func (f *Fleet) Usage(name string) (Usage, error) {
	pid := f.PID(name)
	if pid == 0 {
		return Usage{}, errors.Errorf("fleet: no process %s", name)
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "fleet: usage")
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userField, systemField, pagesField = 11, 12, 21 // after the name
	return Usage{
		CPU:    time.Duration(whole(fields[userField])+whole(fields[systemField])) * clockTick,
		Memory: whole(fields[pagesField]) * int64(os.Getpagesize()),
	}, nil
}

func whole(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0 // the kernel writes numbers
	}
	return n
}
