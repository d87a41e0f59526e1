// SPDX-License-Identifier: Apache-2.0

package tunnel

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"cairnwick.example/engine"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Frames of HTTP/2.
const (
	frameHeaderSize = 9
	frameHeaders    = 1 // type
)

// Frames with which a server states that it has not processed the first stream. gRPC opens such a stream once more by itself, and
// replays what was sent on it.
var (
	refusedStream = []byte{0, 0, 4, 3, 0, 0, 0, 0, 1, 0, 0, 0, 7}             // RST_STREAM of stream 1, REFUSED_STREAM
	goAway        = []byte{0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0} // GOAWAY, last stream 0, NO_ERROR
)

// refusingProxy is between a gRPC client and its server. It tells the client that its first stream was not processed, although the
// server processes it.
type refusingProxy struct {
	server   string // address
	refusal  []byte // frame
	atReply  bool   // the refusal comes before the server's first reply
	mu       sync.Mutex
	refused  bool
	toClient net.Conn // of the first connection
}

// start serves connections, and returns the proxy's address.
func (p *refusingProxy) start(c *quicktest.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() { // ends when the listener is closed
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", p.server)
			if err != nil {
				_ = client.Close()
				continue
			}
			go func() {
				defer server.Close()
				_, _ = io.Copy(server, client)
			}()
			go func() {
				defer client.Close()
				p.copyFrames(client, server)
			}()
		}
	}()
	return l.Addr().String()
}

// copyFrames copies the server's frames.
func (p *refusingProxy) copyFrames(client net.Conn, server io.Reader) {
	p.mu.Lock()
	first := p.toClient == nil
	if first {
		p.toClient = client
	}
	p.mu.Unlock()
	in := bufio.NewReader(server)
	for {
		head := make([]byte, frameHeaderSize)
		if _, err := io.ReadFull(in, head); err != nil {
			return
		}
		frame := make([]byte, frameHeaderSize+int(binary.BigEndian.Uint32(head)>>8))
		copy(frame, head)
		if _, err := io.ReadFull(in, frame[frameHeaderSize:]); err != nil {
			return
		}
		if first && p.atReply && head[3] == frameHeaders {
			p.refuse()
		}
		p.mu.Lock()
		_, _ = client.Write(frame) // the client ignores those of a stream that has ended
		p.mu.Unlock()
	}
}

// refuse sends the refusal, once.
func (p *refusingProxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refused {
		return
	}
	p.refused = true
	_, _ = p.toClient.Write(p.refusal)
}

// Guards against a request that runs twice, since gRPC replays its bytes on a second stream: they must only follow the reply of the
// box, after which gRPC replays nothing.
func TestStreamThatGRPCOpensAgainCarriesTheRequestOnce(t *testing.T) {
	const request = "the whole request"
	for _, x := range []struct {
		name    string
		refusal []byte
		atReply bool
		dials   int // connections of the box to the endpoint
	}{
		{name: "refused before the reply", refusal: refusedStream, atReply: true, dials: 2},
		{name: "connection ends before the reply", refusal: goAway, atReply: true, dials: 2},
		{name: "refused after the request", refusal: refusedStream, dials: 1},
		{name: "connection ends after the request", refusal: goAway, dials: 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			e := newEndpoint(c)
			b := &box{endpoint: e.listener.Addr().String()}
			p := &refusingProxy{server: b.start(c), refusal: x.refusal, atReply: x.atReply}
			b.write = func(c net.Conn, data []byte) (int, error) {
				n, err := c.Write(data)
				if !x.atReply {
					p.refuse()
				}
				return n, err
			}
			if x.atReply {
				e.resetAfter = request
			}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			err := sendThrough(ctx, dialer(c, p.start(c)), request)
			var lost *engine.NoResponseError
			c.Assert(errors.As(err, &lost), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Check(lost.Sent, quicktest.IsTrue, quicktest.Commentf("%v", err))
			b.server.Stop()
			for range b.dialled() {
				e.next(c)
			}
			c.Check(strings.Count(e.all(), request), quicktest.Equals, 1)
			c.Check(b.dialled(), quicktest.Equals, x.dials)
		})
	}
}
