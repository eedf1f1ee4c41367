package config

import (
	"fmt"
	"path/filepath"
	"strings"

	"gannetspur/internal/sqltext"
	"gannetspur/policy"
)

const (
	maxTransactionSeconds = 86400
	maxParameterNumber    = 65535 // the protocol counts parameters in 16 bits
)

// check names what can't be used, and reads the files that the deploy file names.
func (p *Postgres) check(c *checker, dir string) {
	p.checkScalars(c)
	p.Pool.check(c)
	if p.Database == "" {
		p.Database = p.User
	}
	p.checkReadOnlyFunctions(c)
	if !p.loadSettings(c, dir) {
		return // nothing is known of the classes
	}
	classes := p.classesByName()
	p.chooseWriteClass()
	p.checkDefaultClasses(c, classes)
	for i, statement := range p.Statements {
		statement.check(c, fmt.Sprintf("statement[%d].", i), classes)
	}
	p.Shapes.check(c, "shapes.", p.Site.Policy.Classes)
	if p.Users != "" {
		p.loadUsers(c, dir)
	}
	p.TLS.load(c, dir)
	p.Engine.load(c, dir)
}

func (p *Postgres) checkScalars(c *checker) {
	c.requireAddress("listen", p.Listen)
	c.requireAddress("consul.address", p.Consul.Address)
	c.requiref(p.Consul.Service != "", "consul.service", "missing; wanted is the name that engines are registered under")
	c.requiref(p.User != "", "user", "missing; wanted is the name that engines are spoken to in")
	c.requiref(p.MemoryMB >= 0, "memory_mb", "%d is below 0", p.MemoryMB)
	c.requireRanges([]numberRange{
		{"transaction_idle_s", p.TransactionIdleSeconds, 0, maxTransactionSeconds},
		{"transaction_most_s", p.TransactionMaxSeconds, 0, maxTransactionSeconds},
	})
	c.requiref(p.Sockets >= 0, "sockets", "%d is below 0", p.Sockets)
}

func (p *Postgres) checkReadOnlyFunctions(c *checker) {
	for i, name := range p.ReadOnlyFunctions {
		lowerCase := name == strings.ToLower(name)
		plain := !strings.ContainsAny(name, " ()\"'")
		qualifiedOnce := strings.Count(name, ".") <= 1
		c.requiref(name != "" && lowerCase && plain && qualifiedOnce, fmt.Sprintf("read_only_functions[%d]", i),
			"%q is no function's name in small letters, as in price_of or stock.price_of", name)
	}
}

func (p *Postgres) classesByName() map[string]policy.Class {
	classes := map[string]policy.Class{}
	for _, class := range p.Site.Policy.Classes {
		classes[class.Name] = class
	}
	return classes
}

// chooseWriteClass sets the class of writes where the file names none: the first that runs once at most and in any order.
func (p *Postgres) chooseWriteClass() {
	for _, class := range p.Site.Policy.Classes {
		if p.WriteClass == "" && class.Idempotency == policy.NotIdempotent && !class.Ordered {
			p.WriteClass = class.Name
		}
	}
}

func (p *Postgres) checkDefaultClasses(c *checker, classes map[string]policy.Class) {
	for _, s := range []struct{ field, class string }{{"default_class", p.DefaultClass}, {"write_class", p.WriteClass}} {
		c.requiref(!classes[s.class].Ordered, s.field, "class %q keeps the order of keys, and nothing names a key here", s.class)
	}
	c.requiref(!p.Site.Policy.Limits.AllowLoadRequests, "settings", "limits.may-probe: engines of the PostgreSQL wire are not probed")
	_, known := classes[p.DefaultClass]
	c.requiref(known, "default_class", "%q is no class of the settings", p.DefaultClass)
	if p.WriteClass == "" {
		return
	}
	class, known := classes[p.WriteClass]
	c.requiref(known && class.Idempotency == policy.NotIdempotent, "write_class",
		"%q is no class of the settings whose effect is non_idempotent", p.WriteClass)
}

// check names what can't be used of one rule.
func (s *Statement) check(c *checker, prefix string, classes map[string]policy.Class) {
	class, known := classes[s.Class]
	writes := sqltext.EffectOf(s.Starts, nil).Effect == sqltext.Writes
	c.requiref(s.Starts != "", prefix+"starts", "missing; wanted are the words that statements begin with")
	c.requiref(known, prefix+"class", "%q is no class of the settings", s.Class)
	c.requiref(s.Key >= 0 && s.Key <= maxParameterNumber, prefix+"key", "%d is no parameter's number, 1 to 65535", s.Key)
	c.requiref(!class.Ordered || s.Key > 0, prefix+"key", "missing; class %q keeps the order of keys", s.Class)
	c.requiref(!writes || !s.ReadOnly, prefix+"read_only", "%q writes", s.Starts)
	c.requiref(!known || !writes || class.Idempotency != policy.Idempotent, prefix+"class", "%q writes, and class %q is safe to repeat", s.Starts, s.Class)
}

// resolvePath returns a path; a relative one counts from the folder.
func resolvePath(dir, file string) string {
	if filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(dir, file)
}
