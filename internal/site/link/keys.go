// Package link runs the links between gateways on sockets. It dials and accepts connections with mutual
// TLS 1.3 (RFC 8446), whose keys may be replaced at run time, and moves bytes between a connection and
// its forwarding.Link.
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

// Files holds the names of a gateway's key files, in PEM. A certificate names its gateway by exactly one
// URI ringwood://SITE/GATEWAY among its subject alternative names.
type Files struct {
	Certificate string // of this gateway, followed by any intermediate certificates
	Key         string // private key of Certificate
	Authority   string // certificates of the authorities that sign peers' certificates
	Revoked     string // certificate revocation list (RFC 5280) of the authority; "": none
}

// protocol is the link's name in TLS application-layer protocol negotiation (RFC 7301).
const protocol = "ringwood-site/1"

// gatewayScheme is the scheme of URIs that name gateways.
const gatewayScheme = "ringwood"

// Errors of keys and certificates.
var (
	ErrKeys    = errors.New("site link: invalid keys")
	ErrRevoked = errors.New("site link: certificate is revoked")
	ErrName    = errors.New("site link: certificate does not name the expected gateway")
)

// Keys holds the certificate of a gateway and the authority by which it verifies peers. Reload may be
// called at any time; later handshakes use the new keys. Keys is safe for concurrent use.
type Keys struct {
	files   Files
	own     forwarding.Name
	mu      sync.Mutex
	current keySet
}

// keySet is the content of the key files. It is not changed after it was read.
type keySet struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	revoked     map[string]bool // by serial number
	expiresAt   time.Time       // expiry of this gateway's certificate
}

// LoadKeys reads the keys of the gateway named own.
func LoadKeys(files Files, own forwarding.Name) (*Keys, error) {
	k := &Keys{files: files, own: own}
	if err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the files again. If they are invalid, it returns an error and keeps the current keys.
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

// load returns the current keys.
func (k *Keys) load() keySet {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// read reads and validates all key files.
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
		return keySet{}, keysError(k.files.Authority, errors.New("file contains no certificate"))
	}
	set.revoked, err = k.readRevoked(authority)
	if err != nil {
		return keySet{}, keysError(k.files.Revoked, err)
	}
	return set, nil
}

// keysError returns an ErrKeys that names the file.
func keysError(file string, err error) error { return fmt.Errorf("%w: %s: %w", ErrKeys, file, err) }

// readCertificate reads this gateway's certificate, which must name this gateway.
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
		return certificate, fmt.Errorf("certificate names %s, want %s", name, k.own)
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
		return nil, errors.New("file is not PEM")
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

// checkSigned checks that a revocation list is signed by one of the authority's certificates, so that
// forged lists are rejected.
func checkSigned(list *x509.RevocationList, authority []byte) error {
	for block, rest := pem.Decode(authority); block != nil; block, rest = pem.Decode(rest) {
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err == nil && list.CheckSignatureFrom(certificate) == nil {
			return nil
		}
	}
	return errors.New("revocation list is not signed by the authority")
}

// gatewayName returns the gateway that a certificate names.
func gatewayName(certificate *x509.Certificate) (forwarding.Name, error) {
	var names []*url.URL
	for _, uri := range certificate.URIs {
		if uri.Scheme == gatewayScheme {
			names = append(names, uri)
		}
	}
	if len(names) != 1 {
		return forwarding.Name{}, fmt.Errorf("%w: it has %d gateway URIs, want one ringwood://SITE/GATEWAY", ErrName, len(names))
	}
	gateway := strings.TrimPrefix(names[0].Path, "/")
	if names[0].Host == "" || gateway == "" || strings.Contains(gateway, "/") {
		return forwarding.Name{}, fmt.Errorf("%w: URI %s is not ringwood://SITE/GATEWAY", ErrName, names[0])
	}
	return forwarding.Name{Site: names[0].Host, Gateway: gateway}, nil
}

// ExpiresAt returns the time at which this gateway's certificate expires.
func (k *Keys) ExpiresAt() time.Time { return k.load().expiresAt }

// IsRevoked reports whether the current revocation list contains a certificate.
func (k *Keys) IsRevoked(certificate *x509.Certificate) bool {
	return k.load().isRevoked(certificate)
}

func (s keySet) isRevoked(certificate *x509.Certificate) bool {
	return s.revoked[certificate.SerialNumber.String()]
}

// identity is the verified identity of a peer.
type identity struct {
	name        forwarding.Name
	certificate *x509.Certificate
}

// serverConfig returns the TLS configuration for one handshake with any gateway that connects. The
// handshake sets verified.
func (k *Keys) serverConfig(verified *identity) *tls.Config {
	set := k.load()
	config := set.config()
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) (err error) {
		*verified, err = set.verify(state, x509.ExtKeyUsageClientAuth)
		return err
	}
	return config
}

// clientConfig returns the TLS configuration for one handshake with a peer that this side dials. The
// handshake sets verified.
func (k *Keys) clientConfig(peer forwarding.Name, verified *identity) *tls.Config {
	set := k.load()
	config := set.config()
	// VerifyConnection verifies the certificate and the peer's URI, because gateways have no host names.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		got, err := set.verify(state, x509.ExtKeyUsageServerAuth)
		if err != nil {
			return err
		}
		if got.name != peer {
			return fmt.Errorf("%w: it names %s, want %s", ErrName, got.name, peer)
		}
		*verified = got
		return nil
	}
	return config
}

// config returns the TLS settings that both sides share.
func (s keySet) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{s.certificate}, RootCAs: s.authority, ClientCAs: s.authority,
		SessionTicketsDisabled: true, NextProtos: []string{protocol},
	}
}

// verify checks a peer's certificate chain, its usage and revocation, and the application protocol, and
// returns the peer's identity.
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
		return identity{}, fmt.Errorf("%w: application protocol is %q, want %q", ErrName, state.NegotiatedProtocol, protocol)
	}
	return identity{name: name, certificate: leaf}, nil
}
