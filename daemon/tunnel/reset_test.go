// SPDX-License-Identifier: Apache-2.0

package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/standin"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// uploadSize is more than the buffers on the way hold, so that a request of this size is being written until it is read.
const uploadSize = 12 << 20

// uploadThrough sends a request through a box to an endpoint that responds as server does, and returns what it received of the body.
func uploadThrough(t *testing.T, server *standin.RawServer, dial engine.DialFunc) (string, error) {
	c := quicktest.New(t)
	address, err := server.Start()
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(server.Close)
	transport := engine.NewTransport(dialer(c, (&box{endpoint: address, dial: dial}).start(c)), 0)
	transport.DisableKeepAlives = true
	r, err := http.NewRequest(http.MethodPost, "http://e/", strings.NewReader(strings.Repeat("u", uploadSize)))
	c.Assert(err, quicktest.IsNil)
	resp, err := engine.Send(&http.Client{Transport: transport}, r, time.Now().Add(testTimeout), engine.ResponseID{})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

const unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// Guards against a part of a response without a length that looks whole to the box that asked: the endpoint reset the connection, and
// the other box's write of the request consumed that error.
func TestResetDuringTheUploadBreaksTheTunnel(t *testing.T) {
	for _, body := range []string{"part", strings.Repeat("part", 50_000), ""} {
		server := &standin.RawServer{Respond: func(*http.Request) string { return unframedHead + body }, End: standin.EndReset}
		got, err := uploadThrough(t, server, standin.DialWriterFirst)
		quicktest.New(t).Check(err, quicktest.IsNotNil, quicktest.Commentf("%.20q", got))
	}
}

// Guards against an orderly close that counts as a reset, and against a whole response that is lost since the rest of the request
// cannot be written.
func TestOrderlyCloseEndsTheTunnel(t *testing.T) {
	const framedHead = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	for name, k := range map[string]struct {
		head string
		end  func(*net.TCPConn, io.Reader)
	}{
		"read":               {unframedHead, standin.EndRead},
		"early":              {unframedHead, standin.EndEarly},
		"early, then reset":  {unframedHead, standin.EndEarlyThenReset},
		"reset, with length": {framedHead, standin.EndReset},
	} {
		server := &standin.RawServer{Respond: func(*http.Request) string { return k.head + "whole" }, End: k.end}
		got, err := uploadThrough(t, server, nil)
		quicktest.New(t).Check(err, quicktest.IsNil, quicktest.Commentf("%s", name))
		quicktest.New(t).Check(got, quicktest.Equals, "whole", quicktest.Commentf("%s", name))
	}
}

// Guards against a box that keeps a connection on which a part of a request is missing: its write failed, and the endpoint waits for the
// rest.
func TestFailedWriteToALiveEndpointBreaksTheTunnel(t *testing.T) {
	c := quicktest.New(t)
	e := newEndpoint(c)
	b := &box{endpoint: e.listener.Addr().String(), write: func(net.Conn, []byte) (int, error) { return 0, errors.New("no buffer space") }}
	dial := dialer(c, b.start(c))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	begun := time.Now()
	c.Check(sendThrough(ctx, dial, "request"), quicktest.IsNotNil)
	c.Check(ctx.Err(), quicktest.IsNil, quicktest.Commentf("after %v", time.Since(begun)))
}
