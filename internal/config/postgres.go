package config

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"iter"
	"os"
	"path/filepath"
	"strings"

	"gannetspur/internal/scramauth"
	"gannetspur/internal/sqltext"
	"gannetspur/policy"
)

// Postgres is the deploy file of the second front.
type Postgres struct {
	Listen        string           // where clients connect; "": the front is off
	Settings      string           // the settings, as JSON, in a file beside this one
	MemoryMB      int              `toml:"memory_mb"`
	Sockets       int              // descriptor limit
	MostClients   int              `toml:"most_clients"`
	TxIdle        float64          `toml:"transaction_idle_s"` // its client may say nothing for so long; 0: 10 s
	TxMost        float64          `toml:"transaction_most_s"` // and it may take so long; 0: 60 s
	DefaultClass  string           `toml:"default_class"`
	WriteClass    string           `toml:"write_class"`         // of what may write and has no class of its own; "": the first that runs once at most
	ReadOnly      []string         `toml:"read_only_functions"` // names, with their schema where they need one
	Statements    []Statement      `toml:"statement"`
	Users         string           // a file of those who may log in, beside this one; "": everybody may, unasked
	Logins        []scramauth.User `toml:"-"`
	User          string           // that engines are told
	Database      string
	ConnectWithin float64 `toml:"connect_timeout_ms"`
	IdleClose     float64 `toml:"idle_close_ms"`
	Consul        Consul
	TLS           TLS
	Engine        Engine
	Pool          Pool
	Shapes        Shapes
	Site          Site `toml:"-"`
}

// Statement gives a class to statements that begin with some words, and names
// the parameter that holds their key.
type Statement struct {
	Starts   string
	Class    string
	Key      int
	ReadOnly bool `toml:"read_only"`
}

// TLS is how clients' connections are encrypted. Files are in PEM, beside the deploy file.
type TLS struct {
	Certificate string // with what leads to its authority; "": encryption is declined
	Key         string
	Require     bool        // nobody is let in without
	Config      *tls.Config `toml:"-"`
}

// Engine says how engines are spoken to beside their user and database.
type Engine struct {
	PasswordFile string `toml:"password_file"` // one line, beside the deploy file; "": no password
	TLS          bool   // connections are encrypted, or there are none
	Authority    string // that engines' certificates are signed by, PEM; "": those of the system
	ServerName   string `toml:"server_name"` // that they name; "": the authority alone is checked

	Password string      `toml:"-"`
	Config   *tls.Config `toml:"-"`
}

// Pool bounds the connections to each engine. What is left out bounds nothing.
type Pool struct {
	PerEngine int     `toml:"per_engine"` // connections to one engine, to 10,000
	PerUser   int     `toml:"per_user"`   // of these, how many work for one user
	Keep      int     // are opened ahead, and stay open while idle; at most per_engine, where that is set, and 100
	Life      float64 `toml:"life_s"` // a connection ends behind its statement once it is so old; 1 to 604,800
}

func (p *Pool) check(c *checker) {
	c.must(p.PerEngine >= 0 && p.PerEngine <= 10000, "pool.per_engine", "%d is not from 0 to 10000", p.PerEngine)
	c.must(p.PerUser >= 0 && p.PerUser <= 10000, "pool.per_user", "%d is not from 0 to 10000", p.PerUser)
	c.must(p.Keep >= 0 && p.Keep <= 100, "pool.keep", "%d is not from 0 to 100", p.Keep)
	c.must(p.PerEngine == 0 || p.Keep <= p.PerEngine, "pool.keep", "%d is more than pool.per_engine, %d", p.Keep, p.PerEngine)
	c.must(p.Life == 0 || p.Life >= 1 && p.Life <= 604800, "pool.life_s", "%g is not 0, nor from 1 to 604800", p.Life)
}

// Consul is where the roster of engines is read.
type Consul struct{ Address, Service, Token, Zone, Kind string }

// LoadPostgres reads the deploy file of the second front, and the settings that it names.
// Its error tells of all faults, each with its file, line and field (see FaultsOf).
func LoadPostgres(path string) (*Postgres, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("deploy file: %w", err)
	}
	var p Postgres
	c := &checker{file: path}
	if !decodeTOML(c, raw, &p) {
		return nil, c.err()
	}
	if p.Listen != "" {
		p.check(c, filepath.Dir(path))
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return &p, nil
}

// Classes lists the classes that statements are given.
func (p *Postgres) Classes() iter.Seq[string] {
	return func(yield func(string) bool) {
		if !yield(p.DefaultClass) || p.WriteClass != "" && !yield(p.WriteClass) {
			return
		}
		for _, s := range p.Statements {
			if !yield(s.Class) {
				return
			}
		}
	}
}

func (p *Postgres) check(c *checker, dir string) {
	c.address("listen", p.Listen)
	c.address("consul.address", p.Consul.Address)
	c.must(p.Consul.Service != "", "consul.service", "missing; wanted is the name that engines are registered under")
	c.must(p.User != "", "user", "missing; wanted is the name that engines are spoken to in")
	c.must(p.MemoryMB >= 0, "memory_mb", "%d is below 0", p.MemoryMB)
	c.must(p.TxIdle >= 0 && p.TxIdle <= 86400, "transaction_idle_s", "%g is not from 0 to 86400", p.TxIdle)
	c.must(p.TxMost >= 0 && p.TxMost <= 86400, "transaction_most_s", "%g is not from 0 to 86400", p.TxMost)
	c.must(p.Sockets >= 0, "sockets", "%d is below 0", p.Sockets)
	p.Pool.check(c)
	if p.Database == "" {
		p.Database = p.User
	}
	for i, name := range p.ReadOnly {
		if name == "" || name != strings.ToLower(name) || strings.ContainsAny(name, " ()\"'") || strings.Count(name, ".") > 1 {
			c.add(fmt.Sprintf("read_only_functions[%d]", i), "%q is no function's name in small letters, as in price_of or stock.price_of", name)
		}
	}
	if !p.site(c, dir) {
		return // nothing is known of the classes
	}
	classes, inOrder := map[string]policy.Idempotency{}, map[string]bool{}
	for _, class := range p.Site.Policy.Classes {
		classes[class.Name] = class.Idempotency
		inOrder[class.Name] = class.Ordered
		if p.WriteClass == "" && class.Idempotency == policy.NotIdempotent && !class.Ordered {
			p.WriteClass = class.Name
		}
	}
	// What comes without a key can't have a class that keeps the order of keys.
	for _, s := range []struct{ field, class string }{{"default_class", p.DefaultClass}, {"write_class", p.WriteClass}} {
		c.must(!inOrder[s.class], s.field, "class %q keeps the order of keys, and nothing names a key here", s.class)
	}
	c.must(!p.Site.Policy.Limits.AllowLoadRequests, "settings", "limits.may-probe: engines of the PostgreSQL wire are not probed")
	_, ok := classes[p.DefaultClass]
	c.must(ok, "default_class", "%q is no class of the settings", p.DefaultClass)
	if e, ok := classes[p.WriteClass]; p.WriteClass != "" && (!ok || e != policy.NotIdempotent) {
		c.add("write_class", "%q is no class of the settings whose effect is non_idempotent", p.WriteClass)
	}
	for i, s := range p.Statements {
		at := func(field string) string { return fmt.Sprintf("statement[%d].%s", i, field) }
		effect, ok := classes[s.Class]
		writes := sqltext.EffectOf(s.Starts, nil).Effect == sqltext.Writes
		c.must(s.Starts != "", at("starts"), "missing; wanted are the words that statements begin with")
		c.must(ok, at("class"), "%q is no class of the settings", s.Class)
		c.must(s.Key >= 0 && s.Key <= 65535, at("key"), "%d is no parameter's number, 1 to 65535", s.Key)
		c.must(!inOrder[s.Class] || s.Key > 0, at("key"), "missing; class %q keeps the order of keys", s.Class)
		c.must(!writes || !s.ReadOnly, at("read_only"), "%q writes", s.Starts)
		c.must(!ok || !writes || effect != policy.Idempotent, at("class"), "%q writes, and class %q is safe to repeat", s.Starts, s.Class)
	}
	p.Shapes.check(c, "shapes.", p.Site.Policy.Classes)
	if p.Users != "" {
		p.users(c, dir)
	}
	p.TLS.load(c, dir)
	p.Engine.load(c, dir)
}

// load reads the password, and whom to trust.
func (e *Engine) load(c *checker, dir string) {
	if e.PasswordFile != "" {
		raw, err := os.ReadFile(beside(dir, e.PasswordFile))
		if err != nil {
			c.add("engine.password_file", "%v", err)
		}
		if e.Password = strings.TrimRight(string(raw), "\r\n"); err == nil && e.Password == "" {
			c.add("engine.password_file", "it holds no password")
		}
	}
	if !e.TLS {
		c.must(e.Authority == "" && e.ServerName == "", "engine.tls", "it is off, and what it would check is named")
		return
	}
	e.Config = &tls.Config{MinVersion: tls.VersionTLS12, ServerName: e.ServerName}
	if e.Authority != "" {
		raw, err := os.ReadFile(beside(dir, e.Authority))
		e.Config.RootCAs = x509.NewCertPool()
		if err != nil || !e.Config.RootCAs.AppendCertsFromPEM(raw) {
			c.add("engine.authority", "it can't be read, or holds no certificate: %v", err)
		}
	}
	if e.ServerName == "" { // engines are known by address: the authority vouches for them
		roots := e.Config.RootCAs
		e.Config.InsecureSkipVerify = true
		e.Config.VerifyConnection = func(s tls.ConnectionState) error {
			opts := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
			for _, one := range s.PeerCertificates[1:] {
				opts.Intermediates.AddCert(one)
			}
			_, err := s.PeerCertificates[0].Verify(opts)
			return err
		}
	}
}

// beside is a file whose name counts from a folder.
func beside(dir, file string) string {
	if filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(dir, file)
}

// load reads the certificate and its key.
func (t *TLS) load(c *checker, dir string) {
	if t.Certificate == "" {
		c.must(t.Key == "", "tls.certificate", "missing; there is a key")
		c.must(!t.Require, "tls.require", "there is no certificate")
		return
	}
	cert, err := tls.LoadX509KeyPair(beside(dir, t.Certificate), beside(dir, t.Key))
	if err != nil {
		c.add("tls.certificate", "%v", err)
		return
	}
	t.Config = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12, NextProtos: []string{"postgresql"}}
}

// users reads the file of users that the file names.
func (p *Postgres) users(c *checker, dir string) {
	all, err := loadUsers(beside(dir, p.Users), p.Site.Policy.Classes)
	var faults Faults
	switch {
	case errors.As(err, &faults):
		c.faults = append(c.faults, faults...)
	case err != nil:
		c.add("users", "%v", err)
	}
	p.Logins = all
}

// site reads the settings that the file names.
func (p *Postgres) site(c *checker, dir string) bool {
	file := beside(dir, p.Settings)
	raw, err := os.ReadFile(file)
	if err != nil {
		c.add("settings", "%v", err)
		return false
	}
	k := &checker{file: file}
	if !k.settings(raw, &p.Site) {
		c.faults = append(c.faults, k.faults...)
		return false
	}
	return true
}
