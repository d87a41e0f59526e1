// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

// FuzzRead checks that accepted settings are within their bounds and survive Print and Read,
// that each reported problem has a fix, and that any other error names the file.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"box": "a", /* why */ "queue": 3, "patience": "250ms", "share": 1e300,}`))
	f.Add([]byte(`{"listen":"x","platform":"ftp://a","patience":"0s","queue":-1,"share":"a","loud":1,"more":2}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		v, err := Read("f", raw, table, nil)
		if err != nil {
			var e *Error
			if errors.As(err, &e) {
				for _, p := range e.Problems {
					if p.Fix == "" {
						t.Fatalf("a problem without a fix: %+v", p)
					}
				}
			} else if !strings.HasPrefix(err.Error(), "settings: f ") {
				t.Fatalf("an error that does not name the file: %v", err)
			}
			return
		}
		if v.Duration("patience") < time.Millisecond || v.Count("queue") < 1 || !(v.Number("share") >= 0) {
			t.Errorf("%v", v)
		}
		var b bytes.Buffer
		if err := Print(&b, table, v); err != nil {
			t.Fatal(err)
		}
		reread, err := Read("printed", b.Bytes(), table, nil)
		if err != nil || reread.Text("box") != v.Text("box") || reread.Number("share") != v.Number("share") {
			t.Errorf("differs after Print and Read: %v\n%s", err, b.Bytes())
		}
	})
}
