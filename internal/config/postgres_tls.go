package config

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
)

// TLS is how clients' connections are encrypted. Files are in PEM, beside the deploy file.
type TLS struct {
	Certificate string      `toml:"certificate"` // with what leads to its authority; "": encryption is declined
	Key         string      `toml:"key"`
	Require     bool        `toml:"require"` // nobody is admitted without
	Config      *tls.Config `toml:"-"`
}

// load reads the certificate and its key.
func (t *TLS) load(c *checker, dir string) {
	if t.Certificate == "" {
		c.requiref(t.Key == "", "tls.certificate", "missing; there is a key")
		c.requiref(!t.Require, "tls.require", "there is no certificate")
		return
	}
	certificate, err := tls.LoadX509KeyPair(resolvePath(dir, t.Certificate), resolvePath(dir, t.Key))
	if err != nil {
		c.addf("tls.certificate", "%v", err)
		return
	}
	t.Config = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"postgresql"},
	}
}

// Engine says how the gateway signs in to engines, beside user and database.
type Engine struct {
	PasswordFile string `toml:"password_file"` // one line, beside the deploy file; "": no password
	TLS          bool   `toml:"tls"`           // connections are encrypted, or there are none
	Authority    string `toml:"authority"`     // that engines' certificates are signed by, PEM; "": those of the system
	ServerName   string `toml:"server_name"`   // that they name; "": the authority alone is checked

	Password string      `toml:"-"`
	Config   *tls.Config `toml:"-"`
}

// load reads the password, and whom to trust.
func (e *Engine) load(c *checker, dir string) {
	e.loadPassword(c, dir)
	if !e.TLS {
		c.requiref(e.Authority == "" && e.ServerName == "", "engine.tls", "it is off, and what it would check is named")
		return
	}
	e.Config = &tls.Config{MinVersion: tls.VersionTLS12, ServerName: e.ServerName}
	if e.Authority != "" {
		raw, err := os.ReadFile(resolvePath(dir, e.Authority))
		e.Config.RootCAs = x509.NewCertPool()
		if err != nil || !e.Config.RootCAs.AppendCertsFromPEM(raw) {
			c.addf("engine.authority", "it can't be read, or holds no certificate: %v", err)
		}
	}
	if e.ServerName == "" {
		// Engines are known by address alone. Certificates name no address, so the chain is verified without a name.
		e.Config.InsecureSkipVerify = true
		e.Config.VerifyConnection = verifyChain(e.Config.RootCAs)
	}
}

func (e *Engine) loadPassword(c *checker, dir string) {
	if e.PasswordFile == "" {
		return
	}
	raw, err := os.ReadFile(resolvePath(dir, e.PasswordFile))
	if err != nil {
		c.addf("engine.password_file", "%v", err)
		return
	}
	e.Password = strings.TrimRight(string(raw), "\r\n")
	c.requiref(e.Password != "", "engine.password_file", "it holds no password")
}

// verifyChain returns a check that a peer's certificate leads to one of the roots.
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
