package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const officeUser = `[[user]]
name = "office"
verifier = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="
classes = ["lookup"]
most_clients = 2
`

// TestLoadUsers checks that users are read from a file beside the deploy file, and that each fault has its file and line.
func TestLoadUsers(t *testing.T) {
	load := func(users string) (*Postgres, error) {
		dir := t.TempDir()
		for _, name := range []string{"postgres.toml", "postgres-settings.json"} {
			raw, err := os.ReadFile(filepath.Join("../../deploy", name))
			if err != nil {
				t.Fatal(err)
			}
			text := strings.Replace(string(raw), `users = ""`, `users = "users.toml"`, 1)
			if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if err := os.WriteFile(filepath.Join(dir, "users.toml"), []byte(users), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadPostgres(filepath.Join(dir, "postgres.toml"))
	}
	p, err := load(officeUser)
	if err != nil || len(p.Logins) != 1 || p.Logins[0].Name != "office" || p.Logins[0].MaxClients != 2 {
		t.Fatalf("LoadPostgres() = %+v, %v, want the user office with 2 clients", p, err)
	}
	for _, tt := range []struct{ old, new, field string }{
		{`"office"`, `""`, "user[0].name"}, {"4096", "1", "user[0].verifier"}, {`"lookup"`, `"sums"`, "user[0].classes"}, {"most_clients = 2", "most_clients = -1", "user[0].most_clients"},
		{"classes =", "class =", "user.class"},
	} {
		_, err := load(strings.Replace(officeUser, tt.old, tt.new, 1))
		if !slices.ContainsFunc(FaultsOf(err), func(f Fault) bool {
			return f.Field == tt.field && (f.Line > 0 || tt.field == "user.class") && strings.HasSuffix(f.File, "users.toml")
		}) {
			t.Errorf("LoadPostgres() with %s: error %v, want a fault of %s in users.toml with its line", tt.new, err, tt.field)
		}
	}
	for _, invalid := range []string{"", officeUser + officeUser} {
		if _, err := load(invalid); err == nil {
			t.Errorf("LoadPostgres() with the users %q: no error, want one", invalid)
		}
	}
}
