// Package testca is a certificate authority for tests. It issues valid and invalid certificates to
// gateways and publishes a revocation list (RFC 5280).
package testca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

// Authority signs certificates and the list of those it has revoked.
type Authority struct {
	key     *ecdsa.PrivateKey
	cert    *x509.Certificate
	serial  int64 // serial number of the latest certificate
	number  int64 // number of the latest revocation list
	revoked []x509.RevocationListEntry
}

// day is a time span of 24 hours.
const day = 24 * time.Hour

// authorityValidity is how long the authority's own certificate is valid.
const authorityValidity = 10 * day

// New returns an authority with a self-signed certificate.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("testca: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-day),
		NotAfter:              time.Now().Add(authorityValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("testca: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("testca: %w", err)
	}
	return &Authority{key: key, cert: cert, serial: 1}, nil
}

// Issue writes a certificate and its key for a gateway to NAME.pem and NAME.key in dir, and returns
// the certificate's serial number. The certificate is valid from a day ago until the given time.
func (a *Authority) Issue(dir, name, site, gateway string, until time.Time) (serial int64, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return 0, fmt.Errorf("testca: %w", err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: gateway},
		NotBefore:    time.Now().Add(-day),
		NotAfter:     until,
		URIs:         []*url.URL{{Scheme: "ringwood", Host: site, Path: "/" + gateway}},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return 0, fmt.Errorf("testca: %w", err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return 0, fmt.Errorf("testca: %w", err)
	}
	if err := writePEM(dir, name+".pem", "CERTIFICATE", der); err != nil {
		return a.serial, err
	}
	return a.serial, writePEM(dir, name+".key", "PRIVATE KEY", raw)
}

// DefaultExpiry returns the usual expiry time of a certificate, a day from now.
func DefaultExpiry() time.Time { return time.Now().Add(day) }

// Revoke revokes a certificate. It appears in the revocation lists written after this call.
func (a *Authority) Revoke(serial int64) {
	entry := x509.RevocationListEntry{SerialNumber: big.NewInt(serial), RevocationTime: time.Now()}
	a.revoked = append(a.revoked, entry)
}

// WriteFiles writes the authority's certificate, authority.pem, and its revocation list,
// revoked.pem, to dir.
func (a *Authority) WriteFiles(dir string) error {
	a.number++
	list, err := x509.CreateRevocationList(rand.Reader, &x509.RevocationList{
		Number:                    big.NewInt(a.number),
		ThisUpdate:                time.Now().Add(-time.Hour),
		NextUpdate:                time.Now().Add(day),
		RevokedCertificateEntries: a.revoked,
	}, a.cert, a.key)
	if err != nil {
		return fmt.Errorf("testca: %w", err)
	}
	if err := writePEM(dir, "authority.pem", "CERTIFICATE", a.cert.Raw); err != nil {
		return err
	}
	return writePEM(dir, "revoked.pem", "X509 CRL", list)
}

// writePEM replaces a file atomically, so that a reader sees either the old or the new one.
func writePEM(dir, name, kind string, der []byte) error {
	path := filepath.Join(dir, name)
	encoded := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path+".new", encoded, 0o600); err != nil {
		return fmt.Errorf("testca: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("testca: %w", err)
	}
	return nil
}
