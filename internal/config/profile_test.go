package config

import (
	"encoding/json"
	"testing"
)

// TestSettingsRank checks that a gateway's rank, which counts from 0 in the settings, becomes one that counts from 1, and that
// a missing rank stays unknown (0): with a default, all gateways would have the same rank.
func TestSettingsRank(t *testing.T) {
	for text, want := range map[string]int{`{"balancers":3,"rank":0}`: 1, `{"balancers":3,"rank":2}`: 3, `{"balancers":3}`: 0} {
		var s Site
		if err := json.Unmarshal([]byte(text), &s); err != nil {
			t.Fatal(err)
		}
		if s.Policy.Rank != want {
			t.Errorf("%s: Policy.Rank = %d, want %d", text, s.Policy.Rank, want)
		}
	}
}
