// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"google.golang.org/grpc/credentials/insecure"
)

// echoServer echoes heartbeats.
type echoServer struct {
	wire.UnimplementedPeerServer
}

// Exchange implements the Peer service.
func (echoServer) Exchange(_ context.Context, h *wire.Heartbeat) (*wire.Heartbeat, error) {
	return h, nil
}

// newCounter counts by method and type; only the daemon at ip is in the own data centre.
func newCounter(ip string) *MessageCounter {
	return &MessageCounter{
		Kind: func(method string, m any) string { return fmt.Sprintf("%s %T", method, m) },
		Near: func(other string) (bool, bool) { return other == ip, true },
	}
}

func TestBothSidesCountMessages(t *testing.T) {
	c := quicktest.New(t)
	served, called := newCounter("10.0.0.9"), newCounter("127.0.0.1")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	s := NewServer(insecure.NewCredentials(), served)
	wire.RegisterPeerServer(s, echoServer{})
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	d := &Dialer{Credentials: insecure.NewCredentials(), Dial: (&net.Dialer{}).DialContext, Messages: called}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 3 {
		_, err = d.Peer(l.Addr().String()).Exchange(ctx, &wire.Heartbeat{View: 1 << 60})
		c.Assert(err, quicktest.IsNil)
	}
	d.Close()
	s.Stop()
	c.Assert(<-ended, quicktest.IsNil)
	const kind = "Exchange *wire.Heartbeat"
	c.Assert(called.Counts()[kind][sentNear].Messages, quicktest.Equals, int64(3))
	c.Assert(called.Counts()[kind][receivedNear], quicktest.Equals, called.Counts()[kind][sentNear]) // the server echoes each message
	c.Assert(served.Counts()[kind][receivedFar], quicktest.Equals, called.Counts()[kind][sentNear])
	c.Assert(json.Valid([]byte(called.String())), quicktest.IsTrue)
}
