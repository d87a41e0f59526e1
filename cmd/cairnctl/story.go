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

// storyCommand reads logs; it asks no daemon.
type storyCommand struct {
	Request string   `arg:"--request" help:"tell what happened to the request with this id"`
	From    string   `arg:"--from" help:"with no request: count failures from this time on, RFC 3339"`
	To      string   `arg:"--to" help:"and up to this time"`
	Files   []string `arg:"positional" help:"logs of one or more boxes; none, or -, for the standard input"`
}

// tell reads the files and prints the story or the counts.
func (s *storyCommand) tell(in io.Reader, out, errs io.Writer) int {
	from, to, err := s.span()
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	var g logging.Log
	if err := s.read(&g, in); err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	found := 0
	if s.Request != "" {
		found = tellRequest(out, g.Lines(), s.Request)
	} else {
		found = countFailures(out, g.Lines(), from, to)
	}
	if g.Unparsed()+g.Duplicates() > 0 {
		fmt.Fprintf(errs, "passed over: %d lines that are not ours or are cut, %d that came twice\n", g.Unparsed(), g.Duplicates())
	}
	if found == 0 {
		fmt.Fprintln(errs, "nothing found in these logs")
		return exitNotFound
	}
	return exitDone
}

func (s *storyCommand) span() (from, to time.Time, err error) {
	from, to = time.Time{}, time.Unix(1<<40, 0)
	if s.From != "" {
		if from, err = time.Parse(time.RFC3339Nano, s.From); err != nil {
			return from, to, fmt.Errorf("--from %s: write a time such as 2026-05-01T10:00:00Z", s.From)
		}
	}
	if s.To != "" {
		if to, err = time.Parse(time.RFC3339Nano, s.To); err != nil {
			return from, to, fmt.Errorf("--to %s: write a time such as 2026-05-01T10:00:00Z", s.To)
		}
	}
	return from, to, nil
}

func (s *storyCommand) read(g *logging.Log, in io.Reader) error {
	if len(s.Files) == 0 {
		return g.Read(in)
	}
	for _, name := range s.Files {
		if err := readFile(g, name, in); err != nil {
			return err
		}
	}
	return nil
}

func readFile(g *logging.Log, name string, in io.Reader) error {
	if name == "-" {
		return g.Read(in)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return g.Read(f)
}

// failedMessage is the sentence of a request's final answer where it got none of an
// endpoint.
const failedMessage = "Request failed"

// failure is a cause of failed requests.
type failure struct{ reason, cause string }

// countFailures prints the causes of failed requests in a time, the most frequent
// first, each with one request to look at.
func countFailures(out io.Writer, lines []logging.Line, from, to time.Time) int {
	counts := make(map[failure]int)
	example := make(map[failure]string)
	for _, l := range lines {
		if l.Message() != failedMessage || l.Time().Before(from) || l.Time().After(to) {
			continue
		}
		f := failure{reason: l.Text("reason"), cause: l.Text("cause")}
		counts[f]++
		example[f] = l.Text("request")
	}
	var causes []failure
	for f := range counts {
		causes = append(causes, f)
	}
	slices.SortFunc(causes, func(a, b failure) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a.reason, b.reason), cmp.Compare(a.cause, b.cause))
	})
	for _, f := range causes {
		fmt.Fprintf(out, "%6d  %-22s %s (such as %s)\n", counts[f], f.reason, f.cause, example[f])
	}
	return len(causes)
}
