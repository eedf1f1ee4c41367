package config

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestSettingsKeys guards the keys of the settings against a rename of a Go field that changes its key. It changes the value
// of each key: for a key that the gateway reads, the decoded settings must differ; for one that it skips, they must not.
func TestSettingsKeys(t *testing.T) {
	raw, err := os.ReadFile("testdata/all-settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var want Site
	if err := json.Unmarshal(raw, &want); err != nil {
		t.Fatal(err)
	}
	table, err := os.ReadFile("testdata/settings-keys.tsv")
	if err != nil {
		t.Fatal(err)
	}
	listed := 0
	for line := range strings.Lines(string(table)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		columns := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		if len(columns) != 3 {
			t.Fatalf("settings-keys.tsv: line %q has %d columns, want 3", line, len(columns))
		}
		key, use, other := columns[0], columns[1], columns[2]
		listed++
		t.Run(key, func(t *testing.T) {
			var got Site
			if err := json.Unmarshal(withSetting(t, raw, key, other), &got); err != nil {
				t.Fatalf("decode settings with %s = %s: %v", key, other, err)
			}
			if read := !reflect.DeepEqual(got, want); read != (use == "read") {
				t.Errorf("decoded settings differ after a change of %s = %v, want %v: the key is listed as %s", key, read, use == "read", use)
			}
		})
	}
	if listed != countSettings(t, raw) {
		t.Errorf("settings-keys.tsv lists %d keys, want the %d of all-settings.json", listed, countSettings(t, raw))
	}
}

// withSetting returns the settings with the value of one key replaced. "[]" in a key selects the first element of a list.
func withSetting(t *testing.T, raw []byte, key, value string) []byte {
	t.Helper()
	var document map[string]any
	if err := json.Unmarshal(raw, &document); err != nil {
		t.Fatal(err)
	}
	object := document
	parts := strings.Split(key, ".")
	for _, part := range parts[:len(parts)-1] {
		name, isList := strings.CutSuffix(part, "[]")
		if isList {
			object = object[name].([]any)[0].(map[string]any)
		} else {
			object = object[name].(map[string]any)
		}
	}
	last := parts[len(parts)-1]
	if _, ok := object[last]; !ok {
		t.Fatalf("all-settings.json has no key %s", key)
	}
	object[last] = json.RawMessage(value)
	changed, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

// countSettings counts the keys whose value is a scalar or a list of scalars. Of a list of objects it counts the first.
func countSettings(t *testing.T, raw []byte) int {
	t.Helper()
	var document any
	if err := json.Unmarshal(raw, &document); err != nil {
		t.Fatal(err)
	}
	var count func(value any) int
	count = func(value any) int {
		object, ok := value.(map[string]any)
		if !ok {
			if list, ok := value.([]any); ok && len(list) > 0 {
				if _, ok := list[0].(map[string]any); ok {
					return count(list[0])
				}
			}
			return 1
		}
		sum := 0
		for _, member := range object {
			sum += count(member)
		}
		return sum
	}
	return count(document)
}

// TestEventChecksum compares the checksums of known events with those that version c18a9bd computed. A process that replaces
// another compares its checksum with that of the other process, which may run that version.
func TestEventChecksum(t *testing.T) {
	tests := []struct {
		file string
		want uint64
	}{
		{"../../examples/toy/config.json", 0x947398075127828e},
		{"testdata/known-events.json", 0xc02eb5a252c16e6b},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			c, err := Load(tt.file)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := c.EventChecksum(); got != tt.want || err != nil {
				t.Errorf("EventChecksum() = %#016x, %v, want %#016x", got, err, tt.want)
			}
		})
	}
}

// TestSettingsTypeErrors guards the fault that operators see for a setting of the wrong type, for each key that the gateway
// reads. A rename of a Go field would change the name in the fault; the expected texts were recorded before such renames.
func TestSettingsTypeErrors(t *testing.T) {
	raw, err := os.ReadFile("testdata/all-settings.json")
	if err != nil {
		t.Fatal(err)
	}
	table, err := os.ReadFile("testdata/settings-keys.tsv")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for line := range strings.Lines(string(table)) {
		columns := strings.Split(line, "\t")
		if len(columns) != 3 || columns[1] != "read" {
			continue
		}
		for _, wrong := range []string{`{"a": 1}`, `"text"`, `[1]`} {
			if err := CheckSettings("settings.json", withSetting(t, raw, columns[0], wrong)); err != nil {
				fmt.Fprintf(&got, "%s = %s\t%v\n", columns[0], wrong, err)
			}
		}
	}
	want, err := os.ReadFile("testdata/settings-type-errors.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("faults of wrong types: got\n%s\nwant\n%s", got.String(), want)
	}
}
