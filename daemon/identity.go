// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// PeerName is the DNS name in the certificates of all daemons and operators.
const PeerName = "cairnwick"

// Identity is a certificate with its private key, and the authority that signs the
// certificates of the other daemons. The files are read again when they change. It is
// safe for concurrent use.
type Identity struct {
	Certificate string // path
	Key         string // path
	Authority   string // path

	mu       sync.Mutex
	modified time.Time // latest modification time of the three files when they were read
	pair     *tls.Certificate
	pool     *x509.CertPool
}

// Credentials returns the credentials for both the client and the server side: TLS with
// mutual authentication, or no security if no files are named.
func (i *Identity) Credentials() (credentials.TransportCredentials, error) {
	if i.Certificate == "" && i.Key == "" && i.Authority == "" {
		return insecure.NewCredentials(), nil
	}
	if _, _, err := i.latest(); err != nil {
		return nil, err
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:             tls.VersionTLS13,
		ServerName:             PeerName,
		InsecureSkipVerify:     true, // verify checks the certificate instead, with the current authority
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       i.verify,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return i.certificate() },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return i.certificate() },
		SessionTicketsDisabled: true, // a resumed session would not be checked against a changed authority
	}), nil
}

func (i *Identity) certificate() (*tls.Certificate, error) {
	pair, _, err := i.latest()
	return pair, err
}

// verify checks the peer's certificate against the current authority and PeerName.
func (i *Identity) verify(s tls.ConnectionState) error {
	_, pool, err := i.latest()
	if err != nil {
		return err
	}
	if len(s.PeerCertificates) == 0 {
		return errors.New("daemon: peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		DNSName:       PeerName,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "daemon: verify peer certificate")
}

// latest returns the contents of the files, which it reads again if they have changed. If they
// cannot be read, what was read before stays in use.
func (i *Identity) latest() (*tls.Certificate, *x509.CertPool, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	modified, err := i.lastModified()
	if err == nil && (i.pair == nil || modified.After(i.modified)) {
		err = i.loadLocked(modified)
	}
	if i.pair == nil {
		return nil, nil, err
	}
	return i.pair, i.pool, nil
}

func (i *Identity) lastModified() (time.Time, error) {
	var newest time.Time
	for _, path := range []string{i.Certificate, i.Key, i.Authority} {
		s, err := os.Stat(path)
		if err != nil {
			return newest, errors.Wrap(err, "daemon: identity")
		}
		if s.ModTime().After(newest) {
			newest = s.ModTime()
		}
	}
	return newest, nil
}

func (i *Identity) loadLocked(modified time.Time) error {
	pair, err := tls.LoadX509KeyPair(i.Certificate, i.Key)
	if err != nil {
		return errors.Wrap(err, "daemon: load certificate and key")
	}
	raw, err := os.ReadFile(i.Authority)
	if err != nil {
		return errors.Wrap(err, "daemon: read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return errors.Errorf("daemon: authority: %s contains no certificate", i.Authority)
	}
	i.pair, i.pool, i.modified = &pair, pool, modified
	return nil
}
