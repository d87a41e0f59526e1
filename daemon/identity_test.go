// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
	"google.golang.org/grpc"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	raw         []byte
}

func newAuthority(c *quicktest.C) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, quicktest.IsNil)
	t := template("authority")
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	c.Assert(err, quicktest.IsNil)
	certificate, err := x509.ParseCertificate(raw)
	c.Assert(err, quicktest.IsNil)
	return &authority{certificate: certificate, key: key, raw: raw}
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

// write makes the files of a daemon in dir.
func (a *authority) write(c *quicktest.C, dir, name string) *Identity {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, quicktest.IsNil)
	raw, err := x509.CreateCertificate(rand.Reader, template(name), a.certificate, key.Public(), a.key)
	c.Assert(err, quicktest.IsNil)
	secret, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, quicktest.IsNil)
	i := &Identity{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	writePEM(c, i.Certificate, "CERTIFICATE", raw)
	writePEM(c, i.Key, "EC PRIVATE KEY", secret)
	writePEM(c, i.Authority, "CERTIFICATE", a.raw)
	return i
}

func writePEM(c *quicktest.C, path, kind string, raw []byte) {
	c.Assert(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600), quicktest.IsNil)
}

// serve answers heartbeats under an identity and returns the address.
func serve(c *quicktest.C, i *Identity) string {
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

func exchange(c *quicktest.C, i *Identity, address string) error {
	creds, err := i.Credentials()
	c.Assert(err, quicktest.IsNil)
	d := &Dialer{Credentials: creds, Dial: (&net.Dialer{}).DialContext}
	defer d.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = d.Peer(address).Exchange(ctx, &wire.Heartbeat{})
	return err
}

func TestDaemonsOfOneAuthoritySpeak(t *testing.T) {
	c := quicktest.New(t)
	a := newAuthority(c)
	address := serve(c, a.write(c, t.TempDir(), PeerName))
	c.Assert(exchange(c, a.write(c, t.TempDir(), PeerName), address), quicktest.IsNil)
}

func TestAStrangerGivesNoOrders(t *testing.T) {
	c := quicktest.New(t)
	a := newAuthority(c)
	address := serve(c, a.write(c, t.TempDir(), PeerName))
	c.Assert(exchange(c, newAuthority(c).write(c, t.TempDir(), PeerName), address), quicktest.IsNotNil)
	c.Assert(exchange(c, a.write(c, t.TempDir(), "somebody"), address), quicktest.IsNotNil)
	c.Assert(exchange(c, &Identity{}, address), quicktest.IsNotNil)
}

func TestChangedFilesAreReadAgain(t *testing.T) {
	c := quicktest.New(t)
	old, next := newAuthority(c), newAuthority(c)
	dir := t.TempDir()
	address := serve(c, old.write(c, dir, PeerName))
	client := next.write(c, t.TempDir(), PeerName)
	c.Assert(exchange(c, client, address), quicktest.IsNotNil)
	changed := next.write(c, dir, PeerName)
	later := time.Now().Add(time.Second)
	c.Assert(os.Chtimes(changed.Certificate, later, later), quicktest.IsNil)
	c.Assert(exchange(c, client, address), quicktest.IsNil)
}

func TestABrokenIdentityIsAnErrorAtStart(t *testing.T) {
	_, err := (&Identity{Certificate: "none", Key: "none", Authority: "none"}).Credentials()
	quicktest.Assert(t, err, quicktest.ErrorMatches, "daemon: identity: .*")
}
