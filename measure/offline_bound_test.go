// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

const offlineBoundLog = `box-a {"time":"2026-05-01T10:00:00Z","msg":"Adapter is needed","adapter":"m/a"}
box-a {"time":"2026-05-01T10:00:00Z","msg":"Load begins","adapter":"m/a","from_store":true}
box-b {"time":"2026-05-01T10:00:00.1Z","msg":"Adapter is needed","adapter":"m/b"}
box-b {"time":"2026-05-01T10:00:00.2Z","msg":"Adapter is needed","adapter":"m/c"}
box-b {"time":"2026-05-01T10:00:00.2Z","msg":"Request failed","reason":"adapter_not_loaded"}
box-a {"time":"2026-05-01T10:00:09Z","msg":"Adapter is needed","adapter":"m/a"}
box-a {"time":"2026-05-01T10:00:09Z","msg":"Load begins","adapter":"m/a","from_store":false}
`

func TestOfflineBoundFromLogs(t *testing.T) {
	c := quicktest.New(t)
	path := filepath.Join(t.TempDir(), "box.log")
	c.Assert(os.WriteFile(path, []byte(offlineBoundLog), 0o600), quicktest.IsNil)
	var out strings.Builder
	c.Assert(OfflineBound{Logs: []string{path}, Slots: 3, Rate: 1, Lead: time.Second}.Run(&out), quicktest.IsNil)
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{"requests for adapters 4", "adapters 3", "minimum loads 3", "loads started from the store 1", "minimum requests that wait for a load 2", "refused because not loaded 1"} {
		c.Assert(text, quicktest.Contains, want)
	}
}

func TestOfflineBoundRejectsMissingInput(t *testing.T) {
	c := quicktest.New(t)
	path := filepath.Join(t.TempDir(), "box.log")
	c.Assert(os.WriteFile(path, nil, 0o600), quicktest.IsNil)
	c.Assert(OfflineBound{Logs: []string{path}, Slots: 3, Rate: 1}.Run(&strings.Builder{}), quicktest.ErrorMatches, ".*--debug.*")
	c.Assert(OfflineBound{Logs: []string{path}}.Run(&strings.Builder{}), quicktest.ErrorMatches, ".*--slots and --rate.*")
}
