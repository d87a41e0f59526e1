// SPDX-License-Identifier: Apache-2.0

package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/engine"
	"github.com/frankban/quicktest"
)

// Guards against a daemon whose memory is filled by an endpoint that sends a head without end.
func TestEndlessHeadOfAnEndpointIsBounded(t *testing.T) {
	c := quicktest.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer l.Close()
	var written atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for {
			n, err := io.WriteString(conn, "X-Line: "+strings.Repeat("x", 1000)+"\r\n")
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	client := &http.Client{Transport: engine.NewTransport((&net.Dialer{}).DialContext, 1)}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String()+"/", nil)
	c.Assert(err, quicktest.IsNil)
	_, err = engine.Send(client, r, time.Time{}, engine.ResponseID{})
	c.Check(err, quicktest.IsNotNil)
	c.Check(ctx.Err(), quicktest.IsNil)
	<-done
	c.Check(written.Load() < 4<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes", written.Load()))
}
