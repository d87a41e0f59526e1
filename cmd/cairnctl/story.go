// SPDX-License-Identifier: Apache-2.0

package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"cairnwick.example/logging"
)

// storyCommand analyses logs, without contacting daemons.
type storyCommand struct {
	Request string   `arg:"--request" help:"print what happened to the request with this id"`
	From    string   `arg:"--from" help:"without --request: count failures from this time on, RFC 3339"`
	To      string   `arg:"--to" help:"without --request: count failures up to this time, RFC 3339"`
	Files   []string `arg:"positional" help:"logs of one or more boxes; default or -: standard input"`
}

// execute reads the logs and prints the events of one request, or the counts of failures.
func (s *storyCommand) execute(in io.Reader, out, errs io.Writer) int {
	from, to, err := s.timeRange()
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	var log logging.Log
	if err := s.read(&log, in); err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	found := 0
	if s.Request != "" {
		found = printRequest(out, log.Lines(), s.Request)
	} else {
		found = countFailures(out, log.Lines(), from, to)
	}
	if log.Unparsed()+log.Duplicates() > 0 {
		fmt.Fprintf(errs, "skipped: %d foreign or truncated lines, %d duplicates\n", log.Unparsed(), log.Duplicates())
	}
	if found == 0 {
		fmt.Fprintln(errs, "no matching lines in these logs")
		return exitNotFound
	}
	return exitDone
}

// timeRange parses From and To.
func (s *storyCommand) timeRange() (from, to time.Time, err error) {
	from, to = time.Time{}, time.Unix(1<<40, 0)
	if s.From != "" {
		if from, err = time.Parse(time.RFC3339Nano, s.From); err != nil {
			return from, to, fmt.Errorf("--from %s: want an RFC 3339 time such as 2026-05-01T10:00:00Z", s.From)
		}
	}
	if s.To != "" {
		if to, err = time.Parse(time.RFC3339Nano, s.To); err != nil {
			return from, to, fmt.Errorf("--to %s: want an RFC 3339 time such as 2026-05-01T10:00:00Z", s.To)
		}
	}
	return from, to, nil
}

func (s *storyCommand) read(log *logging.Log, in io.Reader) error {
	if len(s.Files) == 0 {
		return log.Read(in)
	}
	for _, name := range s.Files {
		if err := readFile(log, name, in); err != nil {
			return err
		}
	}
	return nil
}

func readFile(log *logging.Log, name string, in io.Reader) error {
	if name == "-" {
		return log.Read(in)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return log.Read(f)
}

// failedMessage is the log message of a request that was not answered by an endpoint.
const failedMessage = "Request failed"

// failureCause is a reason and cause of failed requests.
type failureCause struct{ reason, cause string }

// countFailures prints the causes of failed requests between from and to, most frequent first,
// each with the id of one such request. It returns the number of causes.
func countFailures(out io.Writer, lines []logging.Line, from, to time.Time) int {
	counts := make(map[failureCause]int)
	example := make(map[failureCause]string)
	for _, l := range lines {
		if l.Message() != failedMessage || l.Time().Before(from) || l.Time().After(to) {
			continue
		}
		f := failureCause{reason: l.Text("reason"), cause: l.Text("cause")}
		counts[f]++
		example[f] = l.Text("request")
	}
	var causes []failureCause
	for f := range counts {
		causes = append(causes, f)
	}
	slices.SortFunc(causes, func(a, b failureCause) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a.reason, b.reason), cmp.Compare(a.cause, b.cause))
	})
	for _, f := range causes {
		fmt.Fprintf(out, "%6d  %-22s %s (such as %s)\n", counts[f], f.reason, f.cause, example[f])
	}
	return len(causes)
}
