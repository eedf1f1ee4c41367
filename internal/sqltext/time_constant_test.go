package sqltext

import "testing"

// TestMayNameCurrentTime guards against a statement that is kept prepared though a constant of it names the time at
// which it was parsed.
func TestMayNameCurrentTime(t *testing.T) {
	for query, want := range map[string]bool{
		"SELECT DATE 'today'":                        true,
		"SELECT TIMESTAMPTZ ' NOW '":                 true,
		"SELECT 'tomorrow allballs'::timestamp":      true,
		"SELECT $$yesterday$$::date":                 true,
		"SELECT DATE 'to'\n'day'":                    true,
		`SELECT DATE E'\x6eow'`:                      true,
		`SELECT DATE U&'!006eow' UESCAPE '!'`:        true,
		`SELECT DATE '\156ow'`:                       true, // with standard_conforming_strings off
		"SELECT now(), current_date":                 false,
		"SELECT today FROM days /* 'now' */":         false,
		"SELECT DATE '2026-04-03', 'it''s', \"now\"": false,
		"SELECT 1": false,
	} {
		if got := MayNameCurrentTime(query); got != want {
			t.Errorf("MayNameCurrentTime(%q) = %v, want %v", query, got, want)
		}
	}
}
