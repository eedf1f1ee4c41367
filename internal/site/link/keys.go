// Package link runs the links between gateways on sockets: mutual TLS 1.3 (RFC 8446), whose
// keys may be replaced while it runs, dialling, accepting, and moving bytes between a
// connection and its forwarding.Link.
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

// protocol is the link's name in TLS's application-layer protocol negotiation (RFC 7301).
const protocol = "ringwood-site/1"

// gatewayScheme is the scheme of URIs that name gateways.
const gatewayScheme = "ringwood"

// Errors of keys.
var (
	ErrKeys    = errors.New("site link: keys")
	ErrRevoked = errors.New("site link: the certificate is revoked")
	ErrName    = errors.New("site link: the certificate names no gateway")
)

// Keys are what a gateway proves who it is with, and checks others by. They may be read again at
// any time; links made from then on use the new ones.
type Keys struct {
	files   Files
	own     forwarding.Name
	mu      sync.Mutex
	current keySet
}

// keySet is what the files hold. It does not change once it was read.
type keySet struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	revoked     map[string]bool // by serial number
	expiresAt   time.Time       // end of this gateway's own certificate
}

// LoadKeys reads the keys of a gateway.
func LoadKeys(files Files, own forwarding.Name) (*Keys, error) {
	k := &Keys{files: files, own: own}
	if err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the files again. Invalid keys change nothing.
func (k *Keys) Reload() error {
	set, err := k.read()
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.current = set
	k.mu.Unlock()
	return nil
}

func (k *Keys) load() keySet {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

func (k *Keys) read() (set keySet, err error) {
	set.certificate, err = k.readCertificate()
	if err != nil {
		return keySet{}, keysError(k.files.Certificate, err)
	}
	set.expiresAt = set.certificate.Leaf.NotAfter
	authority, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return keySet{}, keysError(k.files.Authority, err)
	}
	set.authority = x509.NewCertPool()
	if !set.authority.AppendCertsFromPEM(authority) {
		return keySet{}, keysError(k.files.Authority, errors.New("it holds no certificate"))
	}
	set.revoked, err = k.readRevoked(authority)
	if err != nil {
		return keySet{}, keysError(k.files.Revoked, err)
	}
	return set, nil
}

func keysError(file string, err error) error { return fmt.Errorf("%w: %s: %w", ErrKeys, file, err) }

// readCertificate reads this gateway's own certificate, which must name it.
func (k *Keys) readCertificate() (tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return certificate, err
	}
	certificate.Leaf, err = x509.ParseCertificate(certificate.Certificate[0])
	if err != nil {
		return certificate, err
	}
	name, err := gatewayName(certificate.Leaf)
	if err != nil || name != k.own {
		return certificate, fmt.Errorf("it is %s's, and this gateway is %s", name, k.own)
	}
	return certificate, nil
}

// readRevoked reads the serial numbers of the revocation list, if there is one.
func (k *Keys) readRevoked(authority []byte) (map[string]bool, error) {
	revoked := map[string]bool{}
	if k.files.Revoked == "" {
		return revoked, nil
	}
	raw, err := os.ReadFile(k.files.Revoked)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(raw)
	if block == nil {
		return nil, errors.New("it is no PEM")
	}
	list, err := x509.ParseRevocationList(block.Bytes)
	if err != nil {
		return nil, err
	}
	if err := checkSigned(list, authority); err != nil {
		return nil, err
	}
	for _, entry := range list.RevokedCertificateEntries {
		revoked[entry.SerialNumber.String()] = true
	}
	return revoked, nil
}

// checkSigned checks that a list is signed by one of the authority's certificates. Guards against a
// list that anybody could have written.
func checkSigned(list *x509.RevocationList, authority []byte) error {
	for block, rest := pem.Decode(authority); block != nil; block, rest = pem.Decode(rest) {
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err == nil && list.CheckSignatureFrom(certificate) == nil {
			return nil
		}
	}
	return errors.New("it is not signed by the authority")
}

// gatewayName is the gateway that a certificate names.
func gatewayName(certificate *x509.Certificate) (forwarding.Name, error) {
	var names []*url.URL
	for _, uri := range certificate.URIs {
		if uri.Scheme == gatewayScheme {
			names = append(names, uri)
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
func (k *Keys) ExpiresAt() time.Time { return k.load().expiresAt }

// IsRevoked tells whether the current list revokes a certificate.
func (k *Keys) IsRevoked(certificate *x509.Certificate) bool {
	return k.load().isRevoked(certificate)
}

func (s keySet) isRevoked(certificate *x509.Certificate) bool {
	return s.revoked[certificate.SerialNumber.String()]
}

// identity is who a peer has proven to be.
type identity struct {
	name        forwarding.Name
	certificate *x509.Certificate
}

// serverConfig is for one handshake that any gateway may begin. It sets proven.
func (k *Keys) serverConfig(proven *identity) *tls.Config {
	set := k.load()
	config := set.config()
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) (err error) {
		*proven, err = set.verify(state, x509.ExtKeyUsageClientAuth)
		return err
	}
	return config
}

// clientConfig is for one handshake with a peer. It sets proven.
func (k *Keys) clientConfig(peer forwarding.Name, proven *identity) *tls.Config {
	set := k.load()
	config := set.config()
	// VerifyConnection checks the peer's URI: gateways have no host names.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		got, err := set.verify(state, x509.ExtKeyUsageServerAuth)
		if err != nil {
			return err
		}
		if got.name != peer {
			return fmt.Errorf("%w: it is %s's, wanted is %s", ErrName, got.name, peer)
		}
		*proven = got
		return nil
	}
	return config
}

func (s keySet) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{s.certificate}, RootCAs: s.authority, ClientCAs: s.authority,
		SessionTicketsDisabled: true, NextProtos: []string{protocol},
	}
}

// verify checks a peer's certificate for its use, and returns who the peer is.
func (s keySet) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) (identity, error) {
	if len(state.PeerCertificates) == 0 {
		return identity{}, ErrName
	}
	leaf := state.PeerCertificates[0]
	options := x509.VerifyOptions{Roots: s.authority, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage}}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	if _, err := leaf.Verify(options); err != nil {
		return identity{}, err
	}
	if s.isRevoked(leaf) {
		return identity{}, ErrRevoked
	}
	name, err := gatewayName(leaf)
	if err != nil {
		return identity{}, err
	}
	if state.NegotiatedProtocol != protocol {
		return identity{}, fmt.Errorf("%w: it speaks %q", ErrName, state.NegotiatedProtocol)
	}
	return identity{name: name, certificate: leaf}, nil
}
