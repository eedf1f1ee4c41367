package config

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestSettingsKeys guards the settings' keys, as operators write them, against renames of the fields behind them: another
// value of a key that the gateway reads shows in what is read, and one of a key that it skips does not.
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
			t.Fatalf("settings-keys.tsv: %q has not three columns", line)
		}
		key, use, other := columns[0], columns[1], columns[2]
		listed++
		t.Run(key, func(t *testing.T) {
			var got Site
			if err := json.Unmarshal(withSetting(t, raw, key, other), &got); err != nil {
				t.Fatalf("settings with %s = %s: %v", key, other, err)
			}
			if read := !reflect.DeepEqual(got, want); read != (use == "read") {
				t.Errorf("a change of %s shows = %v, and the table says that it is %s", key, read, use)
			}
		})
	}
	if listed != countSettings(t, raw) {
		t.Errorf("the table lists %d keys, the settings have %d", listed, countSettings(t, raw))
	}
}

// withSetting returns the settings with one key changed. "[]" in a key stands for the first of a list.
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
		t.Fatalf("all-settings.json has no %s", key)
	}
	object[last] = json.RawMessage(value)
	changed, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

// countSettings counts the keys that hold a value, or a list of values.
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

// TestEventSum holds the sums that version c18a9bd makes of the endpoint list's events. A process that takes another's place
// compares its sum with that of the other, which may be of that version.
func TestEventSum(t *testing.T) {
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
			if got, err := c.EventSum(); got != tt.want || err != nil {
				t.Errorf("EventSum() = %#016x, %v, want %#016x", got, err, tt.want)
			}
		})
	}
}

// TestSettingsTypeErrors holds what operators read of a setting of the wrong type: the fault of each key that the gateway
// reads, as the code before the fields were renamed named it.
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
		t.Errorf("faults:\n%s\nwant:\n%s", got.String(), want)
	}
}
