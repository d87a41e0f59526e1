// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cairnwick.example/transfer"
	"github.com/frankban/quicktest"
)

// Guards against a box whose memory is filled by callers that send long heads.
func TestHeadsOfCallersAreBounded(t *testing.T) {
	c := quicktest.New(t)
	for size, status := range map[int]int{16 << 10: http.StatusOK, transfer.MaxHeadBytes / 2: http.StatusOK, 4 * transfer.MaxHeadBytes: http.StatusRequestHeaderFieldsTooLarge} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, quicktest.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		serve := httpTask(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), l, time.Second, 10)
		go func() { ended <- serve(ctx) }()
		conn, err := net.Dial("tcp", l.Addr().String())
		c.Assert(err, quicktest.IsNil)
		go func() {
			_, _ = io.WriteString(conn, fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\nX-Line: %s\r\n\r\n", strings.Repeat("x", size)))
		}() // fails if the box closes
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, quicktest.IsNil)
		c.Check(resp.StatusCode, quicktest.Equals, status, quicktest.Commentf("%d bytes", size))
		_ = conn.Close()
		cancel()
		c.Check(<-ended, quicktest.IsNil)
	}
}
