// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Authority is a certificate authority for tests and demos.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Identity holds the paths of a daemon's or operator's certificate, key and CA certificate.
type Identity struct {
	Certificate string
	Key         string
	Authority   string
}

const certificateLifetime = 24 * time.Hour

// NewAuthority creates an authority with a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: generate CA key")
	}
	t := certificateTemplate("authority")
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: create CA certificate")
	}
	c, err := x509.ParseCertificate(raw)
	return &Authority{certificate: c, key: key}, errors.Wrap(err, "fleet: parse CA certificate")
}

func certificateTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
}

// Write issues a certificate for the DNS name and writes it, its key and the CA
// certificate to dir as PEM files.
func (a *Authority) Write(dir, name string) (Identity, error) {
	i := Identity{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return i, errors.Wrap(err, "fleet: generate key")
	}
	raw, err := x509.CreateCertificate(rand.Reader, certificateTemplate(name), a.certificate, key.Public(), a.key)
	if err != nil {
		return i, errors.Wrap(err, "fleet: create certificate")
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return i, errors.Wrap(err, "fleet: encode key")
	}
	for _, f := range []struct {
		path string
		kind string
		raw  []byte
	}{{i.Certificate, "CERTIFICATE", raw}, {i.Key, "EC PRIVATE KEY", secret}, {i.Authority, "CERTIFICATE", a.certificate.Raw}} {
		text := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.raw})
		if err := os.WriteFile(f.path, text, 0o600); err != nil {
			return i, errors.Wrap(err, "fleet: write identity file")
		}
	}
	return i, nil
}
