// Package link runs the links between gateways on sockets: mutual TLS 1.3 (RFC 8446), whose
// keys may be replaced while it runs, dialling, accepting, and moving bytes between a
// connection and its crossing.Link.
package link

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"gannetspur/internal/site/forwarding"
)

// Files name the keys of a gateway, in PEM. A certificate names its gateway by one URI,
// ringwood://SITE/GATEWAY, as a subject alternative name.
type Files struct {
	Certificate string // of this gateway, with what leads to the authority
	Key         string
	Authority   string // that certificates of peers are signed by
	Revoked     string // certificate revocation list (RFC 5280) of the authority; "": none
}

// Errors of keys.
var (
	ErrKeys    = errors.New("site link: keys")
	ErrRevoked = errors.New("site link: the certificate is revoked")
	ErrName    = errors.New("site link: the certificate names no gateway")
)

// Keys are what a gateway proves itself with, and checks others by. They may be read again
// at any time; links made from then on use the new ones.
type Keys struct {
	files Files
	own   forwarding.Name
	mu    sync.Mutex
	set   set
}

type set struct {
	cert    tls.Certificate
	roots   *x509.CertPool
	revoked map[string]bool // serial numbers
	until   time.Time       // when this gateway's own certificate ends
}

// LoadKeys reads the keys of a gateway.
func LoadKeys(files Files, own forwarding.Name) (*Keys, error) {
	k := &Keys{files: files, own: own}
	if err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the files again. Keys that can't be used change nothing.
func (k *Keys) Reload() error {
	s, err := k.read()
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.set = s
	k.mu.Unlock()
	return nil
}

func (k *Keys) now() set {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.set
}

func (k *Keys) read() (s set, err error) {
	bad := func(err error, what string) (set, error) { return set{}, fmt.Errorf("%w: %s: %w", ErrKeys, what, err) }
	if s.cert, err = tls.LoadX509KeyPair(k.files.Certificate, k.files.Key); err != nil {
		return bad(err, k.files.Certificate)
	}
	leaf, err := x509.ParseCertificate(s.cert.Certificate[0])
	if err != nil {
		return bad(err, k.files.Certificate)
	}
	s.cert.Leaf, s.until = leaf, leaf.NotAfter
	if name, err := nameOf(leaf); err != nil || name != k.own {
		return bad(fmt.Errorf("it is %s's, and this gateway is %s", name, k.own), k.files.Certificate)
	}
	authority, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return bad(err, k.files.Authority)
	}
	s.roots = x509.NewCertPool()
	if !s.roots.AppendCertsFromPEM(authority) {
		return bad(errors.New("it holds no certificate"), k.files.Authority)
	}
	s.revoked = map[string]bool{}
	if k.files.Revoked == "" {
		return s, nil
	}
	raw, err := os.ReadFile(k.files.Revoked)
	if err != nil {
		return bad(err, k.files.Revoked)
	}
	block, _ := pem.Decode(raw)
	if block == nil {
		return bad(errors.New("it is no PEM"), k.files.Revoked)
	}
	list, err := x509.ParseRevocationList(block.Bytes)
	if err != nil {
		return bad(err, k.files.Revoked)
	}
	if err := signed(list, authority); err != nil {
		return bad(err, k.files.Revoked)
	}
	for _, e := range list.RevokedCertificateEntries {
		s.revoked[e.SerialNumber.String()] = true
	}
	return s, nil
}

// signed tells whether a list is signed by one of the authority's certificates. Guards
// against a list that anybody could have written.
func signed(list *x509.RevocationList, authority []byte) error {
	for block, rest := pem.Decode(authority); block != nil; block, rest = pem.Decode(rest) {
		ca, err := x509.ParseCertificate(block.Bytes)
		if err == nil && list.CheckSignatureFrom(ca) == nil {
			return nil
		}
	}
	return errors.New("it is not signed by the authority")
}

// nameOf is the gateway that a certificate names.
func nameOf(c *x509.Certificate) (forwarding.Name, error) {
	var names []*url.URL
	for _, u := range c.URIs {
		if u.Scheme == "ringwood" {
			names = append(names, u)
		}
	}
	if len(names) != 1 {
		return forwarding.Name{}, fmt.Errorf("%w: it has %d names, wanted is one URI ringwood://SITE/GATEWAY", ErrName, len(names))
	}
	gateway := strings.TrimPrefix(names[0].Path, "/")
	if names[0].Host == "" || gateway == "" || strings.Contains(gateway, "/") {
		return forwarding.Name{}, fmt.Errorf("%w: %s", ErrName, names[0])
	}
	return forwarding.Name{Site: names[0].Host, Gateway: gateway}, nil
}

// ExpiresAt is when this gateway's own certificate ends.
func (k *Keys) ExpiresAt() time.Time { return k.now().until }

// IsRevoked tells whether a certificate is revoked by the list as it is now.
func (k *Keys) IsRevoked(c *x509.Certificate) bool { return k.now().revoked[c.SerialNumber.String()] }

// config is for one handshake with a peer: want is who it must be, or any gateway.
func (k *Keys) config(want forwarding.Name, server bool, got *proven) *tls.Config {
	s := k.now()
	c := &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{s.cert}, RootCAs: s.roots, ClientCAs: s.roots,
		SessionTicketsDisabled: true, NextProtos: []string{"ringwood-site/1"},
	}
	verify := func(cs tls.ConnectionState, usage x509.ExtKeyUsage) error {
		if len(cs.PeerCertificates) == 0 {
			return ErrName
		}
		leaf := cs.PeerCertificates[0]
		opts := x509.VerifyOptions{Roots: s.roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage}}
		for _, c := range cs.PeerCertificates[1:] {
			opts.Intermediates.AddCert(c)
		}
		if _, err := leaf.Verify(opts); err != nil {
			return err
		}
		if s.revoked[leaf.SerialNumber.String()] {
			return ErrRevoked
		}
		name, err := nameOf(leaf)
		if err != nil {
			return err
		}
		if want != (forwarding.Name{}) && name != want {
			return fmt.Errorf("%w: it is %s's, wanted is %s", ErrName, name, want)
		}
		if cs.NegotiatedProtocol != "ringwood-site/1" {
			return fmt.Errorf("%w: it speaks %q", ErrName, cs.NegotiatedProtocol)
		}
		got.name, got.leaf = name, leaf
		return nil
	}
	if server {
		c.ClientAuth = tls.RequireAnyClientCert
		c.VerifyConnection = func(cs tls.ConnectionState) error { return verify(cs, x509.ExtKeyUsageClientAuth) }
		return c
	}
	// Verified below, by its URI: gateways have no host names.
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(cs tls.ConnectionState) error { return verify(cs, x509.ExtKeyUsageServerAuth) }
	return c
}

// proven is who a peer has proven to be.
type proven struct {
	name forwarding.Name
	leaf *x509.Certificate
}
