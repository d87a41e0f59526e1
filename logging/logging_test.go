// SPDX-License-Identifier: Apache-2.0

package logging

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestLinesAreJSONWithBox(t *testing.T) {
	c := quicktest.New(t)
	var b bytes.Buffer
	l := New(&b, "box-1", "kigali-1", "gateway", false)
	l.V(1).Info("not written")
	l.Error(errors.New("gone"), "Endpoint does not answer", "endpoint", "e1")
	line := make(map[string]any)
	c.Assert(json.Unmarshal(b.Bytes(), &line), quicktest.IsNil)
	c.Assert(line["box"], quicktest.Equals, "box-1")
	c.Assert(line["endpoint"], quicktest.Equals, "e1")
	c.Assert(line["err"], quicktest.Equals, "gone")
}
