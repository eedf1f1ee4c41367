// Package authority stands in for a certificate authority: it issues what gateways prove
// themselves with to each other, good and bad, and lists what it has revoked (RFC 5280).
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

// Authority signs certificates and a list of those that it has revoked.
type Authority struct {
	key     *ecdsa.PrivateKey
	cert    *x509.Certificate
	serial  int64
	number  int64
	revoked []x509.RevocationListEntry
}

// day is how long what it issues holds, unless it is asked otherwise.
const day = 24 * time.Hour

// New returns an authority.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-day), NotAfter: time.Now().Add(10 * day),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	return &Authority{key: key, cert: cert, serial: 1}, nil
}

// Issue writes a certificate and its key for a gateway, NAME.pem and NAME.key, and returns its
// serial number. It holds from long ago until then.
func (a *Authority) Issue(dir, name, site, gateway string, until time.Time) (serial int64, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return 0, fmt.Errorf("authority: %w", err)
	}
	a.serial++
	t := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: gateway}, NotBefore: time.Now().Add(-day), NotAfter: until,
		URIs: []*url.URL{{Scheme: "ringwood", Host: site, Path: "/" + gateway}}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return 0, fmt.Errorf("authority: %w", err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return 0, fmt.Errorf("authority: %w", err)
	}
	if err = write(dir, name+".pem", "CERTIFICATE", der); err == nil {
		err = write(dir, name+".key", "PRIVATE KEY", raw)
	}
	return a.serial, err
}

// DefaultExpiry is when what is issued usually ends.
func DefaultExpiry() time.Time { return time.Now().Add(day) }

// Revoke takes a certificate back, in the lists that are written from then on.
func (a *Authority) Revoke(serial int64) {
	a.revoked = append(a.revoked, x509.RevocationListEntry{SerialNumber: big.NewInt(serial), RevocationTime: time.Now()})
}

// Write writes the authority's certificate, authority.pem, and its list, revoked.pem.
func (a *Authority) Write(dir string) error {
	a.number++
	list, err := x509.CreateRevocationList(rand.Reader, &x509.RevocationList{
		Number: big.NewInt(a.number), ThisUpdate: time.Now().Add(-time.Hour), NextUpdate: time.Now().Add(day), RevokedCertificateEntries: a.revoked,
	}, a.cert, a.key)
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	if err := write(dir, "authority.pem", "CERTIFICATE", a.cert.Raw); err != nil {
		return err
	}
	return write(dir, "revoked.pem", "X509 CRL", list)
}

// write puts a file in place in one step: who reads it has the old or the new one.
func write(dir, name, kind string, der []byte) error {
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path+".new", pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	return nil
}
