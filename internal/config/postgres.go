package config

import (
	"errors"
	"fmt"
	"iter"
	"os"
	"path/filepath"

	"gannetspur/internal/scramauth"
)

// Postgres is the deploy file of the PostgreSQL frontend. Relative paths in it are relative to its directory, except for
// Shapes.Snapshot.
type Postgres struct {
	Listen         string `toml:"listen"`       // address for clients, HOST:PORT; "" disables the frontend
	SettingsFile   string `toml:"settings"`     // path of the JSON file with the settings
	MemoryMB       int    `toml:"memory_mb"`    // memory limit in MB; with 0 there is none, and buffers are sized for the gateway's default
	MaxDescriptors int    `toml:"sockets"`      // number of file descriptors that the process may open, from which the limit on clients follows; 0 for the gateway's default
	MaxClients     int    `toml:"most_clients"` // limit on client connections, if lower than the one that follows from MaxDescriptors; 0 for that one
	Users          string `toml:"users"`        // path of the file of users; "" admits every client without authentication
	User           string `toml:"user"`         // user name for connections to engines
	Database       string `toml:"database"`     // database for connections to engines; "" for the name of the user
	Consul         Consul `toml:"consul"`
	TLS            TLS    `toml:"tls"`
	Engine         Engine `toml:"engine"`
	Pool           Pool   `toml:"pool"`
	Shapes         Shapes `toml:"shapes"`

	TransactionIdleSeconds float64 `toml:"transaction_idle_s"` // limit on the time between statements of a transaction; 0 for 10 s
	TransactionMaxSeconds  float64 `toml:"transaction_most_s"` // limit on the duration of a transaction; 0 for 60 s
	ConnectTimeoutMS       float64 `toml:"connect_timeout_ms"` // for connecting to an engine and signing in; 0 for 1000 ms
	IdleTimeoutMS          float64 `toml:"idle_close_ms"`      // idle time after which a connection to an engine, other than the Pool.MinIdle that stay open, is closed; 0 for never

	DefaultClass      string      `toml:"default_class"`       // class of statements that neither a comment nor a rule assigns one to
	WriteClass        string      `toml:"write_class"`         // class of statements that may write and have no class from a comment or rule; "" for the first non-idempotent class without key order
	ReadOnlyFunctions []string    `toml:"read_only_functions"` // names of functions that only read, qualified by schema if needed
	Statements        []Statement `toml:"statement"`           // rules that assign classes, in order of precedence

	Logins       []scramauth.User `toml:"-"` // content of the file Users
	SiteSettings Site             `toml:"-"` // content of the file SettingsFile
}

// Statement is a rule that assigns a class to the statements that begin with given words.
type Statement struct {
	Starts   string `toml:"starts"`    // words that the statement begins with
	Class    string `toml:"class"`     // class of the settings
	Key      int    `toml:"key"`       // number of the parameter that holds the key, from 1; 0 for no key
	ReadOnly bool   `toml:"read_only"` // the statements only read, although their text cannot show it
}

// Pool limits the connections to each engine. A limit of 0 is no limit, except for MinIdle.
type Pool struct {
	PerEngine          int     `toml:"per_engine"` // connections to one engine, up to 10,000
	PerUser            int     `toml:"per_user"`   // connections to one engine in use by one user, up to 10,000
	MinIdle            int     `toml:"keep"`       // connections opened in advance and kept open while idle, at most 100 and, if that is set, PerEngine; 0 for none
	MaxLifetimeSeconds float64 `toml:"life_s"`     // age from which a connection is closed after its statement, 1 to 604,800 (a week)
}

// check validates the limits.
func (p *Pool) check(c *checker) {
	c.requiref(p.PerEngine >= 0 && p.PerEngine <= 10000, "pool.per_engine", "must be between 0 and 10000, got %d", p.PerEngine)
	c.requiref(p.PerUser >= 0 && p.PerUser <= 10000, "pool.per_user", "must be between 0 and 10000, got %d", p.PerUser)
	c.requiref(p.MinIdle >= 0 && p.MinIdle <= 100, "pool.keep", "must be between 0 and 100, got %d", p.MinIdle)
	c.requiref(p.PerEngine == 0 || p.MinIdle <= p.PerEngine, "pool.keep", "must be at most pool.per_engine (%d), got %d", p.PerEngine, p.MinIdle)
	c.requiref(p.MaxLifetimeSeconds == 0 || p.MaxLifetimeSeconds >= 1 && p.MaxLifetimeSeconds <= 604800, "pool.life_s", "must be 0 or between 1 and 604800, got %g", p.MaxLifetimeSeconds)
}

// Consul configures the Consul service from which the endpoint list is read.
type Consul struct {
	Address string `toml:"address"` // address of the HTTP API, HOST:PORT
	Service string `toml:"service"` // name under which engines are registered
	Token   string `toml:"token"`   // access token; "" for none
	Zone    string `toml:"zone"`    // zone of engines whose metadata has none; "" for the name of their datacenter
	Kind    string `toml:"kind"`    // kind of engines whose metadata has none
}

// LoadPostgres reads and validates the deploy file of the PostgreSQL frontend and the files that it names. The other files
// are not read if the frontend is disabled. Its error holds all faults, each with its file, line and field (see FaultsOf).
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

// Classes iterates over the names of the classes that the file assigns to statements. A name may occur more than once.
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

// loadUsers reads the file of users and adds its faults to those of the deploy file.
func (p *Postgres) loadUsers(c *checker, dir string) {
	users, err := loadUsers(resolvePath(dir, p.Users), p.SiteSettings.Policy.Classes)
	p.Logins = users
	if err == nil {
		return
	}
	var faults Faults
	if errors.As(err, &faults) {
		c.faults = append(c.faults, faults...)
		return
	}
	c.addf("users", "must be a readable file: %v", err)
}

// loadSettings reads the file of settings and adds its faults to those of the deploy file. It reports whether the settings
// could be decoded.
func (p *Postgres) loadSettings(c *checker, dir string) bool {
	file := resolvePath(dir, p.SettingsFile)
	raw, err := os.ReadFile(file)
	if err != nil {
		c.addf("settings", "must be a readable file: %v", err)
		return false
	}
	settingsCheck := &checker{file: file}
	if !settingsCheck.decodeSettings(raw, &p.SiteSettings) {
		c.faults = append(c.faults, settingsCheck.faults...)
		return false
	}
	return true
}
