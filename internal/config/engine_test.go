package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// How engines are spoken to, and each fault with its line.
func TestEngine(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/postgres.toml")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := os.ReadFile("../../deploy/postgres-settings.json")
	if err != nil {
		t.Fatal(err)
	}
	for name, tt := range map[string]struct{ old, new, fault string }{
		"a password":            {`password_file = ""`, `password_file = "password"`, ""},
		"no such file":          {`password_file = ""`, `password_file = "nowhere"`, "engine.password_file"},
		"an empty one":          {`password_file = ""`, `password_file = "empty"`, "engine.password_file"},
		"encryption":            {`tls = false `, `tls = true `, ""},
		"no authority":          {"tls = false        # true: connections are encrypted, or there are none\nauthority = \"\"", "tls = true\nauthority = \"password\"", "engine.authority"},
		"a name to no purpose":  {`server_name = ""`, `server_name = "engine"`, "engine.tls"},
		"a key alone":           {`key = ""`, `key = "password"`, "tls.certificate"},
		"no certificate in it":  {`certificate = ""`, `certificate = "password"`, "tls.certificate"},
		"encryption of nothing": {"require = false", "require = true", "tls.require"},
		"a pool":                {`per_engine = 0 `, `per_engine = 4 `, ""},
		"too many kept":         {"keep = 0 ", "keep = 101 ", "pool.keep"},
		"an odd life":           {`life_s = 0 `, `life_s = 0.5 `, "pool.life_s"},
		"an odd time":           {"transaction_idle_s = 10", "transaction_idle_s = -1", "transaction_idle_s"},
	} {
		dir := t.TempDir()
		text := strings.Replace(string(raw), tt.old, tt.new, 1)
		if text == string(raw) {
			t.Fatalf("%s: the deploy file has no %q", name, tt.old)
		}
		for file, content := range map[string]string{"postgres.toml": text, "postgres-settings.json": string(settings), "password": "secret\n", "empty": "\n"} {
			if err := os.WriteFile(filepath.Join(dir, file), []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		p, err := LoadPostgres(filepath.Join(dir, "postgres.toml"))
		switch {
		case tt.fault != "" && !slices.ContainsFunc(FaultsOf(err), func(f Fault) bool { return f.Field == tt.fault && f.Line > 0 }):
			t.Errorf("%s: %v", name, err)
		case tt.fault == "" && err != nil:
			t.Errorf("%s: %v", name, err)
		case name == "a password" && p.Engine.Password != "secret", name == "encryption" && p.Engine.Config == nil:
			t.Errorf("%s: %+v", name, p.Engine)
		}
	}
}
