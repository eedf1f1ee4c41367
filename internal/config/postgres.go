package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"os"
	"path/filepath"
	"strings"

	"gannetspur/internal/sqltext"
	"gannetspur/policy"

	"github.com/BurntSushi/toml"
)

// Postgres is the deploy file of the second front.
type Postgres struct {
	Listen        string      // where clients connect; "": the front is off
	Settings      string      // the settings, as JSON, in a file beside this one
	MemoryMB      int         `toml:"memory_mb"`
	Sockets       int         // descriptor limit
	MostClients   int         `toml:"most_clients"`
	DefaultClass  string      `toml:"default_class"`
	WriteClass    string      `toml:"write_class"`         // of what may write and has no class of its own; "": the first that runs once at most
	ReadOnly      []string    `toml:"read_only_functions"` // names, with their schema where they need one
	Statements    []Statement `toml:"statement"`
	User          string      // that engines are told
	Database      string
	ConnectWithin float64 `toml:"connect_timeout_ms"`
	IdleClose     float64 `toml:"idle_close_ms"`
	Consul        Consul
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

// Consul is where the roster of engines is read.
type Consul struct{ Address, Service, Token, Zone, Kind string }

// LoadPostgres reads the deploy file of the second front, and the settings that
// it names. Its errors name the field at fault.
func LoadPostgres(path string) (*Postgres, error) {
	var p Postgres
	meta, err := toml.DecodeFile(path, &p)
	if err != nil {
		return nil, fmt.Errorf("deploy file %s: %w", path, err)
	}
	if odd := meta.Undecoded(); len(odd) > 0 {
		return nil, fmt.Errorf("deploy file %s: %s: unknown field", path, odd[0])
	}
	if p.Listen == "" {
		return &p, nil
	}
	if err := p.check(filepath.Dir(path)); err != nil {
		return nil, fmt.Errorf("deploy file %s: %w", path, err)
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

func (p *Postgres) check(dir string) error {
	for _, a := range []struct{ name, addr string }{{"listen", p.Listen}, {"consul.address", p.Consul.Address}} {
		if err := checkAddr(a.addr); err != nil {
			return fmt.Errorf("%s: %w", a.name, err)
		}
	}
	if p.Consul.Service == "" {
		return errors.New("consul.service: missing")
	}
	if p.User == "" {
		return errors.New("user: missing")
	}
	if p.Database == "" {
		p.Database = p.User
	}
	file := p.Settings
	if !filepath.IsAbs(file) {
		file = filepath.Join(dir, file)
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := json.Unmarshal(raw, &p.Site); err != nil {
		return fmt.Errorf("settings: %s: %w", p.Settings, fieldError(err))
	}
	classes := map[string]policy.Effect{}
	for _, c := range p.Site.Policy.Classes {
		classes[c.Name] = c.Effect
		if p.WriteClass == "" && c.Effect == policy.Unsafe {
			p.WriteClass = c.Name
		}
	}
	if _, ok := classes[p.DefaultClass]; !ok {
		return fmt.Errorf("default_class: %q is no class of the settings", p.DefaultClass)
	}
	if e, ok := classes[p.WriteClass]; p.WriteClass != "" && (!ok || e != policy.Unsafe) {
		return fmt.Errorf("write_class: %q is no class of the settings whose effect is non_idempotent", p.WriteClass)
	}
	for i, name := range p.ReadOnly {
		if name == "" || name != strings.ToLower(name) || strings.ContainsAny(name, " ()\"'") || strings.Count(name, ".") > 1 {
			return fmt.Errorf("read_only_functions[%d]: %q is no function's name in small letters, as in price_of or stock.price_of", i, name)
		}
	}
	for i, s := range p.Statements {
		effect, ok := classes[s.Class]
		writes := sqltext.EffectOf(s.Starts, nil).Effect == sqltext.Writes
		switch {
		case s.Starts == "":
			return fmt.Errorf("statement[%d].starts: missing", i)
		case !ok:
			return fmt.Errorf("statement[%d].class: %q is no class of the settings", i, s.Class)
		case s.Key < 0 || s.Key > 65535:
			return fmt.Errorf("statement[%d].key: %d is no parameter's number", i, s.Key)
		case writes && s.ReadOnly:
			return fmt.Errorf("statement[%d].read_only: %q writes", i, s.Starts)
		case writes && effect == policy.Safe:
			return fmt.Errorf("statement[%d].class: %q writes, and class %q is safe to repeat", i, s.Starts, s.Class)
		}
	}
	return nil
}
