// SPDX-License-Identifier: Apache-2.0

package daemon_test

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"cairnwick.example/daemon"
	"cairnwick.example/fleet"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"google.golang.org/grpc"
)

// writeIdentity creates a certificate for the DNS name and writes the identity files to dir.
func writeIdentity(c *quicktest.C, a *fleet.Authority, dir, name string) *daemon.Identity {
	i, err := a.Write(dir, name)
	c.Assert(err, quicktest.IsNil)
	return &daemon.Identity{Certificate: i.Certificate, Key: i.Key, Authority: i.Authority}
}

func newAuthority(c *quicktest.C) *fleet.Authority {
	a, err := fleet.NewAuthority()
	c.Assert(err, quicktest.IsNil)
	return a
}

// serve starts a server with an identity that echoes heartbeats, and returns its address.
func serve(c *quicktest.C, i *daemon.Identity) string {
	creds, err := i.Credentials()
	c.Assert(err, quicktest.IsNil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	s := grpc.NewServer(grpc.Creds(creds))
	wire.RegisterPeerServer(s, echo{})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	c.Cleanup(func() {
		s.Stop()
		<-served
	})
	return l.Addr().String()
}

type echo struct{ wire.UnimplementedPeerServer }

// Exchange implements the Peer service.
func (echo) Exchange(_ context.Context, h *wire.Heartbeat) (*wire.Heartbeat, error) { return h, nil }

func exchange(c *quicktest.C, i *daemon.Identity, address string) error {
	creds, err := i.Credentials()
	c.Assert(err, quicktest.IsNil)
	d := &daemon.Dialer{Credentials: creds, Dial: (&net.Dialer{}).DialContext}
	defer d.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = d.Peer(address).Exchange(ctx, &wire.Heartbeat{})
	return err
}

func TestDaemonsOfSameAuthorityConnect(t *testing.T) {
	c := quicktest.New(t)
	a := newAuthority(c)
	address := serve(c, writeIdentity(c, a, t.TempDir(), daemon.PeerName))
	c.Assert(exchange(c, writeIdentity(c, a, t.TempDir(), daemon.PeerName), address), quicktest.IsNil)
}

func TestUntrustedClientIsRejected(t *testing.T) {
	c := quicktest.New(t)
	a := newAuthority(c)
	address := serve(c, writeIdentity(c, a, t.TempDir(), daemon.PeerName))
	c.Assert(exchange(c, writeIdentity(c, newAuthority(c), t.TempDir(), daemon.PeerName), address), quicktest.IsNotNil)
	c.Assert(exchange(c, writeIdentity(c, a, t.TempDir(), "somebody"), address), quicktest.IsNotNil)
	c.Assert(exchange(c, &daemon.Identity{}, address), quicktest.IsNotNil)
}

func TestChangedIdentityFilesAreReloaded(t *testing.T) {
	c := quicktest.New(t)
	old, next := newAuthority(c), newAuthority(c)
	dir := t.TempDir()
	address := serve(c, writeIdentity(c, old, dir, daemon.PeerName))
	client := writeIdentity(c, next, t.TempDir(), daemon.PeerName)
	c.Assert(exchange(c, client, address), quicktest.IsNotNil)
	changed := writeIdentity(c, next, dir, daemon.PeerName)
	later := time.Now().Add(time.Second)
	c.Assert(os.Chtimes(changed.Certificate, later, later), quicktest.IsNil)
	c.Assert(exchange(c, client, address), quicktest.IsNil)
}

func TestMissingIdentityFilesAreError(t *testing.T) {
	_, err := (&daemon.Identity{Certificate: "none", Key: "none", Authority: "none"}).Credentials()
	quicktest.Assert(t, err, quicktest.ErrorMatches, "daemon: identity: .*")
}
