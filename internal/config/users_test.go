package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const office = `[[user]]
name = "office"
verifier = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="
classes = ["lookup"]
most_clients = 2
`

// Users are read beside the deploy file, and every fault is named with its file and line.
func TestUsers(t *testing.T) {
	read := func(users string) (*Postgres, error) {
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
	p, err := read(office)
	if err != nil || len(p.Logins) != 1 || p.Logins[0].Name != "office" || p.Logins[0].MaxClients != 2 {
		t.Fatalf("%+v, %v", p, err)
	}
	for _, tt := range []struct{ old, new, want string }{
		{`"office"`, `""`, "user[0].name"}, {"4096", "1", "user[0].verifier"}, {`"lookup"`, `"sums"`, "user[0].classes"}, {"most_clients = 2", "most_clients = -1", "user[0].most_clients"},
		{"classes =", "class =", "user.class"},
	} {
		_, err := read(strings.Replace(office, tt.old, tt.new, 1))
		if !slices.ContainsFunc(FaultsOf(err), func(f Fault) bool {
			return f.Field == tt.want && (f.Line > 0 || tt.want == "user.class") && strings.HasSuffix(f.File, "users.toml")
		}) {
			t.Errorf("%s: %v", tt.want, err)
		}
	}
	for _, none := range []string{"", office + office} {
		if _, err := read(none); err == nil {
			t.Errorf("read %q", none)
		}
	}
}
