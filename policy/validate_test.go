package policy

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// TestValidateNamesSettingsKey checks that the error for an invalid setting names its key in the settings
// file.
func TestValidateNamesSettingsKey(t *testing.T) {
	for want, damage := range map[string]func(*Settings){
		"balancers":                func(s *Settings) { s.Gateways = 0 },
		"classes":                  func(s *Settings) { s.Classes = nil },
		"classes[1].name":          func(s *Settings) { s.Classes[1].Name = "" },
		"classes[1].aim-ms":        func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"classes[2].hard-limit-ms": func(s *Settings) { s.Classes[2].Timeout = -1 },
		"classes[3].window-ms":     func(s *Settings) { s.Classes[3].DedupWindow = -1 },
		"classes[0].importance":    func(s *Settings) { s.Classes[0].PriorityWeight = math.NaN() },
		"extra.parallelism[0]":     func(s *Settings) { s.Classes[0].Threads = math.NaN() },
		"extra.tells-every-ms":     func(s *Settings) { s.ProgressInterval = -1 },
		"contract.look-back-ms":    func(s *Settings) { s.Rules.RetryBudgetWindow = -1 },
		"contract.extra-free":      func(s *Settings) { s.Rules.RetryBudgetBase = -1 },
		"contract.resend-ratio":    func(s *Settings) { s.Rules.RetryBudgetRatio = math.NaN() },
	} {
		s := testSettings()
		damage(&s)
		_, err := New(s, 1)
		var got *SettingsError
		if !errors.As(err, &got) || got.Key != want || !strings.Contains(err.Error(), want+": ") {
			t.Errorf("error = %v, want one that names %q", err, want)
		}
	}
}
