package config

import (
	"errors"
	"fmt"
	"iter"
	"os"
	"path/filepath"

	"gannetspur/internal/scramauth"
)

// Postgres is the deploy file of the PostgreSQL frontend.
type Postgres struct {
	Listen     string `toml:"listen"`   // where clients connect; "": the frontend is off
	Settings   string `toml:"settings"` // the settings, as JSON, in a file beside this one
	MemoryMB   int    `toml:"memory_mb"`
	Sockets    int    `toml:"sockets"` // descriptor limit
	MaxClients int    `toml:"most_clients"`
	Users      string `toml:"users"` // a file of those who may sign in, beside this one; "": everybody may, unasked
	User       string `toml:"user"`  // that engines are told
	Database   string `toml:"database"`
	Consul     Consul `toml:"consul"`
	TLS        TLS    `toml:"tls"`
	Engine     Engine `toml:"engine"`
	Pool       Pool   `toml:"pool"`
	Shapes     Shapes `toml:"shapes"`

	TransactionIdleSeconds float64 `toml:"transaction_idle_s"` // a client may be silent within a transaction for so long; 0: 10 s
	TransactionMaxSeconds  float64 `toml:"transaction_most_s"` // a transaction may take so long; 0: 60 s
	ConnectTimeoutMS       float64 `toml:"connect_timeout_ms"`
	IdleCloseMS            float64 `toml:"idle_close_ms"`

	DefaultClass      string      `toml:"default_class"`
	WriteClass        string      `toml:"write_class"`         // of what may write and has no class of its own; "": the first that runs once at most
	ReadOnlyFunctions []string    `toml:"read_only_functions"` // names, with their schema where they need one
	Statements        []Statement `toml:"statement"`

	Logins []scramauth.User `toml:"-"` // the content of Users
	Site   Site             `toml:"-"` // the content of Settings
}

// Statement gives a class to statements that begin with some words, and names
// the parameter that holds their key.
type Statement struct {
	Starts   string `toml:"starts"`
	Class    string `toml:"class"`
	Key      int    `toml:"key"`
	ReadOnly bool   `toml:"read_only"`
}

// Pool bounds the connections to each engine. What is left out bounds nothing.
type Pool struct {
	PerEngine   int     `toml:"per_engine"` // connections to one engine, to 10,000
	PerUser     int     `toml:"per_user"`   // of these, how many work for one user
	MinIdle     int     `toml:"keep"`       // are opened ahead, and stay open while idle; at most per_engine, where that is set, and 100
	LifeSeconds float64 `toml:"life_s"`     // a connection ends behind its statement once it is so old; 1 to 604,800
}

func (p *Pool) check(c *checker) {
	c.requiref(p.PerEngine >= 0 && p.PerEngine <= 10000, "pool.per_engine", "%d is not from 0 to 10000", p.PerEngine)
	c.requiref(p.PerUser >= 0 && p.PerUser <= 10000, "pool.per_user", "%d is not from 0 to 10000", p.PerUser)
	c.requiref(p.MinIdle >= 0 && p.MinIdle <= 100, "pool.keep", "%d is not from 0 to 100", p.MinIdle)
	c.requiref(p.PerEngine == 0 || p.MinIdle <= p.PerEngine, "pool.keep", "%d is more than pool.per_engine, %d", p.MinIdle, p.PerEngine)
	c.requiref(p.LifeSeconds == 0 || p.LifeSeconds >= 1 && p.LifeSeconds <= 604800, "pool.life_s", "%g is not 0, nor from 1 to 604800", p.LifeSeconds)
}

// Consul is where the list of engines is read.
type Consul struct {
	Address string `toml:"address"`
	Service string `toml:"service"`
	Token   string `toml:"token"`
	Zone    string `toml:"zone"`
	Kind    string `toml:"kind"`
}

// LoadPostgres reads the deploy file of the PostgreSQL frontend, and the settings that it names.
// Its error lists all faults, each with its file, line and field (see FaultsOf).
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

// loadUsers reads the file of users.
func (p *Postgres) loadUsers(c *checker, dir string) {
	users, err := loadUsers(resolvePath(dir, p.Users), p.Site.Policy.Classes)
	p.Logins = users
	if err == nil {
		return
	}
	var faults Faults
	if errors.As(err, &faults) {
		c.faults = append(c.faults, faults...)
		return
	}
	c.addf("users", "%v", err)
}

// loadSettings reads the file of settings, and reports whether their classes are known.
func (p *Postgres) loadSettings(c *checker, dir string) bool {
	file := resolvePath(dir, p.Settings)
	raw, err := os.ReadFile(file)
	if err != nil {
		c.addf("settings", "%v", err)
		return false
	}
	settings := &checker{file: file}
	if !settings.settings(raw, &p.Site) {
		c.faults = append(c.faults, settings.faults...)
		return false
	}
	return true
}
