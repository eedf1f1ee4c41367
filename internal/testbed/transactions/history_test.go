package transactions

import (
	"strings"
	"testing"

	"gannetspur/internal/testbed/emulator"
)

// TestFaults guards against a checker that finds nothing: each way in which a commit contradicts what a client was
// told is a fault, and nothing else is.
func TestFaults(t *testing.T) {
	at := func(session string, statements ...string) (commits []emulator.Commit) {
		for _, s := range statements {
			commits = append(commits, emulator.Commit{Engine: "e", Session: session, Statement: s})
		}
		return commits
	}
	for name, tt := range map[string]struct {
		tx      Transaction
		commits []emulator.Commit
		want    string // part of the fault; empty: none
	}{
		"committed":                   {Transaction{Writes: []string{"a", "b"}, Outcome: Committed}, at("1", "a", "b"), ""},
		"committed, and lost":         {Transaction{Writes: []string{"a"}, Outcome: Committed}, nil, "are not committed"},
		"committed by half":           {Transaction{Writes: []string{"a", "b"}, Outcome: Committed}, at("1", "b"), "1 of 2 writes"},
		"committed twice":             {Transaction{Writes: []string{"a"}, Outcome: Committed}, at("1", "a", "a"), "2 times"},
		"committed by two sessions":   {Transaction{Writes: []string{"a", "b"}, Outcome: Committed}, append(at("1", "a"), at("2", "b")...), "by 2 sessions"},
		"rolled back":                 {Transaction{Writes: []string{"a"}, Outcome: RolledBack}, nil, ""},
		"rolled back, and committed":  {Transaction{Writes: []string{"a"}, Outcome: RolledBack}, at("1", "a"), "are committed"},
		"in doubt, committed":         {Transaction{Writes: []string{"a", "b"}}, at("1", "a", "b"), ""},
		"in doubt, not committed":     {Transaction{Writes: []string{"a", "b"}}, nil, ""},
		"in doubt, committed by half": {Transaction{Writes: []string{"a", "b"}}, at("1", "a"), "1 of 2 writes"},
		"undone write":                {Transaction{Writes: []string{"a"}, Undone: []string{"b"}, Outcome: Committed}, at("1", "a"), ""},
		"undone write, and committed": {Transaction{Writes: []string{"a"}, Undone: []string{"b"}, Outcome: Committed}, at("1", "a", "b"), "rolled back to a savepoint"},
	} {
		t.Run(name, func(t *testing.T) {
			h := &History{}
			h.add(tt.tx)
			faults := strings.Join(h.Faults(tt.commits), "; ")
			if tt.want == "" && faults != "" || !strings.Contains(faults, tt.want) {
				t.Errorf("faults: got %q, want %q in them", faults, tt.want)
			}
		})
	}
}

// TestVerdict guards against a run that shows nothing and passes: too few committed transactions are a problem, as
// each fault is, up to a limit.
func TestVerdict(t *testing.T) {
	h := &History{}
	if _, problems := h.Verdict(nil, 1); len(problems) != 1 {
		t.Errorf("no transaction where one is wanted: got problems %q, want one", problems)
	}
	if _, problems := h.Verdict(nil, 0); len(problems) != 0 {
		t.Errorf("no transaction where none is wanted: got problems %q, want none", problems)
	}
	for range maxReportedFaults + 1 {
		h.add(Transaction{Writes: []string{"a"}, Outcome: Committed})
	}
	if _, problems := h.Verdict(nil, 0); len(problems) != maxReportedFaults {
		t.Errorf("%d lost transactions: got %d problems, want %d", maxReportedFaults+1, len(problems), maxReportedFaults)
	}
}
