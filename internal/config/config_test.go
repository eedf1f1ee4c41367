package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gannetspur/policy"
)

// TestParseFaults checks that the error of an invalid configuration names the field.
func TestParseFaults(t *testing.T) {
	raw, err := os.ReadFile("../../examples/toy/config.json")
	if err != nil {
		t.Fatal(err)
	}
	valid := string(raw)
	for _, tt := range []struct{ old, new, field string }{
		{`"listen": "127.0.0.1:9090"`, `"listen": "nowhere"`, "listen"},
		{`"listen": "127.0.0.1:9090"`, `"listen": 5`, "listen"},
		{`"seed": "8c`, `"seed": "zz`, "seed"},
		{`"sockets": 1024`, `"sockets": "many"`, "limits.sockets"},
		{`"in_service"`, `"odd"`, "known.batch[0].topology.targets[0].state"},
		{`"127.0.0.1:9101"`, `"x"`, "known.batch[0].topology.targets[0].endpoint"},
		{`"s-00000001"`, `""`, "known.batch[0].topology.targets[0].uid"},
		{`"settings"`, `"sittings"`, "settings"},
		{`"balancers": 1`, `"balancers": 0`, "settings.balancers"},
		{`"read_like"`, `"odd"`, "classes[0].effect"},
		{``, ``, ""},
		{`"when-short": "queue"`, `"when-short": "odd"`, "extra.when-short"},
	} {
		_, err := Parse([]byte(strings.Replace(valid, tt.old, tt.new, 1)))
		if tt.field == "" {
			if err != nil {
				t.Errorf("Parse() of a valid configuration: error %v, want none", err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), tt.field) {
			t.Errorf("Parse() with %s: error %v, want one that names %s", tt.new, err, tt.field)
		}
	}
	c, err := Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	if e := c.KnownEvents[0].Engines[0]; e.ID != "s-00000001" || e.State != policy.EngineLive || e.StartKnown || c.LastEvent != 1 {
		t.Errorf("Parse() = %+v, want the live engine s-00000001 of unknown start first, and offset 1", c)
	}
}

// TestLoadPostgresFaults checks that the error of an invalid deploy file names the field, and that a
// file without a listen address is valid.
func TestLoadPostgresFaults(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/postgres.toml")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := os.ReadFile("../../deploy/postgres-settings.json")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "postgres-settings.json"), settings, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ old, new, field string }{
		{``, ``, ""},
		{`listen = "127.0.0.1:5433"`, `listen = ""`, ""},
		{`listen = "127.0.0.1:5433"`, `listen = "x"`, "listen"},
		{`address = "127.0.0.1:8500"`, ``, "consul.address"},
		{`service = "stock-engine"`, ``, "consul.service"},
		{`user = `, `usr = `, "usr"},
		{`user = "ringwood"`, ``, "user"},
		{`default_class = "lookup"`, `default_class = "odd"`, "default_class"},
		{`class = "load"`, `class = "odd"`, "statement[0].class"},
		{`key = 1`, `key = -1`, "statement[0].key"},
		{`postgres-settings.json`, `none.json`, "settings"},
		{`write_class = "write"`, `write_class = "lookup"`, "write_class"},
		{`read_only_functions = []`, `read_only_functions = ["F(x)"]`, "read_only_functions[0]"},
		{`class = "load"`, `class = "report"`, "statement[0].class"},
		{`key = 1`, `read_only = true`, "statement[0].read_only"},
	} {
		path := filepath.Join(dir, "postgres.toml")
		if err := os.WriteFile(path, []byte(strings.Replace(string(raw), tt.old, tt.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadPostgres(path)
		if (err == nil) != (tt.field == "") || err != nil && !strings.Contains(err.Error(), tt.field) {
			t.Errorf("LoadPostgres() with %s: error %v, want the field %q, where \"\" is no error", tt.new, err, tt.field)
		}
	}
}
