package config

import (
	"fmt"
	"path/filepath"
	"strings"

	"gannetspur/internal/sqltext"
	"gannetspur/policy"
)

const (
	maxTransactionSeconds = 86400 // one day
	maxParameterNumber    = 65535 // the PostgreSQL protocol counts parameters in 16 bits
)

// check validates the fields and reads the files that they name. dir is the directory of the deploy file.
func (p *Postgres) check(c *checker, dir string) {
	p.checkScalars(c)
	p.Pool.check(c)
	if p.Database == "" {
		p.Database = p.User
	}
	p.checkReadOnlyFunctions(c)
	if !p.loadSettings(c, dir) {
		return // most of the remaining checks need the classes of the settings
	}
	classes := p.classesByName()
	p.chooseWriteClass()
	p.checkDefaultClasses(c, classes)
	for i, statement := range p.Statements {
		statement.check(c, fmt.Sprintf("statement[%d].", i), classes)
	}
	p.Shapes.check(c, "shapes.", p.SiteSettings.Policy.Classes)
	if p.Users != "" {
		p.loadUsers(c, dir)
	}
	p.TLS.load(c, dir)
	p.Engine.load(c, dir)
}

// checkScalars validates the fields that need no other file.
func (p *Postgres) checkScalars(c *checker) {
	c.requireAddress("listen", p.Listen)
	c.requireAddress("consul.address", p.Consul.Address)
	c.requiref(p.Consul.Service != "", "consul.service", "must be set to the name under which engines are registered")
	c.requiref(p.User != "", "user", "must be set to the user name for connections to engines")
	c.requiref(p.MemoryMB >= 0, "memory_mb", "must be at least 0, got %d", p.MemoryMB)
	c.requireRanges([]numberRange{
		{"transaction_idle_s", p.TransactionIdleSeconds, 0, maxTransactionSeconds},
		{"transaction_most_s", p.TransactionMaxSeconds, 0, maxTransactionSeconds},
	})
	c.requiref(p.MaxDescriptors >= 0, "sockets", "must be at least 0, got %d", p.MaxDescriptors)
}

// checkReadOnlyFunctions validates the names of functions: NAME or SCHEMA.NAME, in lower case and without quotes.
func (p *Postgres) checkReadOnlyFunctions(c *checker) {
	for i, name := range p.ReadOnlyFunctions {
		lowerCase := name == strings.ToLower(name)
		plain := !strings.ContainsAny(name, " ()\"'")
		qualifiedOnce := strings.Count(name, ".") <= 1
		c.requiref(name != "" && lowerCase && plain && qualifiedOnce, fmt.Sprintf("read_only_functions[%d]", i),
			"must be a function name in lower case, such as price_of or stock.price_of, got %q", name)
	}
}

// classesByName returns the classes of the settings by name.
func (p *Postgres) classesByName() map[string]policy.Class {
	classes := map[string]policy.Class{}
	for _, class := range p.SiteSettings.Policy.Classes {
		classes[class.Name] = class
	}
	return classes
}

// chooseWriteClass sets the default write class if the file names none: the first class that is executed at most once and
// does not keep the order of keys.
func (p *Postgres) chooseWriteClass() {
	for _, class := range p.SiteSettings.Policy.Classes {
		if p.WriteClass == "" && class.Idempotency == policy.NotIdempotent && !class.Ordered {
			p.WriteClass = class.Name
		}
	}
}

// checkDefaultClasses validates the default class, the write class and the use of load requests in the settings. Neither class
// may keep the order of keys: they apply to statements without a comment or rule that names the parameter of the key.
func (p *Postgres) checkDefaultClasses(c *checker, classes map[string]policy.Class) {
	for _, s := range []struct{ field, class string }{{"default_class", p.DefaultClass}, {"write_class", p.WriteClass}} {
		c.requiref(!classes[s.class].Ordered, s.field, "must be a class without key order, as its statements name no key, got %q", s.class)
	}
	c.requiref(!p.SiteSettings.Policy.Limits.AllowLoadRequests, "settings", "limits.may-probe must be false: the PostgreSQL protocol has no load requests")
	_, known := classes[p.DefaultClass]
	c.requiref(known, "default_class", "must be a class of the settings, got %q", p.DefaultClass)
	if p.WriteClass == "" {
		return
	}
	class, known := classes[p.WriteClass]
	c.requiref(known && class.Idempotency == policy.NotIdempotent, "write_class",
		"must be a class of the settings with the effect non_idempotent, got %q", p.WriteClass)
}

// check validates one rule. The prefix is the path of the rule, for faults; classes are those of the settings by name.
func (s *Statement) check(c *checker, prefix string, classes map[string]policy.Class) {
	class, known := classes[s.Class]
	writes := sqltext.EffectOf(s.Starts, nil).Effect == sqltext.Writes
	c.requiref(s.Starts != "", prefix+"starts", "must be set to the words that statements begin with")
	c.requiref(known, prefix+"class", "must be a class of the settings, got %q", s.Class)
	c.requiref(s.Key >= 0 && s.Key <= maxParameterNumber, prefix+"key", "must be a parameter number between 1 and 65535, or 0 for no key, got %d", s.Key)
	c.requiref(!class.Ordered || s.Key > 0, prefix+"key", "must be set, as class %q keeps the order of keys", s.Class)
	c.requiref(!writes || !s.ReadOnly, prefix+"read_only", "must be false, as %q writes", s.Starts)
	c.requiref(!known || !writes || class.Idempotency != policy.Idempotent, prefix+"class", "must not be an idempotent class, as %q writes, got %q", s.Starts, s.Class)
}

// resolvePath returns the path of a file. A relative path is taken as relative to dir.
func resolvePath(dir, file string) string {
	if filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(dir, file)
}
