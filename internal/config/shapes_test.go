package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestShapeClassFaults checks that each class of reading statements must be a class of the settings, idempotent, and have a
// bound above that of the previous class.
func TestShapeClassFaults(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/postgres.toml")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := os.ReadFile("../../deploy/postgres-settings.json")
	if err != nil {
		t.Fatal(err)
	}
	withoutShapes, _, _ := strings.Cut(string(deploy), "[shapes]")
	tests := map[string]struct{ classes, field string }{
		"valid":               {"[[shapes.class]]\nname = \"lookup\"\nup_to_ms = 800\n[[shapes.class]]\nname = \"report\"\n", ""},
		"unknown class":       {"[[shapes.class]]\nname = \"odd\"\n", "shapes.class[0].name"},
		"not idempotent":      {"[[shapes.class]]\nname = \"load\"\n", "shapes.class[0].name"},
		"bound of last class": {"[[shapes.class]]\nname = \"lookup\"\nup_to_ms = 800\n", "shapes.class[0].up_to_ms"},
		"missing bound":       {"[[shapes.class]]\nname = \"lookup\"\n[[shapes.class]]\nname = \"report\"\n", "shapes.class[0].up_to_ms"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "postgres-settings.json"), settings, 0o600); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(dir, "postgres.toml")
			text := withoutShapes + "[shapes]\nenabled = true\n" + tt.classes
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := LoadPostgres(path)
			faults := FaultsOf(err)
			if tt.field == "" {
				if err != nil {
					t.Errorf("LoadPostgres() error = %v, want none", err)
				}
				return
			}
			if len(faults) != 1 || faults[0].Field != tt.field {
				t.Errorf("faults = %v, want one fault of %s", faults, tt.field)
			}
		})
	}
}
