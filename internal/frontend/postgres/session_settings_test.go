package postgres

import "testing"

// TestSetStatementTimeout checks that times in PostgreSQL's syntax are accepted and others rejected.
func TestSetStatementTimeout(t *testing.T) {
	const rejected = -1
	for text, want := range map[string]int64{ // in ms
		"0": 0, "250": 250, "'2s'": 2000, "1 min": 60000, "DEFAULT": 0,
		"": rejected, "-1": rejected, "5 weeks": rejected, "1.5s": rejected, "99999999999": rejected,
	} {
		t.Run(text, func(t *testing.T) {
			s := &session{}
			e := s.setStatementTimeout(text)
			if want == rejected {
				if e == nil {
					t.Errorf("timeout = %v, want an error", s.statementTimeout)
				}
				return
			}
			if got := s.statementTimeout.Milliseconds(); e != nil || got != want {
				t.Errorf("timeout = %d ms, error %v, want %d ms", got, e, want)
			}
		})
	}
}
