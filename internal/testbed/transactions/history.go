// Package transactions runs PostgreSQL clients with transactions and settings of their own against a gateway,
// and checks what they were told against what the engines committed. The checks know nothing of the gateway.
package transactions

import (
	"fmt"
	"sync"

	"gannetspur/internal/testbed/emulator"
)

// Outcome is what a client was told of a transaction.
type Outcome uint8

// Outcomes of a transaction.
const (
	InDoubt    Outcome = iota // nothing is known: it is committed as a whole, or not at all
	Committed                 // it is committed
	RolledBack                // it is not committed
)

var outcomeNames = [...]string{"in doubt", "committed", "rolled back"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Transaction is a transaction that a client has ended.
type Transaction struct {
	Form    string   // how it was sent
	Writes  []string // writes that a commit makes permanent, in order
	Undone  []string // writes that were rolled back to a savepoint
	Outcome Outcome
	Heard   string // the answer that the outcome is derived from
}

// History collects the transactions of all clients, and faults that clients notice themselves.
type History struct {
	mu           sync.Mutex
	transactions []Transaction
	faults       []string
	rows         int // number of rows that showed the right setting
}

// add adds a transaction that has ended.
func (h *History) add(tx Transaction) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.transactions = append(h.transactions, tx)
}

// addFault adds a fault that a client has noticed.
func (h *History) addFault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

// addRow counts a row that showed the client's own setting.
func (h *History) addRow() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rows++
}

// Counts returns the number of transactions with each outcome, and of rows that showed the right setting.
func (h *History) Counts() (outcomes map[Outcome]int, rows int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	outcomes = map[Outcome]int{}
	for _, tx := range h.transactions {
		outcomes[tx.Outcome]++
	}
	return outcomes, h.rows
}

// Faults checks all transactions against the writes that the engines have committed. It returns what is wrong,
// including what clients noticed themselves.
func (h *History) Faults(commits []emulator.Commit) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	faults := append([]string(nil), h.faults...)
	byWrite := map[string][]emulator.Commit{}
	for _, c := range commits {
		byWrite[c.Statement] = append(byWrite[c.Statement], c)
	}
	for _, tx := range h.transactions {
		if problem := tx.check(byWrite); problem != "" {
			faults = append(faults, fmt.Sprintf("%s, %v (%s): %s", tx.Form, tx.Outcome, tx.Heard, problem))
		}
	}
	return faults
}

// maxReportedFaults is the number of faults that Verdict returns at most.
const maxReportedFaults = 10

// Verdict returns a summary of the history, and what is wrong with it: the first faults, and fewer committed
// transactions than a run that shows something must have.
func (h *History) Verdict(commits []emulator.Commit, minCommitted int) (summary string, problems []string) {
	faults := h.Faults(commits)
	outcomes, rows := h.Counts()
	summary = fmt.Sprintf("outcomes %v, %d rows, %d faults", outcomes, rows, len(faults))
	problems = faults[:min(len(faults), maxReportedFaults)]
	if committed := outcomes[Committed]; committed < minCommitted {
		problems = append(problems, fmt.Sprintf("%d transactions were committed, want at least %d", committed, minCommitted))
	}
	return summary, problems
}

// check returns what is wrong with the commits of the transaction's writes, or "".
func (tx *Transaction) check(byWrite map[string][]emulator.Commit) string {
	for _, w := range tx.Undone {
		if len(byWrite[w]) > 0 {
			return w + " was rolled back to a savepoint, and is committed"
		}
	}
	committed := 0
	sessions := map[string]bool{}
	for _, w := range tx.Writes {
		if n := len(byWrite[w]); n > 1 {
			return fmt.Sprintf("%s is committed %d times", w, n)
		}
		for _, c := range byWrite[w] {
			committed++
			sessions[c.Session] = true
		}
	}
	switch {
	case committed > 0 && committed < len(tx.Writes):
		return fmt.Sprintf("%d of %d writes are committed: %q", committed, len(tx.Writes), tx.Writes)
	case len(sessions) > 1:
		return fmt.Sprintf("%q are committed by %d sessions", tx.Writes, len(sessions))
	case tx.Outcome == Committed && committed < len(tx.Writes):
		return fmt.Sprintf("%q are not committed", tx.Writes)
	case tx.Outcome == RolledBack && committed > 0:
		return fmt.Sprintf("%q are committed", tx.Writes)
	}
	return ""
}
