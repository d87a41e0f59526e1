// SPDX-License-Identifier: Apache-2.0

package kvstore_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cairnwick.example/kvstore"
	"cairnwick.example/standin"
	"github.com/frankban/quicktest"
)

// Guards against a value that is read from a response that breaks off in its head. A head that HTTP does not allow is accepted if
// net/http does; the value is the whole body then.
func TestBrokenResponseIsNoOtherValue(t *testing.T) {
	const lines, body = "X-Consul-Index: 7\r\n", `{"revision":1}`
	broken := standin.InvalidHeads(lines, body)
	for n, text := range standin.CutHeads("HTTP/1.1 200 OK\r\n" + lines + "\r\n") {
		broken[fmt.Sprintf("cut %d", n)] = text
	}
	for name, response := range broken {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			s := &standin.RawServer{Respond: func(*http.Request) string { return response }, End: standin.EndRead}
			address, err := s.Start()
			c.Assert(err, quicktest.IsNil)
			defer s.Close()
			client := &kvstore.Client{Address: "http://" + address, Timeout: time.Second, HTTP: &http.Client{Transport: &http.Transport{}}}
			v, err := client.Read(c.Context(), "k")
			c.Check(err != nil || string(v.Body()) == body, quicktest.IsTrue, quicktest.Commentf("%q", v.Body()))
		})
	}
}
