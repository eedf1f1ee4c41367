package config

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
)

// TLS configures the encryption of client connections. Files are in PEM format; relative paths are relative to the directory
// of the deploy file.
type TLS struct {
	Certificate string      `toml:"certificate"` // path of the certificate with its chain; "" disables encryption
	Key         string      `toml:"key"`         // path of the private key
	Require     bool        `toml:"require"`     // unencrypted connections are rejected
	Config      *tls.Config `toml:"-"`           // made from the files; nil if encryption is disabled
}

// load reads the certificate and its key. dir is the directory of the deploy file.
func (t *TLS) load(c *checker, dir string) {
	if t.Certificate == "" {
		c.requiref(t.Key == "", "tls.certificate", "must be set, as tls.key is set")
		c.requiref(!t.Require, "tls.require", "must be false without tls.certificate")
		return
	}
	certificate, err := tls.LoadX509KeyPair(resolvePath(dir, t.Certificate), resolvePath(dir, t.Key))
	if err != nil {
		c.addf("tls.certificate", "must be a PEM certificate with a matching tls.key: %v", err)
		return
	}
	t.Config = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"postgresql"},
	}
}

// Engine configures the password and the encryption of connections to engines. Relative paths are relative to the directory
// of the deploy file.
type Engine struct {
	PasswordFile string `toml:"password_file"` // path of a file with the password on one line; "" for no password
	TLS          bool   `toml:"tls"`           // connections are encrypted; engines that decline are not used
	Authority    string `toml:"authority"`     // path of the PEM certificates that engines' certificates are verified against; "" for the system's
	ServerName   string `toml:"server_name"`   // name that engines' certificates must have; "" verifies the chain without a name

	Password string      `toml:"-"` // content of PasswordFile
	Config   *tls.Config `toml:"-"` // nil if connections are not encrypted
}

// load reads the password and the trusted certificates. dir is the directory of the deploy file.
func (e *Engine) load(c *checker, dir string) {
	e.loadPassword(c, dir)
	if !e.TLS {
		c.requiref(e.Authority == "" && e.ServerName == "", "engine.tls", "must be true if engine.authority or engine.server_name is set")
		return
	}
	e.Config = &tls.Config{MinVersion: tls.VersionTLS12, ServerName: e.ServerName}
	if e.Authority != "" {
		raw, err := os.ReadFile(resolvePath(dir, e.Authority))
		e.Config.RootCAs = x509.NewCertPool()
		if err != nil || !e.Config.RootCAs.AppendCertsFromPEM(raw) {
			c.addf("engine.authority", "must be a readable file with at least one PEM certificate: %v", err)
		}
	}
	if e.ServerName == "" {
		// Engines are known only by address, and their certificates name no address: only the chain is verified, not the name.
		e.Config.InsecureSkipVerify = true
		e.Config.VerifyConnection = verifyChain(e.Config.RootCAs)
	}
}

// loadPassword reads the password without its line break.
func (e *Engine) loadPassword(c *checker, dir string) {
	if e.PasswordFile == "" {
		return
	}
	raw, err := os.ReadFile(resolvePath(dir, e.PasswordFile))
	if err != nil {
		c.addf("engine.password_file", "must be a readable file: %v", err)
		return
	}
	e.Password = strings.TrimRight(string(raw), "\r\n")
	c.requiref(e.Password != "", "engine.password_file", "must hold a password, but is empty")
}

// verifyChain returns a function for tls.Config.VerifyConnection that verifies the peer's certificate chain against the
// roots, without a server name. Nil roots are those of the system.
func verifyChain(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		options := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
		for _, certificate := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(certificate)
		}
		_, err := state.PeerCertificates[0].Verify(options)
		return err
	}
}
