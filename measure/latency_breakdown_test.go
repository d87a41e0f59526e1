// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

const latencyLog = `0.1 box-a {"time":"2026-05-01T10:00:00Z","msg":"Request was answered","request":"1","route":"r","attempts":1,"queued_ms":0,"waited_ms":0,"sent_ms":0,"first_ms":90,"target_ms":100}
0.2 box-a {"time":"2026-05-01T10:00:00.1Z","msg":"Request was answered","request":"2","route":"r","attempts":1,"queued_ms":300,"waited_ms":400,"sent_ms":400,"first_ms":490,"target_ms":100}
0.3 box-b {"time":"2026-05-01T10:00:00.2Z","msg":"Request was answered","request":"3","route":"r","attempts":1,"queued_ms":10,"waited_ms":300,"sent_ms":300,"first_ms":490,"target_ms":100}
0.4 box-b {"time":"2026-05-01T10:00:01.2Z","msg":"Request was answered","request":"4","route":"s","attempts":1,"queued_ms":0,"waited_ms":0,"sent_ms":0,"first_ms":490,"target_ms":100}
0.5 box-b {"time":"2026-05-01T10:00:01.3Z","msg":"Request was answered","request":"5","route":"s","attempts":2,"queued_ms":0,"waited_ms":0,"sent_ms":0,"first_ms":490,"target_ms":100}
0.6 box-b {"time":"2026-05-01T10:00:01.4Z","msg":"Request failed","request":"6","route":"s","reason":"caller_gone"}
0.7 box-b {"time":"2026-05-01T10:00:01.5Z","msg":"Request failed","request":"7","route":"","reason":"no_route"}
0.8 box-b {"time":"2026-05-01T10:00:01.5Z","msg":"Request fai
`

func TestLatencyBreakdown(t *testing.T) {
	c := quicktest.New(t)
	path := filepath.Join(t.TempDir(), "box.log")
	c.Assert(os.WriteFile(path, []byte(latencyLog), 0o600), quicktest.IsNil)
	var out strings.Builder
	c.Assert(LatencyBreakdown{Logs: []string{path}, Seconds: true}.Run(&out), quicktest.IsNil)
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"6 requests; 1 lines skipped", "in time: 1", "late: waited for a slot: 1", "late: waited for a load: 1",
		"late: until the first token: 1", "late: retried: 1", "not served: caller_gone: 1",
		"route 1 2 3 4 5 6 r 1 0 0 1 1 0 s 0 1 1 0 0 1", "second 1 2 3 4 5 6 0 1 0 0 1 1 0 1 0 1 1 0 0 1",
	} {
		c.Check(text, quicktest.Contains, want)
	}
}

func TestLatencyBreakdownWithoutRequestsIsAnError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "box.log")
	quicktest.Assert(t, os.WriteFile(path, []byte("not ours\n"), 0o600), quicktest.IsNil)
	quicktest.Assert(t, LatencyBreakdown{Logs: []string{path}}.Run(&strings.Builder{}), quicktest.ErrorMatches, ".*the logs contain no requests.*")
}
