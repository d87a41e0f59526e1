// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// record holds what was sent, answered and run, by the IDs of requests.
type record struct {
	mu      sync.Mutex
	begun   time.Time
	lines   []string
	sent    map[string]string   // method and path
	answers map[string]int      // status that the client got; 0: the connection closed without an answer
	runs    map[string][]string // servers that ran the request
}

func newRecord() *record {
	return &record{begun: time.Now(), sent: make(map[string]string), answers: make(map[string]int), runs: make(map[string][]string)}
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, values...)
}

func (r *record) addLocked(format string, values ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, values...))
}

func (r *record) send(id, what, box string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = what
	r.addLocked("request %s (%s) is sent to %s", id, what, box)
}

func (r *record) answered(id string, status int, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = status
	r.addLocked("request %s: the client gets %d %s", id, status, detail)
}

func (r *record) ran(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], server)
	r.addLocked("request %s: server %s runs it", id, server)
}

func (r *record) rejected(id, server string) {
	r.add("request %s: server %s rejects it, not run", id, server)
}

// twice returns the requests that ran more than once.
func (r *record) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for id, servers := range r.runs {
		if len(servers) > 1 {
			list = append(list, fmt.Sprintf("%s ran %d times, at %v; the client got %d", id, len(servers), servers, r.answers[id]))
		}
	}
	sort.Strings(list)
	return list
}

// refused returns the requests that ran although the client got a status which promises that they did not.
func (r *record) refused() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for id, servers := range r.runs {
		switch s := r.answers[id]; s {
		case 408, 421, 429, 503:
			list = append(list, fmt.Sprintf("%s was answered with %d and ran at %v", id, s, servers))
		}
	}
	sort.Strings(list)
	return list
}

// counts returns a summary of the answers.
func (r *record) counts() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	by := make(map[int]int)
	for _, s := range r.answers {
		by[s]++
	}
	return fmt.Sprintf("%d requests sent, answers by status %v, %d ran", len(r.sent), by, len(r.runs))
}

// write writes the verdict and the record to a file.
func (r *record) write(path string, verdict []string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, l := range verdict {
		fmt.Fprintln(f, l)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		fmt.Fprintln(f, l)
	}
	return nil
}
