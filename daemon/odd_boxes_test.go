// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cairnwick.example/kvstore"
	"github.com/frankban/quicktest"
	"google.golang.org/grpc/credentials/insecure"
)

// oddAddresses are addresses that no daemon has.
var oddAddresses = []string{
	"", "%", "%zz:80", "\x00", "\x7f:1", "127.0.0.1:80\n", "a b:1", "[::1", "/", "?", "#%", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1",
	"127.0.0.1:" + strings.Repeat("9", 1000), "127.0.0.1:http",
}

// Guards against an address that another process published, and that ends the daemons that call it.
func TestCallToAnOddAddressFails(t *testing.T) {
	for _, address := range oddAddresses {
		t.Run(fmt.Sprintf("%.20q", address), func(t *testing.T) {
			c := quicktest.New(t)
			d := &Dialer{Credentials: insecure.NewCredentials(), Dial: countingDialer(&new(Traffic).Peers, time.Second, "")}
			defer d.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err := d.Peer(address).Exchange(ctx, nil)
			c.Check(err, quicktest.IsNotNil)
		})
	}
}

// Guards against a list of boxes that daemons follow no more since one entry of it is odd.
func TestOddEntryInTheListOfBoxesLeavesTheOthers(t *testing.T) {
	const good = `{"name":"b%d/scheduler","data_centre":"d","role":"scheduler","address":"127.0.0.1:80%d"}`
	deep := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	odd := []string{
		"1", "null", `"x"`, "[]", "{}", "1e400", deep(5000), `{"name":1}`, `{"name":"b","address":80}`, `{"name":"b","leaving":1e400}`, `{"name":"b","address":` + deep(5000) + `}`,
	}
	for _, field := range []string{"name", "data_centre", "role"} {
		odd = append(odd, strings.Replace(`{"data_centre":"d","role":"scheduler","address":"127.0.0.1:80","name":"b","`+field+`":"x"}`, `"x"`, `"`+strings.Repeat("x", 1000)+`"`, 1))
	}
	for _, a := range oddAddresses {
		odd = append(odd, fmt.Sprintf(`{"name":"odd/scheduler","data_centre":"d","role":"scheduler","address":%s}`, strings.ReplaceAll(fmt.Sprintf("%q", a), `\x`, `\u00`)))
	}
	for _, entry := range odd {
		t.Run(fmt.Sprintf("%.60s", entry), func(t *testing.T) {
			c := quicktest.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Consul-Index", "1")
				fmt.Fprintf(w, "[%s,%s,%s]", fmt.Sprintf(good, 1, 1), entry, fmt.Sprintf(good, 2, 2))
			}))
			defer s.Close()
			b := &BoxList{Client: &kvstore.Client{Address: s.URL, Timeout: time.Minute, HTTP: s.Client()}}
			c.Check(b.Refresh(t.Context()), quicktest.IsTrue)
			c.Check(b.SchedulerNames("d"), quicktest.DeepEquals, []string{"b1/scheduler", "b2/scheduler"})
		})
	}
}
