// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"bytes"
	"io"
	"net/http"
)

// CrashOnText wraps a handler so that a request whose body contains text crashes the program: it then calls
// end, which must not return.
func CrashOnText(h http.Handler, text string, end func()) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if bytes.Contains(body, []byte(text)) {
			end()
		}
		q.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, q)
	})
}
