package emulator

import (
	"regexp"
	"sync"
	"time"
)

// Run is the execution of one statement on an engine.
type Run struct {
	Engine  string // name of the engine
	Mark    string // the request's mark, from its first value or its text; "": none
	Key     string // idempotency key; "": none
	At      time.Time
	Dropped bool // whether it repeated a key within the window and so had no effect
}

// Ledger records which statements ran on the engines of a fleet, and when, and which were dropped as
// repeats. The engines of a group drop each other's repeats of a key within the window from its first run; all
// engines are in one group unless SetGroup puts them into others. A nil ledger records and drops nothing.
type Ledger struct {
	window time.Duration
	mu     sync.Mutex
	runs   []Run
	groups map[string]string // by engine
	keys   map[groupKey]time.Time
}

// groupKey is an idempotency key in the memory of a group of engines.
type groupKey struct{ group, key string }

// NewLedger returns an empty ledger that drops repeats of a key within the window.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{window: window, groups: map[string]string{}, keys: map[groupKey]time.Time{}}
}

// SetGroup puts an engine into the group of engines that drop each other's repeats.
func (l *Ledger) SetGroup(engine, group string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups[engine] = group
}

// marks matches the marks by which a load generator identifies requests: the letter of the kind (q, r, k or
// w), the number of the source and the number of the request.
var marks = regexp.MustCompile(`\b[qrkw]-[0-9]+-[0-9]+\b`)

// Mark returns the first mark of a request in the text of a statement or a value, or "".
func Mark(text string) string { return marks.FindString(text) }

// Begin records an execution. first is the first bound value or the idempotency key. It reports whether the
// engine must execute the statement: a repeat of a key within the window is dropped.
func (l *Ledger) Begin(engine, statement, first string) bool {
	if l == nil {
		return true
	}
	mark := marks.FindString(first)
	key := ""
	if mark != "" && mark[0] == 'k' {
		key = mark
	}
	if mark == "" {
		mark = marks.FindString(statement)
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Run{Engine: engine, Mark: mark, Key: key, At: now}
	if key != "" {
		known := groupKey{l.groups[engine], key}
		if since, ok := l.keys[known]; ok && now.Sub(since) < l.window {
			r.Dropped = true
		} else {
			l.keys[known] = now
		}
	}
	l.runs = append(l.runs, r)
	return !r.Dropped
}

// Runs returns all executions so far, in order.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}
