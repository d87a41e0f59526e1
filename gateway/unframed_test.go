// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"cairnwick.example/transfer"
	"github.com/frankban/quicktest"
)

// Guards against the response of an engine that crashed, which looks complete since it has no length and its connection is
// closed.
func TestResponseThatEndsWithItsConnectionMustBeWhole(t *testing.T) {
	c := quicktest.New(t)
	for _, f := range []struct {
		head, body string
		complete   bool
	}{
		{"Connection: close", `{"choices":[]}`, true},
		{"Connection: close", `{"choices":[`, false},
		{"Connection: close", ``, false},
		{"Content-Length: 0", ``, true}, // the engine's own mistake
		{"Content-Length: 3", `{"c`, true},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+f.head+"\r\n\r\n"+f.body)
		}))
		resp, err := http.Get(server.URL)
		c.Assert(err, quicktest.IsNil)
		_, complete := readComplete((&transfer.Budget{}).Begin(func() {}), resp, json.Valid)
		c.Check(complete, quicktest.Equals, f.complete, quicktest.Commentf("%s: %s", f.head, f.body))
		_ = resp.Body.Close()
		server.Close()
	}
}
