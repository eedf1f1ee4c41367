package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestLoadPostgresConnections checks the settings of connections to engines and clients, and that each fault has a line.
func TestLoadPostgresConnections(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/postgres.toml")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := os.ReadFile("../../deploy/postgres-settings.json")
	if err != nil {
		t.Fatal(err)
	}
	for name, tt := range map[string]struct{ old, new, fault string }{
		"password":                       {`password_file = ""`, `password_file = "password"`, ""},
		"missing password file":          {`password_file = ""`, `password_file = "nowhere"`, "engine.password_file"},
		"empty password file":            {`password_file = ""`, `password_file = "empty"`, "engine.password_file"},
		"engine TLS":                     {`tls = false `, `tls = true `, ""},
		"authority without certificate":  {"tls = false        # true: connections are encrypted, or there are none\nauthority = \"\"", "tls = true\nauthority = \"password\"", "engine.authority"},
		"server name without engine TLS": {`server_name = ""`, `server_name = "engine"`, "engine.tls"},
		"key without certificate":        {`key = ""`, `key = "password"`, "tls.certificate"},
		"certificate file without one":   {`certificate = ""`, `certificate = "password"`, "tls.certificate"},
		"TLS required, no certificate":   {"require = false", "require = true", "tls.require"},
		"connection limit":               {`per_engine = 0 `, `per_engine = 4 `, ""},
		"too many idle connections":      {"keep = 0 ", "keep = 101 ", "pool.keep"},
		"connection age below 1 s":       {`life_s = 0 `, `life_s = 0.5 `, "pool.life_s"},
		"negative transaction timeout":   {"transaction_idle_s = 10", "transaction_idle_s = -1", "transaction_idle_s"},
	} {
		dir := t.TempDir()
		text := strings.Replace(string(raw), tt.old, tt.new, 1)
		if text == string(raw) {
			t.Fatalf("%s: deploy/postgres.toml does not contain %q", name, tt.old)
		}
		for file, content := range map[string]string{"postgres.toml": text, "postgres-settings.json": string(settings), "password": "secret\n", "empty": "\n"} {
			if err := os.WriteFile(filepath.Join(dir, file), []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		p, err := LoadPostgres(filepath.Join(dir, "postgres.toml"))
		switch {
		case tt.fault != "" && !slices.ContainsFunc(FaultsOf(err), func(f Fault) bool { return f.Field == tt.fault && f.Line > 0 }):
			t.Errorf("%s: LoadPostgres() error = %v, want a fault of %s with its line", name, err, tt.fault)
		case tt.fault == "" && err != nil:
			t.Errorf("%s: LoadPostgres() error = %v, want none", name, err)
		case name == "password" && p.Engine.Password != "secret":
			t.Errorf("%s: Engine.Password = %q, want %q", name, p.Engine.Password, "secret")
		case name == "engine TLS" && p.Engine.Config == nil:
			t.Errorf("%s: Engine.Config = nil, want a TLS configuration", name)
		}
	}
}
